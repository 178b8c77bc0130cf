"""Membership protocol of one daemon, after SWIM, with availability zones.

Only daemons of a member's own zone declare it dead. Other zones learn of it
by gossip; they only decide themselves whether the zone as a whole can be
reached.
"""

import collections.abc
import dataclasses
import itertools
import random
import typing

from fescuestile import bridges
from fescuestile import gossip
from fescuestile import gossip_messages
from fescuestile import members
from fescuestile import own_record
from fescuestile import probes
from fescuestile import roster
from fescuestile import suspicion_timers

INDIRECT_PROBE_HELPERS = 3
MAX_RELAYED_PROBES = 256

Entry = gossip_messages.Entry
MemberState = members.MemberState


@dataclasses.dataclass(frozen=True)
class StepResult:
    """Result of a step, for the caller to act on.

    :ivar sends: messages to send
    :ivar changed: entries merged, except those of members
    :ivar snapshot: the new snapshot, None if it is unchanged
    """

    sends: tuple[gossip.Send, ...] = ()
    changed: tuple[Entry, ...] = ()
    snapshot: members.MembershipSnapshot | None = None


class Membership:
    """State machine of the membership; it does no input or output itself."""

    def __init__(
        self,
        own: members.Member,
        random_source: random.Random,
        timing: probes.Timing | None = None,
        is_well_formed: collections.abc.Callable[[Entry], bool] | None = None,
    ) -> None:
        """Initialize with the own daemon as the only member.

        :param is_well_formed: checks an entry that is not a member's;
            others are ignored
        """
        self._random = random_source
        self._timing = timing or probes.Timing()
        self._is_well_formed = is_well_formed or (lambda entry: True)
        self._own = own_record.OwnRecord(own)
        self._roster = roster.Roster(own)
        self._table = gossip.EntryTable()
        self.gossip = gossip.Gossip(self._table, random_source)
        self._sequences = itertools.count(1)
        self._probes = probes.ProbeTracker(self._timing, self._sequences)
        self._bridge = bridges.Bridge(self._timing, random_source)
        self._neighbour_order = probes.ShuffledRoundRobin(random_source)
        self._relayed_probes: dict[int, tuple[str, int]] = {}
        self._suspicion_timers = suspicion_timers.SuspicionTimers(
            self._timing.suspicion_timeout, own.zone
        )
        self._next_probe_at = float("-inf")
        self._ticked_at: float | None = None
        self._sends: list[gossip.Send] = []
        self._changed: list[Entry] = []
        self._snapshot_outdated = True
        self._announce_own(0.0)
        self._handlers: dict[type, typing.Callable[..., None]] = {
            gossip_messages.Ping: self._on_ping,
            gossip_messages.Ack: self._on_ack,
            gossip_messages.IndirectPing: self._on_indirect_ping,
            gossip_messages.IndirectAck: self._on_indirect_ack,
            gossip_messages.Push: self._on_push,
            gossip_messages.SyncRequest: self._on_sync_request,
            gossip_messages.SyncReply: self._on_sync_reply,
            gossip_messages.Want: self._on_want,
        }

    @property
    def own(self) -> members.Member:
        """The own daemon, as it publishes itself."""
        return self._own.member

    @property
    def table(self) -> gossip.EntryTable:
        """All entries held."""
        return self._table

    def is_watcher(self) -> bool:
        """Return whether this daemon should watch the platform."""
        return self._roster.is_watcher()

    def get_member(self, member_id: str) -> members.Member | None:
        """Return a member by id, None for an unknown id."""
        return self._roster.get(member_id)

    def on_link_opened(self, peer: members.Member, now: float) -> StepResult:
        """Add the daemon at the other end of a new link and sync with it."""
        if peer.id != self.own.id and self._roster.get(peer.id) is None:
            record = gossip_messages.MemberRecord(peer)
            self._merge(roster.encode_entry(record), now, peer.id)
            own = self._table.get(roster.PREFIX + self.own.id)
            assert own is not None
            self._send(peer.id, gossip_messages.Push((own,)))
        self._record_contact(peer.id, now)
        self._sends += self.gossip.request_sync(peer.id, now)
        return self._finish()

    def announce(self, entry: Entry, now: float) -> StepResult:
        """Merge and spread an entry that originated on this daemon."""
        self._merge(entry, now, "")
        return self._finish()

    def become_ready(self, now: float) -> StepResult:
        """Announce that this daemon has a configuration and serves."""
        self.gossip.ready = True
        if self.own.state is MemberState.JOINING:
            return self._change_state(MemberState.ALIVE, now)
        return self._finish()

    def leave(self, now: float) -> StepResult:
        """Announce that this daemon accepts no new work."""
        return self._change_state(MemberState.LEAVING, now)

    def end(self, now: float) -> StepResult:
        """Announce that this daemon ends now."""
        return self._change_state(MemberState.DEAD, now)

    def receive(self, sender: str, message: object, now: float) -> StepResult:
        """Handle a message of another daemon; unknown ones are ignored."""
        handler = self._handlers.get(type(message))
        if handler is not None:
            self._record_contact(sender, now)
            handler(sender, message, now)
        return self._finish()

    def tick(self, now: float) -> StepResult:
        """Do what is due; to be called several times per probe interval."""
        self._detect_pause(now)
        self._ticked_at = now
        self._update_role(now)
        if now >= self._next_probe_at:
            self._next_probe_at = now + self._timing.probe_interval
            self._probe_neighbour(now)
            self._ping_untracked(self._bridge.choose_target(now))
        self._escalate_probes(now)
        self._apply_timeouts(now)
        if self.own.state is MemberState.JOINING:
            others = self._roster.list_others()
            self._sends += self.gossip.query_readiness(others, now)
        self._drop_tombstones(now)
        self._sends += self.gossip.flush()
        return self._finish()

    def _change_state(self, state: MemberState, now: float) -> StepResult:
        if self.own.state is not state:
            self._own.set_state(state)
            self._announce_own(now)
        self._sends += self.gossip.flush()
        return self._finish()

    def _announce_own(self, now: float) -> None:
        entry = roster.encode_entry(self._own.record)
        self._roster.update(self._own.record)
        self.gossip.merge(entry, now)
        self._snapshot_outdated = True

    def _update_role(self, now: float) -> None:
        topology = self._roster.find_topology()
        self.gossip.topology = topology
        self._bridge.set_topology(topology, self._roster.list_unreachable)
        self._publish_zones(now)

    def _publish_zones(self, now: float) -> None:
        unreachable = self._bridge.unreachable
        if unreachable != self._own.record.unreachable:
            self._own.set_unreachable(unreachable)
            self._announce_own(now)

    def _merge(self, entry: Entry, now: float, source: str) -> None:
        if not self._table.is_newer(entry):
            return
        if entry.key.startswith(roster.PREFIX):
            self._merge_member(entry, now, source)
        elif self._is_well_formed(entry):
            self.gossip.merge(entry, now, source, self._is_remote(source))
            self._changed.append(entry)

    def _merge_member(self, entry: Entry, now: float, source: str) -> None:
        result = roster.decode_entry(entry)
        if result.is_error():
            return
        record = result.ok
        member = record.member
        if member.id == self.own.id:
            self._refute(entry, now)
            return
        known = self._table.get(entry.key) is not None
        if member.state is MemberState.DEAD and not known:
            return
        self.gossip.merge(entry, now, source, self._is_remote(source))
        self._snapshot_outdated = True
        self._suspicion_timers.update(member, now)
        if member.state is MemberState.DEAD:
            self._roster.remove(member.id)
            self._probes.discard(member.id)
            self.gossip.remove_peer(member.id)
        else:
            self._roster.update(record)
            if member.zone == self.own.zone:
                self._bridge.check_reported_zones(record, now)

    def _refute(self, entry: Entry, now: float) -> None:
        if self.own.state is not MemberState.DEAD:
            self._own.refute(entry.version)
            self._announce_own(now)

    def _is_remote(self, source: str) -> bool:
        sender = self._roster.get(source)
        return sender is not None and sender.zone != self.own.zone

    def _probe_neighbour(self, now: float) -> None:
        target = self._neighbour_order.pick(self.gossip.topology.neighbours)
        if target is not None:
            self._ping(target, self._probes.start(target, now))

    def _escalate_probes(self, now: float) -> None:
        neighbours = self.gossip.topology.neighbours
        for sequence, probe in self._probes.escalate_overdue(now):
            others = [name for name in neighbours if name != probe.target]
            count = min(INDIRECT_PROBE_HELPERS, len(others))
            message = gossip_messages.IndirectPing(sequence, probe.target)
            for helper in self._random.sample(others, count):
                self._send(helper, message)
        for target in self._bridge.list_overdue(now):
            self._ping_untracked(target)

    def _apply_timeouts(self, now: float) -> None:
        for target in self._probes.pop_failed(now):
            self._suspect(target, now)
        for target in self._suspicion_timers.list_expired(now):
            self._declare(target, MemberState.DEAD, now)
        self._bridge.mark_unreachable(now)
        self._publish_zones(now)

    def _suspect(self, target: str, now: float) -> None:
        member = self._roster.get(target)
        if member is None:
            return
        if member.state is MemberState.ALIVE:
            self._declare(target, MemberState.SUSPECT, now)
        else:
            self._suspicion_timers.start(member, now)

    def _declare(self, target: str, state: MemberState, now: float) -> None:
        held = self._table.get(roster.PREFIX + target)
        if held is not None:
            rank = roster.RANK_BY_STATE[state]
            self._merge(dataclasses.replace(held, rank=rank), now, "")

    def _detect_pause(self, now: float) -> None:
        previous = self._ticked_at
        if previous is None or now - previous <= self._timing.pause_threshold:
            return
        self._probes.reset()
        self._bridge.reset()
        self._suspicion_timers.restart_all(now)

    def _drop_tombstones(self, now: float) -> None:
        for member_id in self._suspicion_timers.pop_expired_tombstones(now):
            self._table.remove(roster.PREFIX + member_id)

    def _record_contact(self, sender: str, now: float) -> None:
        self._probes.discard(sender)
        member = self._roster.get(sender)
        if member is None:
            self._send_held_record(sender)
            return
        if member.state is not MemberState.SUSPECT:
            self._suspicion_timers.stop(sender)
        if member.zone != self.own.zone:
            self._bridge.record_contact(member.zone)
            self._publish_zones(now)

    def _send_held_record(self, sender: str) -> None:
        held = self._table.get(roster.PREFIX + sender)
        if held is not None:
            self._send(sender, gossip_messages.Push((held,)))

    def _ping_untracked(self, target: str | None) -> None:
        if target is not None:
            self._ping(target, next(self._sequences))

    def _ping(self, target: str, sequence: int) -> None:
        entries = self.gossip.pop_piggyback()
        held = self._table.get(roster.PREFIX + target)
        suspect = roster.RANK_BY_STATE[MemberState.SUSPECT]
        if held is not None and held.rank == suspect:
            entries = (*entries, held)
        self._send(
            target,
            gossip_messages.Ping(sequence, self._table.digest, entries),
        )

    def _on_ping(
        self, sender: str, message: gossip_messages.Ping, now: float
    ) -> None:
        self._merge_all(sender, message.entries, now)
        ack = gossip_messages.Ack(
            message.sequence, self._table.digest, self.gossip.pop_piggyback()
        )
        self._send(sender, ack)
        self._sends += self.gossip.compare_digest(sender, message.digest, now)

    def _on_ack(
        self, sender: str, message: gossip_messages.Ack, now: float
    ) -> None:
        self._merge_all(sender, message.entries, now)
        self._sends += self.gossip.compare_digest(sender, message.digest, now)
        origin = self._relayed_probes.pop(message.sequence, None)
        if origin is not None:
            reply = gossip_messages.IndirectAck(origin[1], sender)
            self._send(origin[0], reply)

    def _on_indirect_ping(
        self, sender: str, message: gossip_messages.IndirectPing, now: float
    ) -> None:
        if self._roster.get(message.target) is None:
            return
        sequence = next(self._sequences)
        self._relayed_probes[sequence] = (sender, message.sequence)
        if len(self._relayed_probes) > MAX_RELAYED_PROBES:
            del self._relayed_probes[next(iter(self._relayed_probes))]
        self._ping(message.target, sequence)

    def _on_indirect_ack(
        self, sender: str, message: gossip_messages.IndirectAck, now: float
    ) -> None:
        self._probes.discard(message.target)

    def _on_push(
        self, sender: str, message: gossip_messages.Push, now: float
    ) -> None:
        self._merge_all(sender, message.entries, now)
        self.gossip.on_received(message.entries)
        self._sends += self.gossip.push_newer(sender, message.entries)

    def _on_sync_request(
        self, sender: str, message: gossip_messages.SyncRequest, now: float
    ) -> None:
        self._sends += self.gossip.handle_sync_request(sender, message)

    def _on_sync_reply(
        self, sender: str, message: gossip_messages.SyncReply, now: float
    ) -> None:
        self._sends += self.gossip.handle_sync_reply(sender, message, now)

    def _on_want(
        self, sender: str, message: gossip_messages.Want, now: float
    ) -> None:
        self._sends += self.gossip.handle_want(sender, message)

    def _merge_all(
        self,
        sender: str,
        entries: collections.abc.Iterable[Entry],
        now: float,
    ) -> None:
        for entry in entries:
            self._merge(entry, now, sender)

    def _send(self, to: str, message: object) -> None:
        self._sends.append(gossip.Send(to, message))

    def _finish(self) -> StepResult:
        snapshot = None
        if self._snapshot_outdated:
            snapshot = members.MembershipSnapshot(
                self.own, self._roster.list_members()
            )
        outcome = StepResult(
            tuple(self._sends), tuple(self._changed), snapshot
        )
        self._sends.clear()
        self._changed.clear()
        self._snapshot_outdated = False
        return outcome
