"""Alternatives to the daemons' admission, kept for comparison."""

from measurements.baselines import queues
from measurements.baselines import shares

__all__ = ("queues", "shares")
