"""Fault schedule, drawn from a seed."""

import dataclasses
import random

KINDS = (
    "kill daemon",
    "stop daemon",
    "pause daemon",
    "reload daemon",
    "primary dark",
    "primary ends",
    "replica dark",
    "replica deaf",
    "all replicas deaf",
    "answers lost",
    "endpoint slow",
    "endpoint link delayed",
    "endpoint link reset",
    "endpoint link silenced",
    "endpoint link one way",
    "endpoint leaves",
    "store silent",
    "store refuses",
    "store loses answers",
    "store executes late",
    "store forgets history",
    "store link silenced",
    "configuration changes",
    "entry lapses",
    "malformed entry",
)

# Drawn apart from the others: the store comes back from an older copy.
DRILL = "store goes back"
DRILL_SHARE = 0.5
# Share of the drills that come twice in a row, and the pause between them.
TWICE_SHARE = 0.3
TWICE_SECONDS = (0.5, 3.0)

# Drawn apart too: changes of a key that callers use.
KEY_CHANGES = ("key moves", "key revoked")
KEY_CHANGE_SECONDS = (1.0, 5.0)


@dataclasses.dataclass(frozen=True)
class Series:
    """Faults that come one after the other and may overlap.

    :ivar kinds: kinds in order
    :ivar longest_gap: most seconds between two of them
    :ivar has_one_target: whether they have one target or several in turn
    """

    kinds: tuple[str, ...]
    longest_gap: float
    has_one_target: bool = False


SERIES = (
    Series(("endpoint leaves",) * 6, 0.5),
    Series(
        (*("endpoint leaves",) * 3, *("primary dark", "primary ends") * 2),
        1.2,
    ),
    # Some daemons do not hear of the endpoints that register meanwhile.
    Series(
        ("release endpoint", "store link silenced") * 2
        + ("release endpoint", "primary dark"),
        1.0,
    ),
    Series(("stop daemon",) * 3, 1.0),
    Series(
        ("reload daemon", "pause daemon", "reload daemon", "stop daemon"),
        0.5,
        has_one_target=True,
    ),
    Series(("configuration changes",) * 6, 0.3),
)


@dataclasses.dataclass(frozen=True)
class Fault:
    """Scheduled fault.

    :ivar at: seconds after the start of the run
    :ivar kind: one of ``KINDS`` or ``KEY_CHANGES``, or ``DRILL``
    :ivar seconds: duration
    :ivar pick: selects the target among the candidates for the kind
    """

    at: float
    kind: str
    seconds: float
    pick: int


def draw_faults(seed: int, seconds: float) -> list[Fault]:
    """Return the faults of a run in order of time; they may overlap.

    :param seconds: duration of the run
    """
    source = random.Random(seed)
    faults = []
    at = source.uniform(0.5, 1.5)
    while at < seconds - 2.0:
        faults.append(
            Fault(
                round(at, 2),
                source.choice(KINDS),
                round(source.uniform(0.4, 3.0), 2),
                source.randrange(1000),
            )
        )
        at += source.expovariate(1 / 1.2)
    faults.extend(_draw_series(seed, seconds))
    faults.extend(_draw_drills(seed, seconds))
    faults.extend(_draw_key_changes(seed, seconds))
    return sorted(faults, key=lambda fault: fault.at)


def _draw_series(seed: int, seconds: float) -> list[Fault]:
    """Return the faults of one series, over which the others come."""
    source = random.Random(f"series {seed}")
    series = source.choice(SERIES)
    at = source.uniform(0.5, max(0.6, seconds - 6.0))
    pick = source.randrange(1000)
    faults = []
    for kind in series.kinds:
        faults.append(
            Fault(round(at, 2), kind, round(source.uniform(0.4, 3.0), 2), pick)
        )
        at += source.uniform(0.1, series.longest_gap)
        pick += not series.has_one_target
    return faults


def _draw_drills(seed: int, seconds: float) -> list[Fault]:
    """Return the drills of a run, over which the others come.

    The others are those of a run without drills.
    """
    source = random.Random(f"drill {seed}")
    if source.random() >= DRILL_SHARE:
        return []
    drills = []
    at = source.uniform(2.0, max(2.1, seconds - 5.0))
    for _ in range(2 if source.random() < TWICE_SHARE else 1):
        away = round(source.uniform(0.2, 2.0), 2)
        drills.append(Fault(round(at, 2), DRILL, away, source.randrange(1000)))
        at += away + source.uniform(*TWICE_SECONDS)
    return drills


def _draw_key_changes(seed: int, seconds: float) -> list[Fault]:
    """Return the changes of keys of a run, over which the others come."""
    source = random.Random(f"keys {seed}")
    changes = []
    at = source.uniform(*KEY_CHANGE_SECONDS)
    while at < seconds - 2.0:
        kind = source.choice(KEY_CHANGES)
        changes.append(Fault(round(at, 2), kind, 0.0, 0))
        at += source.uniform(*KEY_CHANGE_SECONDS)
    return changes
