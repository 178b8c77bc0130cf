"""Limits on the operations of a tenant, shared by all daemons.

Each of the N registered daemons holds 1/N of each limit and leases it to one
coordinator at a time. A coordinator with L lessors issues tokens, one an
operation, from one bucket per tenant that fills at rate x L / N and holds at
most (burst + spare) x L / N, where the spare is a part of the slack. Without
the spare a small share of a small burst would never be a whole token, and
operations at random times would be refused far below the rate.

Bound. A coordinator counts a lessor until its own clock value that the lessor
echoes plus the lease, and the lessor received that value later. The lessor
goes to another coordinator only when the lease has passed since it received
the last value that it echoed. So each lessor is counted by at most one
coordinator at any time, and as no N is smaller than the number of lessors,
the shares L / N of all coordinators never add up to more than one. In any
time span S all buckets therefore issue at most rate x S + burst + spare. An
operation that runs in a window W spends a token that was issued at most the
lifetime of a token before W, so the operations in W are at most

    rate x (W + lifetime) + burst + spare
        <= (rate x W + burst) x (1 + overage) + slack

where lifetime <= overage x W and spare <= slack. With W 5 s, overage 0.1 and
slack 20, the lifetime may be 0.5 s; ``Quota`` leaves a tenth of it to
operations that wait between their admission and their start. With a smaller
overage the buckets fill more slowly instead.
"""

import collections.abc
import dataclasses
import math

from fescuestile import position_sharing
from fescuestile import rendezvous

# Time for which a daemon leases its share to a coordinator.
LEASE_SECONDS = 0.6
# Clocks of two hosts may run at slightly different speeds.
LEASE_MARGIN = 1.01
MAX_LIFETIME_SECONDS = 0.5
# A shorter lifetime would often pass before the answer arrives.
MIN_LIFETIME_SECONDS = 0.1
# Part of the overage that the lifetime uses.
LIFETIME_SHARE = 0.9
# Part of the slack that buckets hold beyond the burst. The rest covers
# operations that are sent to an endpoint twice.
SPARE_SHARE = 0.4
_ORDER_KEY = "allowances"
_SCORES = 2.0**64


@dataclasses.dataclass(frozen=True, slots=True)
class Quota:
    """How far the operations of a tenant may exceed its limit.

    :ivar window: seconds over which they are counted
    :ivar overage: part of the limit by which they may exceed it
    :ivar slack: operations by which they may exceed it beyond that
    """

    window: float = 5.0
    overage: float = 0.1
    slack: float = 20.0

    @property
    def lifetime(self) -> float:
        """Seconds from its request for which a token may be spent."""
        allowed = LIFETIME_SHARE * self.overage * self.window
        return min(max(allowed, MIN_LIFETIME_SECONDS), MAX_LIFETIME_SECONDS)

    @property
    def rate_factor(self) -> float:
        """Part of the rate at which buckets fill."""
        allowed = self.window * (1 + self.overage)
        return min(1.0, allowed / (self.window + self.lifetime))

    @property
    def spare(self) -> float:
        """Tokens that all buckets of a tenant may hold beyond its burst."""
        return SPARE_SHARE * self.slack

    def compute_bound(self, rate: float, burst: float) -> float:
        """Return how many operations may run in one window."""
        allowed = rate * self.window + burst
        return allowed * (1 + self.overage) + self.slack


DEFAULT_QUOTA = Quota()


def order_daemons(
    peers: collections.abc.Iterable[position_sharing.Peer],
) -> tuple[str, ...]:
    """Return the names of daemons in the order of preference.

    All daemons that know the same peers choose the same order, by weighted
    rendezvous hashing.
    """
    ranked = sorted(
        ((_score(peer), peer.name) for peer in peers), reverse=True
    )
    return tuple(name for _, name in ranked)


def _score(peer: position_sharing.Peer) -> float:
    drawn = (rendezvous.score(_ORDER_KEY, peer.name) + 1) / (_SCORES + 2)
    return -peer.weight / math.log(drawn)
