"""Timing, order and tracking of membership probes."""

import collections.abc
import dataclasses
import random


@dataclasses.dataclass(frozen=True, slots=True)
class Timing:
    """Intervals and timeouts of the membership protocol, in seconds.

    :ivar probe_interval: between two probes that a daemon sends
    :ivar indirect_probe_delay: wait for an answer before other daemons are
        requested to probe the target
    :ivar ping_timeout: wait for an answer before a probe has failed
    :ivar suspicion_timeout: from the suspicion of a daemon until it is
        declared dead
    :ivar zone_timeout: from the first unanswered probe of a zone until the
        zone is unreachable
    :ivar pause_threshold: a longer gap between two ticks means that this
        process itself was paused
    """

    probe_interval: float = 0.2
    indirect_probe_delay: float = 0.2
    ping_timeout: float = 0.4
    suspicion_timeout: float = 1.0
    zone_timeout: float = 1.3
    pause_threshold: float = 0.5


@dataclasses.dataclass
class Probe:
    """An unanswered probe.

    :ivar indirect: other daemons were requested to probe the target
    """

    target: str
    sent_at: float
    indirect: bool = False


class ShuffledRoundRobin:
    """Picks each candidate once a round; each round has a random order."""

    def __init__(self, random_source: random.Random) -> None:
        self._random = random_source
        self._remaining: list[str] = []

    def pick(self, candidates: tuple[str, ...]) -> str | None:
        """Return the next candidate, None without candidates."""
        allowed = set(candidates)
        while self._remaining:
            name = self._remaining.pop()
            if name in allowed:
                return name
        self._remaining = sorted(candidates)
        self._random.shuffle(self._remaining)
        return self._remaining.pop() if self._remaining else None


class ProbeTracker:
    """Unanswered probes of daemons in the own zone."""

    def __init__(
        self, timing: Timing, sequences: collections.abc.Iterator[int]
    ) -> None:
        self._timing = timing
        self._sequences = sequences
        self._probes: dict[int, Probe] = {}

    def start(self, target: str, now: float) -> int:
        """Track a new probe and return its sequence number."""
        sequence = next(self._sequences)
        self._probes[sequence] = Probe(target, now)
        return sequence

    def discard(self, target: str) -> None:
        """Discard the probes of a daemon that has answered or died."""
        self._probes = {
            sequence: probe
            for sequence, probe in self._probes.items()
            if probe.target != target
        }

    def escalate_overdue(self, now: float) -> list[tuple[int, Probe]]:
        """Return the probes to send indirectly now, each of them once."""
        overdue = [
            (sequence, probe)
            for sequence, probe in self._probes.items()
            if not probe.indirect
            and now - probe.sent_at >= self._timing.indirect_probe_delay
        ]
        for _, probe in overdue:
            probe.indirect = True
        return overdue

    def pop_failed(self, now: float) -> list[str]:
        """Remove the probes that failed and return their targets."""
        failed = [
            (sequence, probe.target)
            for sequence, probe in self._probes.items()
            if now - probe.sent_at >= self._timing.ping_timeout
        ]
        for sequence, _ in failed:
            del self._probes[sequence]
        return [target for _, target in failed]

    def reset(self) -> None:
        """Discard all probes, after a pause of this process."""
        self._probes.clear()
