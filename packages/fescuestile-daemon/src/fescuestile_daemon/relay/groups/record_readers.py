"""Reads the record of a group's members."""

import abc
import time
import typing

if typing.TYPE_CHECKING:
    from fescuestile_daemon.relay.groups import groups


class RecordReader(abc.ABC):
    """Reads the record of a group's members."""

    @property
    def heard_at(self) -> float:
        """Monotonic seconds at which the latest answered call began."""
        return time.monotonic()

    @abc.abstractmethod
    async def load(self, group: "groups.Group") -> bool:
        """Read the record of a group and apply it to the group.

        :returns: False when the store did not answer, or nothing can be
            decided on the record
        """
