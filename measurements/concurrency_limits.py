"""Ways to find an endpoint's concurrency limit, compared by its loads."""

import dataclasses
import typing

from fescuestile import concurrency
from measurements import base
from measurements import endpoint_model

# Of the goodput of the declared slots at an endpoint that is well.
MAX_CALM_LOSS = 0.01


@dataclasses.dataclass(frozen=True, slots=True)
class LimitRow:
    """Share of each rank's work that ends within its target under a load.

    :ivar limit: mean limit
    :ivar last: mean limit over the last seconds
    """

    load: str
    way: str
    urgent: float
    usual: float
    late: float
    all: float
    limit: float
    last: float


class ConcurrencyLimits(base.Measurement):
    """Goodput of one endpoint by way and load."""

    name = "concurrency_limits"
    description = "Work within its target, by way to limit concurrency."

    def run(self, seed: int) -> base.Report:
        """Run each load with each way."""
        rows = tuple(
            run_load(load, way, seed)
            for load in endpoint_model.LOADS
            for way in concurrency.Way
        )
        calm = {row.way: row.all for row in rows if row.load == "calm"}
        declared = calm[concurrency.Way.DECLARED.value]
        targets = tuple(
            base.require_at_most(
                f"calm, {way}: share lost", declared - share, MAX_CALM_LOSS
            )
            for way, share in calm.items()
        )
        return base.Report(self.name, seed, rows, targets)


def run_load(
    load: endpoint_model.Load, way: concurrency.Way, seed: int
) -> LimitRow:
    """Run one load with one way."""
    ended = endpoint_model.Simulation(load, way, seed).run()
    return LimitRow(
        load=load.name,
        way=way.value,
        urgent=round(ended.compute_share({0}), 4),
        usual=round(ended.compute_share({1}), 4),
        late=round(ended.compute_share({2}), 4),
        all=round(ended.compute_share({0, 1, 2}), 4),
        limit=round(ended.mean_limit, 2),
        last=round(ended.last_limit, 2),
    )


def create_measurements() -> typing.Sequence[base.Measurement]:
    """Return the measurements of this module."""
    return (ConcurrencyLimits(),)
