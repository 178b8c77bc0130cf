"""Operations of callers: statements as they arrive, and transactions."""

import dataclasses

from fescuestile import read_confirmation
from fescuestile import routes
from fescuestile_daemon.relay.core import messages
from fescuestile_daemon.relay.core import ports
from fescuestile_daemon.relay.endpoints import endpoint_states
from fescuestile_daemon.relay.groups import groups


@dataclasses.dataclass(frozen=True, slots=True)
class ForwardedTo:
    """Where a transaction is open at another daemon.

    :ivar peer: name of that daemon
    :ivar number: id of the transaction there
    """

    peer: str
    number: str


@dataclasses.dataclass(slots=True)
class Transaction:
    """An open transaction.

    :ivar route: route in force at its start, used until its end
    :ivar begun_at: boot-time seconds at which its BEGIN arrived
    :ivar connection: connection that it holds, None before the first
        statement
    :ivar endpoint: endpoint of that connection
    :ivar leadership_ticket: leadership round that its reads wait for, None
        when none is needed
    :ivar answered: whether one of its statements has succeeded
    :ivar wrote: whether one of its writes was sent
    :ivar failed: whether only COMMIT and ROLLBACK are accepted
    :ivar is_admitted: whether it was counted against its tenant's limit
    :ivar forwarded_to: where it is open at another daemon, None if it is not
    """

    route: routes.Route
    group: groups.Group
    read_only: bool
    begun_at: float
    connection: ports.EndpointConnection | None = None
    endpoint: endpoint_states.EndpointState | None = None
    leadership_ticket: read_confirmation.ReadTicket | None = None
    answered: bool = False
    wrote: bool = False
    failed: bool = False
    is_admitted: bool = False
    forwarded_to: ForwardedTo | None = None

    @property
    def holds_connection(self) -> bool:
        """Whether it holds a connection, here or at another daemon."""
        return self.connection is not None or self.forwarded_to is not None


@dataclasses.dataclass(frozen=True, slots=True)
class Arrival:
    """A statement and when it arrived.

    :ivar boot_at: seconds since boot, a suspension of the host included
    :ivar monotonic_at: monotonic seconds
    """

    statement: messages.Statement
    boot_at: float
    monotonic_at: float
