"""Ways that were weighed against ours, kept for comparison."""

from measurements.baselines import queues
from measurements.baselines import shares

__all__ = ("queues", "shares")
