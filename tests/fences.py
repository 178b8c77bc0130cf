"""Simulated endpoints with terms and fences, for tests of takeovers."""

import abc
import dataclasses
import time

from fescuestile import clock
from fescuestile import endpoint_messages
from fescuestile import pending_promotions
from fescuestile import positions
from fescuestile_daemon.relay.core import messages
from fescuestile_daemon.relay.core import options
from fescuestile_daemon.relay.core import ports
from fescuestile_daemon.relay.groups import groups
from tests import builders

Role = endpoint_messages.Role


@dataclasses.dataclass
class Endpoint:
    """A simulated endpoint.

    :ivar log: entries as (term, number)
    :ivar fence_term: term of its fence, 0 for none
    :ivar reachable: whether daemons reach it
    :ivar linked: whether it reaches the other endpoints
    """

    name: str
    role: Role = Role.REPLICA
    term: int = 1
    log: list[tuple[int, int]] = dataclasses.field(default_factory=list)
    fence_term: int = 0
    reachable: bool = True
    linked: bool = True

    def report(self):
        """Return its report."""
        is_fenced = self.fence_term > self.term
        last = positions.Position(*self.log[-1]) if self.log else None
        report = builders.build_log_report(self.name, 0, self.role)
        return dataclasses.replace(
            report,
            last=last or positions.Position(1, 0),
            term=self.fence_term if is_fenced else self.term,
            role=Role.FENCED if is_fenced else self.role,
            followed=self.term,
        )

    def apply(self, command):
        """Apply a fence, or lift it."""
        is_replica = self.role is Role.REPLICA
        match command:
            case messages.Fence(term, True):
                if not is_replica and self.term < term:
                    self.role = Role.REPLICA
            case messages.Fence(term, False):
                if is_replica and term > self.term:
                    self.fence_term = term
            case messages.Unfence():
                self.fence_term = 0


class Dialer(ports.Dialer):
    """Connects daemons to simulated endpoints.

    :ivar endpoints: by name
    """

    endpoints: dict[str, Endpoint]

    async def dial(self, entry, tenant=""):
        """Connect at once."""
        return Connection(self, self.endpoints[entry.id])

    @abc.abstractmethod
    async def delay(self, endpoint):
        """Delay a request or an answer."""


class Connection(ports.EndpointConnection):
    """A daemon's connection to an endpoint."""

    def __init__(self, dialer, endpoint):
        self.endpoint = endpoint.name
        self.values = {}
        self.prepared = {}
        self.used_at = 0.0
        self._dialer = dialer
        self._target = endpoint

    @property
    def closed(self):
        """Connections never end."""
        return False

    async def call(self, *commands):
        """Not used by takeovers."""
        raise NotImplementedError

    async def inspect(self, command):
        """Apply the command and return the report."""
        await self._dialer.delay(self._target)
        self._target.apply(command)
        report = self._target.report()
        await self._dialer.delay(self._target)
        return report

    def close(self):
        """Nothing to close."""


class LocalLog(ports.PromotionLog):
    """Keeps promotions in the group alone."""

    def __init__(self, group):
        self._group = group

    async def record_request(self, group, endpoint):
        pending = pending_promotions.PendingPromotion(
            endpoint, self._group.followed_term, "id"
        )
        self._group.promotions.put(pending, time.monotonic())
        return True

    async def record_end(self, group, is_refused=False):
        self._group.promotions.put(None, time.monotonic())


def make_group(dialer):
    """Return one daemon's view of a group whose first endpoint is primary."""
    group = groups.Group(
        "g", dialer, options.RelayOptions(), clock.BootClock()
    )
    first = next(iter(dialer.endpoints))
    for name in dialer.endpoints:
        entry = messages.EndpointEntry(
            name, "g", "127.0.0.1:1", "a", 2, False, name == first, 0
        )
        group.put_endpoint(entry, 4)
    # Its record names no others.
    group.members.apply_record((), 0.0)
    return group
