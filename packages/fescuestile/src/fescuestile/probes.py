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
