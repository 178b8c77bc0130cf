"""Limits that operations are counted against."""

import abc

from fescuestile_daemon.relay.core import messages


class Limiter(abc.ABC):
    """Decides whether an operation is within its tenant's limit."""

    @abc.abstractmethod
    async def admit(self, tenant: str) -> messages.Outcome | None:
        """Count an operation.

        :returns: its refusal, None if it may run
        """
