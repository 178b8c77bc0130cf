"""Totals of the control lines for one daemon that has every role."""

import collections.abc

from measurements import capacity_costs
from measurements import capacity_lines

Line = capacity_lines.Line

PERIODS = (capacity_lines.QUIET, capacity_lines.ORDINARY)
CPU_UNIT = "% of a core"
TRAFFIC_UNIT = "KB/s"
BUDGETS_BY_UNIT = {
    CPU_UNIT: capacity_lines.CPU_BUDGET_PERCENT,
    TRAFFIC_UNIT: capacity_lines.TRAFFIC_BUDGET_KB_PER_SECOND,
}


def list_lines(
    costs: capacity_costs.Costs, lines: collections.abc.Sequence[Line]
) -> list[Line]:
    """Return the total processor time and traffic of control work.

    They add the changes of an ordinary day to the lines of a quiet hour.
    """
    control = [
        line
        for line in lines
        if line.when in PERIODS
        and line.budget == BUDGETS_BY_UNIT.get(line.unit)
    ]
    built = [line for line in control if line.state == capacity_lines.BUILT]
    planned = [line for line in control if line.verdict == "within"]
    totals = [
        total
        for unit in BUDGETS_BY_UNIT
        for total in (
            _sum_lines(built, unit, capacity_lines.BUILT),
            _sum_lines(planned, unit, capacity_lines.PLANNED),
        )
    ]
    return [_create_idle_line(costs), *totals]


def _create_idle_line(costs: capacity_costs.Costs) -> Line:
    owned = capacity_lines.SIZE.owned_endpoints
    return Line(
        capacity_lines.TOTAL,
        capacity_lines.QUIET,
        "processor of a real daemon alone, without statements",
        capacity_costs.to_percent(
            costs.recorded.predict("slope_idle", "CPU ms/s", owned)
        ),
        CPU_UNIT,
        f"`slope_idle` at {owned:.1f} endpoints owned",
        "all",
        capacity_lines.CPU_BUDGET_PERCENT,
        remedy="fewer timers: one look a second at endpoints and pools that "
        "are at rest, waits told when they change",
    )


def _sum_lines(
    lines: collections.abc.Iterable[Line], unit: str, state: str
) -> Line:
    remedy = "the remedies of the lines above"
    noun = "processor for control" if unit == CPU_UNIT else "bytes, in and out"
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
        BUDGETS_BY_UNIT[unit],
        state,
        remedy=remedy,
    )
