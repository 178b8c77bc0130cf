"""Membership of one daemon: probes, suspicion, refutation, zones.

Only daemons of a member's own zone decide that it is dead. Other zones
learn it by gossip; what they decide themselves is only whether the zone
can be reached at all.
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
from fescuestile import suspicions

INDIRECT_PROBES = 3
RELAYED_PROBES = 256

Entry = gossip_messages.Entry
MemberState = members.MemberState


@dataclasses.dataclass(frozen=True)
class Outcome:
    """What a step asks for.

    :ivar sends: messages to send
    :ivar changed: entries taken that are not members'
    :ivar snapshot: the new snapshot, None while unchanged
    """

    sends: tuple[gossip.Send, ...] = ()
    changed: tuple[Entry, ...] = ()
    snapshot: members.MembershipSnapshot | None = None


class Membership:
    """Decides on (state, event, now); the shell carries actions out."""

    def __init__(
        self,
        own: members.Member,
        random_source: random.Random,
        timing: probes.Timing | None = None,
        accept: collections.abc.Callable[[Entry], bool] | None = None,
    ) -> None:
        """Start as the only member known.

        :param accept: tells whether an entry that is not a member's is
            well formed
        """
        self._random = random_source
        self._timing = timing or probes.Timing()
        self._accept = accept or (lambda entry: True)
        self._own = own_record.OwnRecord(own)
        self._roster = roster.Roster(own)
        self._table = gossip.EntryTable()
        self.gossip = gossip.Gossip(self._table, random_source)
        self._sequences = itertools.count(1)
        self._prober = probes.Prober(self._timing, self._sequences)
        self._bridge = bridges.Bridge(self._timing, random_source)
        self._near_round = probes.Round(random_source)
        self._relayed: dict[int, tuple[str, int]] = {}
        self._suspicions = suspicions.Suspicions(
            self._timing.suspicion, own.zone
        )
        self._next_probe_at = float("-inf")
        self._ticked_at: float | None = None
        self._sends: list[gossip.Send] = []
        self._changed: list[Entry] = []
        self._dirty = True
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
        """The own daemon, as it describes itself."""
        return self._own.member

    @property
    def table(self) -> gossip.EntryTable:
        """All entries held."""
        return self._table

    def is_watcher(self) -> bool:
        """Tell whether this daemon should watch the platform."""
        return self._roster.is_watcher()

    def get_member(self, member_id: str) -> members.Member | None:
        """Return a member by id."""
        return self._roster.get(member_id)

    def meet(self, peer: members.Member, now: float) -> Outcome:
        """Take a daemon that a link has greeted, and compare with it."""
        if peer.id != self.own.id and self._roster.get(peer.id) is None:
            record = gossip_messages.MemberRecord(peer)
            self._offer(roster.encode(record), now, peer.id)
            own = self._table.get(roster.PREFIX + self.own.id)
            assert own is not None
            self._send(peer.id, gossip_messages.Push((own,)))
        self._hear(peer.id, now)
        self._sends += self.gossip.request_sync(peer.id, now)
        return self._finish()

    def announce(self, entry: Entry, now: float) -> Outcome:
        """Take an entry that arose here, and spread it."""
        self._offer(entry, now, "")
        return self._finish()

    def become_ready(self, now: float) -> Outcome:
        """Tell all that this daemon has a configuration and serves."""
        self.gossip.ready = True
        if self.own.state is MemberState.JOINING:
            return self._change_state(MemberState.ALIVE, now)
        return self._finish()

    def leave(self, now: float) -> Outcome:
        """Tell all that this daemon takes no new work."""
        return self._change_state(MemberState.LEAVING, now)

    def end(self, now: float) -> Outcome:
        """Tell all that this daemon ends now."""
        return self._change_state(MemberState.DEAD, now)

    def receive(self, sender: str, message: object, now: float) -> Outcome:
        """Take a message of another daemon."""
        handler = self._handlers.get(type(message))
        if handler is not None:
            self._hear(sender, now)
            handler(sender, message, now)
        return self._finish()

    def tick(self, now: float) -> Outcome:
        """Do what is due; call it some times per probe interval."""
        self._notice_pause(now)
        self._ticked_at = now
        self._update_role(now)
        if now >= self._next_probe_at:
            self._next_probe_at = now + self._timing.probe_interval
            self._probe_neighbour(now)
            self._ping_once(self._bridge.choose_target(now))
        self._repeat_probes(now)
        self._judge(now)
        if self.own.state is MemberState.JOINING:
            others = self._roster.list_others()
            self._sends += self.gossip.seek_ready(others, now)
        self._drop_tombstones(now)
        self._sends += self.gossip.flush()
        return self._finish()

    def _change_state(self, state: MemberState, now: float) -> Outcome:
        if self.own.state is not state:
            self._own.set_state(state)
            self._announce_own(now)
        self._sends += self.gossip.flush()
        return self._finish()

    def _announce_own(self, now: float) -> None:
        entry = roster.encode(self._own.record)
        self._roster.take(self._own.record)
        self.gossip.offer(entry, now)
        self._dirty = True

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

    def _offer(self, entry: Entry, now: float, source: str) -> None:
        if not self._table.is_newer(entry):
            return
        if entry.key.startswith(roster.PREFIX):
            self._offer_member(entry, now, source)
        elif self._accept(entry):
            self.gossip.offer(entry, now, source, self._is_abroad(source))
            self._changed.append(entry)

    def _offer_member(self, entry: Entry, now: float, source: str) -> None:
        result = roster.decode(entry)
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
        self.gossip.offer(entry, now, source, self._is_abroad(source))
        self._dirty = True
        self._suspicions.track(member, now)
        if member.state is MemberState.DEAD:
            self._roster.drop(member.id)
            self._prober.answer(member.id)
            self.gossip.forget(member.id)
        else:
            self._roster.take(record)
            if member.zone == self.own.zone:
                self._bridge.doubt_with(record, now)

    def _refute(self, entry: Entry, now: float) -> None:
        if self.own.state is not MemberState.DEAD:
            self._own.refute(entry.version)
            self._announce_own(now)

    def _is_abroad(self, source: str) -> bool:
        sender = self._roster.get(source)
        return sender is not None and sender.zone != self.own.zone

    def _probe_neighbour(self, now: float) -> None:
        target = self._near_round.pick(self.gossip.topology.neighbours)
        if target is not None:
            self._ping(target, self._prober.open(target, now))

    def _repeat_probes(self, now: float) -> None:
        neighbours = self.gossip.topology.neighbours
        for sequence, probe in self._prober.list_doubtful(now):
            others = [name for name in neighbours if name != probe.target]
            count = min(INDIRECT_PROBES, len(others))
            message = gossip_messages.IndirectPing(sequence, probe.target)
            for helper in self._random.sample(others, count):
                self._send(helper, message)
        for target in self._bridge.list_repeats(now):
            self._ping_once(target)

    def _judge(self, now: float) -> None:
        for target in self._prober.take_failed(now):
            self._suspect(target, now)
        for target in self._suspicions.list_expired(now):
            self._declare(target, MemberState.DEAD, now)
        self._bridge.judge(now)
        self._publish_zones(now)

    def _suspect(self, target: str, now: float) -> None:
        member = self._roster.get(target)
        if member is None:
            return
        if member.state is MemberState.ALIVE:
            self._declare(target, MemberState.SUSPECT, now)
        else:
            self._suspicions.suspect(member, now)

    def _declare(self, target: str, state: MemberState, now: float) -> None:
        held = self._table.get(roster.PREFIX + target)
        if held is not None:
            rank = roster.RANK_BY_STATE[state]
            self._offer(dataclasses.replace(held, rank=rank), now, "")

    def _notice_pause(self, now: float) -> None:
        before = self._ticked_at
        if before is None or now - before <= self._timing.pause_limit:
            return
        self._prober.reset()
        self._bridge.reset()
        self._suspicions.restart(now)

    def _drop_tombstones(self, now: float) -> None:
        for member_id in self._suspicions.take_forgotten(now):
            self._table.remove(roster.PREFIX + member_id)

    def _hear(self, sender: str, now: float) -> None:
        self._prober.answer(sender)
        member = self._roster.get(sender)
        if member is None:
            self._tell_verdict(sender)
            return
        if member.state is not MemberState.SUSPECT:
            self._suspicions.clear(sender)
        if member.zone != self.own.zone:
            self._bridge.hear(member.zone)
            self._publish_zones(now)

    def _tell_verdict(self, sender: str) -> None:
        held = self._table.get(roster.PREFIX + sender)
        if held is not None:
            self._send(sender, gossip_messages.Push((held,)))

    def _ping_once(self, target: str | None) -> None:
        if target is not None:
            self._ping(target, next(self._sequences))

    def _ping(self, target: str, sequence: int) -> None:
        entries = self.gossip.take_piggyback()
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
        self._take_all(sender, message.entries, now)
        ack = gossip_messages.Ack(
            message.sequence, self._table.digest, self.gossip.take_piggyback()
        )
        self._send(sender, ack)
        self._sends += self.gossip.compare(sender, message.digest, now)

    def _on_ack(
        self, sender: str, message: gossip_messages.Ack, now: float
    ) -> None:
        self._take_all(sender, message.entries, now)
        self._sends += self.gossip.compare(sender, message.digest, now)
        origin = self._relayed.pop(message.sequence, None)
        if origin is not None:
            reply = gossip_messages.IndirectAck(origin[1], sender)
            self._send(origin[0], reply)

    def _on_indirect_ping(
        self, sender: str, message: gossip_messages.IndirectPing, now: float
    ) -> None:
        if self._roster.get(message.target) is None:
            return
        sequence = next(self._sequences)
        self._relayed[sequence] = (sender, message.sequence)
        if len(self._relayed) > RELAYED_PROBES:
            del self._relayed[next(iter(self._relayed))]
        self._ping(message.target, sequence)

    def _on_indirect_ack(
        self, sender: str, message: gossip_messages.IndirectAck, now: float
    ) -> None:
        self._prober.answer(message.target)

    def _on_push(
        self, sender: str, message: gossip_messages.Push, now: float
    ) -> None:
        self._take_all(sender, message.entries, now)
        self.gossip.note_received(message.entries)
        self._sends += self.gossip.correct(sender, message.entries)

    def _on_sync_request(
        self, sender: str, message: gossip_messages.SyncRequest, now: float
    ) -> None:
        self._sends += self.gossip.answer_sync(sender, message)

    def _on_sync_reply(
        self, sender: str, message: gossip_messages.SyncReply, now: float
    ) -> None:
        self._sends += self.gossip.take_reply(sender, message, now)

    def _on_want(
        self, sender: str, message: gossip_messages.Want, now: float
    ) -> None:
        self._sends += self.gossip.answer_want(sender, message)

    def _take_all(
        self,
        sender: str,
        entries: collections.abc.Iterable[Entry],
        now: float,
    ) -> None:
        for entry in entries:
            self._offer(entry, now, sender)

    def _send(self, to: str, message: object) -> None:
        self._sends.append(gossip.Send(to, message))

    def _finish(self) -> Outcome:
        snapshot = None
        if self._dirty:
            snapshot = members.MembershipSnapshot(
                self.own, self._roster.list_members()
            )
        outcome = Outcome(tuple(self._sends), tuple(self._changed), snapshot)
        self._sends.clear()
        self._changed.clear()
        self._dirty = False
        return outcome
