"""Limits of an admission queue and their defaults."""

import dataclasses

from fescuestile import concurrency
from fescuestile import plans
from fescuestile import waits


@dataclasses.dataclass(frozen=True, slots=True)
class AdmissionOptions:
    """Limits of one endpoint's queue.

    :ivar slots: statements that the endpoint runs at a time
    :ivar floors: guaranteed share of the service time of each rank, most
        urgent rank first
    :ivar rank_queue_limit: most work items that wait in one rank
    :ivar initial_service: assumed service time, in seconds, of a kind that
        has not been measured yet
    :ivar floor_factor: factor by which the credited floors exceed the
        declared ones, since a slot is also held during the round trip to
        the endpoint
    :ivar wait_factor: safety factor of the expected wait when compared with
        a deadline
    :ivar service_factor: safety factor of the mean service time when
        compared with a deadline
    :ivar service_weight: weight of a new sample in the mean service time
    :ivar load_window: seconds over which a rank's load is averaged
    :ivar way: how the number of statements that run at a time is found
    """

    slots: int
    floors: tuple[float, ...]
    rank_queue_limit: int = 1024
    initial_service: float = 0.005
    floor_factor: float = 1.1
    wait_factor: float = 1.25
    service_factor: float = 2.0
    service_weight: float = 0.05
    load_window: float = 1.0
    way: concurrency.Way = concurrency.Way.TRIALS

    def make_safety_factors(self) -> waits.SafetyFactors:
        """Return the safety factors of wait estimates."""
        return waits.SafetyFactors(
            self.floor_factor,
            self.wait_factor,
            self.service_factor,
            self.load_window,
        )


def create_options(
    plan: plans.Plan, endpoint: plans.Endpoint
) -> AdmissionOptions:
    """Return the options for an endpoint of a plan."""
    floors = tuple(rank.floor for rank in plan.ranks)
    return AdmissionOptions(slots=endpoint.slots, floors=floors)
