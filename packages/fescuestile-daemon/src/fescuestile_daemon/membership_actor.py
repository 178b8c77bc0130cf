"""Actor that owns the membership and the gossip of one daemon."""

import collections.abc
import dataclasses
import random

import pykka
import structlog

from fescuestile import clock
from fescuestile import gossip_messages
from fescuestile import leaving
from fescuestile import members
from fescuestile import membership
from fescuestile import probes
from fescuestile_daemon import published

log = structlog.get_logger(__name__)


@dataclasses.dataclass(frozen=True, slots=True)
class Tick:
    """Timer tick: runs the membership's timers that are due."""


@dataclasses.dataclass(frozen=True, slots=True)
class Received:
    """A gossip message from another daemon."""

    sender: str
    message: object


@dataclasses.dataclass(frozen=True, slots=True)
class LinkOpened:
    """A link to another daemon was opened."""

    peer: members.Member


@dataclasses.dataclass(frozen=True, slots=True)
class Announced:
    """Entries that were created on this daemon."""

    entries: tuple[gossip_messages.Entry, ...]


@dataclasses.dataclass(frozen=True, slots=True)
class Ready:
    """The daemon has a configuration and can serve."""


@dataclasses.dataclass(frozen=True, slots=True)
class Leaving:
    """The daemon takes no new work from now on."""


@dataclasses.dataclass(frozen=True, slots=True)
class Ending:
    """The daemon stops now."""


@dataclasses.dataclass(frozen=True, slots=True)
class HostsLeaving:
    """Link addresses of the daemons whose hosts are leaving."""

    addresses: frozenset[str]


@dataclasses.dataclass(frozen=True)
class GossipStatus:
    """State of this daemon's gossip.

    :ivar ready: it has a configuration and forwards entries
    :ivar synced: ready daemons all of whose entries it holds
    :ivar watcher: this daemon should watch the platform
    :ivar state: state that this daemon announces of itself
    """

    ready: bool = False
    synced: frozenset[str] = frozenset()
    watcher: bool = False
    state: members.MemberState = members.MemberState.JOINING


@dataclasses.dataclass(frozen=True, slots=True)
class Outgoing:
    """A message to a daemon.

    :ivar to: id of the daemon
    :ivar member: the daemon, None while only its id is known
    """

    to: str
    member: members.Member | None
    message: object


@dataclasses.dataclass(frozen=True)
class MembershipParts:
    """Dependencies of the membership actor.

    :ivar send: sends messages; called in the actor's thread
    :ivar on_changed: called in the actor's thread with changed entries
        other than those of members
    :ivar accept: returns whether such an entry is well formed
    """

    own: members.Member
    time_source: clock.Clock
    random_source: random.Random
    timing: probes.Timing
    snapshots: published.Published[members.MembershipSnapshot]
    status: published.Published[GossipStatus]
    send: collections.abc.Callable[[tuple[Outgoing, ...]], None]
    on_changed: collections.abc.Callable[
        [tuple[gossip_messages.Entry, ...]], None
    ]
    accept: collections.abc.Callable[[gossip_messages.Entry], bool]


class MembershipActor(pykka.ThreadingActor):
    """Runs the membership state machine and carries out its actions."""

    def __init__(self, parts: MembershipParts) -> None:
        """Start with this daemon as the only known member."""
        super().__init__()
        self._parts = parts
        self._membership = membership.Membership(
            parts.own, parts.random_source, parts.timing, parts.accept
        )
        self._latest_snapshot = parts.snapshots.get()
        self._leaving_addresses: frozenset[str] = frozenset()

    def on_receive(self, message: object) -> None:
        """Process one message."""
        now = self._parts.time_source.now()
        state = self._membership
        match message:
            case Tick():
                self._carry_out(state.tick(now))
            case Received():
                self._carry_out(
                    state.receive(message.sender, message.message, now)
                )
            case LinkOpened():
                self._carry_out(state.on_link_opened(message.peer, now))
            case Announced():
                for entry in message.entries:
                    self._carry_out(state.announce(entry, now))
            case Ready():
                self._carry_out(state.become_ready(now))
            case Leaving():
                self._carry_out(state.leave(now))
            case Ending():
                self._carry_out(state.end(now))
            case HostsLeaving():
                self._leaving_addresses = message.addresses
                self._publish()
            case _:
                raise TypeError(f"unknown message {message!r}")

    def _carry_out(self, result: membership.StepResult) -> None:
        if result.changed:
            self._parts.on_changed(result.changed)
        if result.snapshot is not None:
            self._latest_snapshot = result.snapshot
            self._publish()
        if result.sends:
            self._parts.send(
                tuple(
                    Outgoing(
                        send.to,
                        self._membership.get_member(send.to),
                        send.message,
                    )
                    for send in result.sends
                )
            )
        self._publish_status()

    def _publish(self) -> None:
        marked = leaving.mark_members(
            self._latest_snapshot, self._leaving_addresses
        )
        before = self._parts.snapshots.get()
        if marked != before:
            self._parts.snapshots.publish(marked)
            _log_changes(before, marked)

    def _publish_status(self) -> None:
        status = GossipStatus(
            ready=self._membership.gossip.ready,
            synced=frozenset(self._membership.gossip.synced),
            watcher=self._membership.is_watcher(),
            state=self._membership.own.state,
        )
        if status != self._parts.status.get():
            self._parts.status.publish(status)


def _log_changes(
    before: members.MembershipSnapshot, after: members.MembershipSnapshot
) -> None:
    """Log which daemons started or stopped taking new work."""
    served = {member.id: member for member in before.list_serving()}
    serving = {member.id: member for member in after.list_serving()}
    for member_id in sorted(served.keys() - serving.keys()):
        log.info(
            "daemon no longer serves",
            member=member_id,
            zone=served[member_id].zone,
        )
    for member_id in sorted(serving.keys() - served.keys()):
        log.info(
            "daemon serves", member=member_id, zone=serving[member_id].zone
        )
