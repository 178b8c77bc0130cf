"""Ways to limit the statements that run at an endpoint at a time."""

import enum

from fescuestile import concurrency_gradients
from fescuestile import concurrency_limits
from fescuestile import concurrency_queueing
from fescuestile import concurrency_trials

ConcurrencyLimit = concurrency_limits.ConcurrencyLimit


class Way(enum.Enum):
    """How a limit is found."""

    DECLARED = "declared"
    TRIALS = "trials"
    GRADIENT = "gradient"
    LITTLE = "little"
    QUEUEING = "queueing"


_CLASSES: dict[Way, type[ConcurrencyLimit]] = {
    Way.DECLARED: concurrency_limits.DeclaredLimit,
    Way.TRIALS: concurrency_trials.TrialLimit,
    Way.GRADIENT: concurrency_gradients.GradientLimit,
    Way.LITTLE: concurrency_queueing.LittleLimit,
    Way.QUEUEING: concurrency_queueing.QueueingLimit,
}


def create_limit(way: Way, cap: int) -> ConcurrencyLimit:
    """Return a limit that starts at its cap.

    :param way: how it is found
    :param cap: highest limit, in statements at a time
    """
    return _CLASSES[way](cap)
