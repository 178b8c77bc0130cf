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


@dataclasses.dataclass(frozen=True)
class Fault:
    """Scheduled fault.

    :ivar at: seconds after the start of the run
    :ivar kind: one of ``KINDS``
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
    return faults
