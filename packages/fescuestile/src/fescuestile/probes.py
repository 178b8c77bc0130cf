"""Probes of the daemons in the own zone, and of the other zones."""

import collections.abc
import dataclasses
import random


@dataclasses.dataclass(frozen=True, slots=True)
class Timing:
    """Pace of the membership, in seconds.

    :ivar probe_interval: between two probes that a daemon sends
    :ivar indirect_after: silence after which others are asked to probe
    :ivar fail_after: silence after which a probe has failed
    :ivar suspicion: from suspicion of a daemon to its death
    :ivar zone_silence: silence of a zone, from the first unanswered
        probe, after which it is out of reach
    :ivar pause_limit: a tick later than this means that this process was
        paused itself
    """

    probe_interval: float = 0.2
    indirect_after: float = 0.2
    fail_after: float = 0.4
    suspicion: float = 1.0
    zone_silence: float = 1.3
    pause_limit: float = 0.5


@dataclasses.dataclass
class Probe:
    """A probe in flight."""

    target: str
    sent_at: float
    indirect: bool = False


class Round:
    """Goes through candidates in shuffled order, each once a round."""

    def __init__(self, random_source: random.Random) -> None:
        self._random = random_source
        self._left: list[str] = []

    def pick(self, candidates: tuple[str, ...]) -> str | None:
        """Return the next candidate, None when there is none."""
        allowed = set(candidates)
        while self._left:
            name = self._left.pop()
            if name in allowed:
                return name
        self._left = sorted(candidates)
        self._random.shuffle(self._left)
        return self._left.pop() if self._left else None


class Prober:
    """Probes in flight to daemons of the own zone."""

    def __init__(
        self, timing: Timing, sequences: collections.abc.Iterator[int]
    ) -> None:
        self._timing = timing
        self._sequences = sequences
        self._probes: dict[int, Probe] = {}

    def open(self, target: str, now: float) -> int:
        """Note a probe and return its sequence number."""
        sequence = next(self._sequences)
        self._probes[sequence] = Probe(target, now)
        return sequence

    def answer(self, target: str) -> None:
        """Close the probes of a daemon that gave a sign of life."""
        self._probes = {
            sequence: probe
            for sequence, probe in self._probes.items()
            if probe.target != target
        }

    def list_doubtful(self, now: float) -> list[tuple[int, Probe]]:
        """Return probes that others should repeat now, each once."""
        due = [
            (sequence, probe)
            for sequence, probe in self._probes.items()
            if not probe.indirect
            and now - probe.sent_at >= self._timing.indirect_after
        ]
        for _, probe in due:
            probe.indirect = True
        return due

    def take_failed(self, now: float) -> list[str]:
        """Return the targets whose probes failed."""
        failed = [
            (sequence, probe.target)
            for sequence, probe in self._probes.items()
            if now - probe.sent_at >= self._timing.fail_after
        ]
        for sequence, _ in failed:
            del self._probes[sequence]
        return [target for _, target in failed]

    def reset(self) -> None:
        """Forget all probes, after a pause of this process."""
        self._probes.clear()


class ZoneWatch:
    """What a bridge hears from other zones."""

    def __init__(self, timing: Timing) -> None:
        self._timing = timing
        self._asked_at: dict[str, float] = {}
        self.unreachable: frozenset[str] = frozenset()

    def ask(self, zone: str, now: float) -> None:
        """Note that a zone was probed."""
        self._asked_at.setdefault(zone, now)

    def hear(self, zone: str) -> bool:
        """Note a sign of life of a zone.

        :returns: whether the zone was out of reach
        """
        self._asked_at.pop(zone, None)
        if zone not in self.unreachable:
            return False
        self.unreachable -= {zone}
        return True

    def list_doubtful(self, now: float) -> list[str]:
        """Return zones to probe again at once, by all their bridges."""
        return [
            zone
            for zone, asked_at in self._asked_at.items()
            if zone not in self.unreachable
            and now - asked_at >= self._timing.indirect_after
        ]

    def take_lost(self, now: float) -> bool:
        """Mark the zones that are silent for too long.

        :returns: whether there are new ones
        """
        lost = {
            zone
            for zone, asked_at in self._asked_at.items()
            if now - asked_at >= self._timing.zone_silence
        }
        before = self.unreachable
        self.unreachable = before | lost
        return self.unreachable != before

    def keep_zones(self, zones: set[str]) -> None:
        """Forget zones that have no daemons any more."""
        self.unreachable &= zones
        for zone in set(self._asked_at) - zones:
            del self._asked_at[zone]

    def reset(self) -> None:
        """Forget the probes in flight, after a pause of this process."""
        self._asked_at.clear()
