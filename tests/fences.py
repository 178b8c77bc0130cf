"""Endpoints that keep terms and take fences, for tests of takeovers."""

import abc
import dataclasses

from fescuestile import clock
from fescuestile import endpoint_messages
from fescuestile import positions
from fescuestile_daemon.relay import groups
from fescuestile_daemon.relay import messages
from fescuestile_daemon.relay import options
from fescuestile_daemon.relay import ports
from tests import builders

Role = endpoint_messages.Role


@dataclasses.dataclass
class Endpoint:
    """One endpoint.

    :ivar log: entries as (term, number)
    :ivar held: term of its fence, 0 for none
    :ivar reachable: by daemons
    :ivar linked: to the other endpoints
    """

    name: str
    role: Role = Role.REPLICA
    term: int = 1
    log: list[tuple[int, int]] = dataclasses.field(default_factory=list)
    held: int = 0
    reachable: bool = True
    linked: bool = True

    def report(self):
        """Return what it says of itself."""
        is_fenced = self.held > self.term
        last = positions.Position(*self.log[-1]) if self.log else None
        made = builders.build_log_report(self.name, 0, self.role)
        return dataclasses.replace(
            made,
            last=last or positions.Position(1, 0),
            term=self.held if is_fenced else self.term,
            role=Role.FENCED if is_fenced else self.role,
            followed=self.term,
        )

    def take(self, command):
        """Take a fence, or what lifts one."""
        is_replica = self.role is Role.REPLICA
        match command:
            case messages.Fence(term, True):
                if not is_replica and self.term < term:
                    self.role = Role.REPLICA
            case messages.Fence(term, False):
                if is_replica and term > self.term:
                    self.held = term
            case messages.Unfence():
                self.held = 0


class Dialer(ports.Dialer):
    """Connects daemons to endpoints of the test.

    :ivar endpoints: by name
    """

    endpoints: dict[str, Endpoint]

    async def dial(self, entry):
        """Connect at once."""
        return Channel(self, self.endpoints[entry.id])

    @abc.abstractmethod
    async def travel(self, endpoint):
        """Let a question or an answer take its time."""


class Channel(ports.Channel):
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
        """It never ends."""
        return False

    async def call(self, *commands):
        """Not used by takeovers."""
        raise NotImplementedError

    async def inspect(self, command):
        """Take the command and report."""
        await self._dialer.travel(self._target)
        self._target.take(command)
        report = self._target.report()
        await self._dialer.travel(self._target)
        return report

    def close(self):
        """Nothing to close."""


def make_group(dialer):
    """Return one daemon's knowledge of the group; the first one leads."""
    made = groups.Group("g", dialer, options.RelayOptions(), clock.BootClock())
    first = next(iter(dialer.endpoints))
    for name in dialer.endpoints:
        entry = messages.EndpointEntry(
            name, "g", "127.0.0.1:1", "a", 2, False, name == first, 0
        )
        made.put_member(entry, 4)
    return made
