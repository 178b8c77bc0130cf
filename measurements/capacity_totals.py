"""Sums of the control lines of one daemon that has every role."""

import collections.abc

from measurements import capacity_costs
from measurements import capacity_lines

Line = capacity_lines.Line

DAYS = (capacity_lines.QUIET, capacity_lines.ORDINARY)
CPU = "% of a core"
TRAFFIC = "KB/s"
BUDGETS = {
    CPU: capacity_lines.CPU_BUDGET,
    TRAFFIC: capacity_lines.TRAFFIC_BUDGET,
}


def list_lines(
    costs: capacity_costs.Costs, lines: collections.abc.Sequence[Line]
) -> list[Line]:
    """Return the totals of a quiet hour with an ordinary day's changes."""
    control = [
        line
        for line in lines
        if line.when in DAYS and line.budget == BUDGETS.get(line.unit)
    ]
    built = [line for line in control if line.state == capacity_lines.BUILT]
    planned = [line for line in control if line.verdict == "within"]
    totals = [
        total
        for unit in BUDGETS
        for total in (
            _add_up(built, unit, capacity_lines.BUILT),
            _add_up(planned, unit, capacity_lines.PLANNED),
        )
    ]
    return [_describe_idle(costs), *totals]


def _describe_idle(costs: capacity_costs.Costs) -> Line:
    owned = capacity_lines.SIZE.owned
    return Line(
        capacity_lines.TOTAL,
        capacity_lines.QUIET,
        "processor of a real daemon alone, without statements",
        capacity_costs.to_percent(
            costs.recorded.predict("slope_idle", "CPU ms/s", owned)
        ),
        CPU,
        f"`slope_idle` at {owned:.1f} endpoints owned",
        "all",
        capacity_lines.CPU_BUDGET,
        remedy="fewer timers: one look a second at endpoints and pools that "
        "are at rest, waits told when they change",
    )


def _add_up(
    lines: collections.abc.Iterable[Line], unit: str, state: str
) -> Line:
    remedy = "the remedies of the lines above"
    noun = "processor for control" if unit == CPU else "bytes, in and out"
    basis = "sum of the built lines with this budget"
    if state == capacity_lines.PLANNED:
        basis = "sum of the lines within this budget, planned for over"
        remedy = (
            "send reports as CBOR arrays: names of fields are most of their "
            "bytes; then slower pushes of groups at rest"
        )
    return Line(
        capacity_lines.TOTAL,
        capacity_lines.ORDINARY,
        f"{noun}, {state}",
        sum(line.value for line in lines if line.unit == unit),
        unit,
        basis,
        "all",
        BUDGETS[unit],
        state,
        remedy=remedy,
    )
