"""Limits of an admission queue and their defaults."""

import dataclasses

from fescuestile import plans
from fescuestile import waits


@dataclasses.dataclass(frozen=True, slots=True)
class AdmissionOptions:
    """Limits of one endpoint's queue.

    :ivar slots: statements that the endpoint runs at a time
    :ivar floors: share of the service time owed to each rank, most urgent
        rank first
    :ivar rank_length: pieces of work that wait in one rank at most
    :ivar initial_service: seconds that a kind not yet measured takes
    :ivar floor_margin: factor by which floors are exceeded, since a slot is
        held while work travels to the endpoint and back
    :ivar wait_margin: factor of the expected wait that a deadline allows
    :ivar service_margin: factor of the mean service time, likewise
    :ivar service_weight: weight of a new sample in the service time
    :ivar load_window: seconds over which a rank's load is averaged
    :ivar follows_latency: fewer run while work takes longer than usual
    """

    slots: int
    floors: tuple[float, ...]
    rank_length: int = 1024
    initial_service: float = 0.005
    floor_margin: float = 1.1
    wait_margin: float = 1.25
    service_margin: float = 2.0
    service_weight: float = 0.05
    load_window: float = 1.0
    follows_latency: bool = True

    def make_margins(self) -> waits.Margins:
        """Return what estimates allow for."""
        return waits.Margins(
            self.floor_margin,
            self.wait_margin,
            self.service_margin,
            self.load_window,
        )


def create_options(
    plan: plans.Plan, endpoint: plans.Endpoint
) -> AdmissionOptions:
    """Return the options that a plan sets for an endpoint."""
    floors = tuple(rank.floor for rank in plan.ranks)
    return AdmissionOptions(slots=endpoint.slots, floors=floors)
