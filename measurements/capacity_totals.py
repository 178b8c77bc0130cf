"""Sums of the control lines of one daemon that has every role."""

import collections.abc

from measurements import capacity_lines

Line = capacity_lines.Line

DAYS = (capacity_lines.QUIET, capacity_lines.ORDINARY)
CPU = "% of a core"
TRAFFIC = "KB/s"
BUDGETS = {
    CPU: capacity_lines.CPU_BUDGET,
    TRAFFIC: capacity_lines.TRAFFIC_BUDGET,
}


def list_lines(lines: collections.abc.Sequence[Line]) -> list[Line]:
    """Return the totals of a quiet hour with an ordinary day's changes."""
    control = [
        line
        for line in lines
        if line.when in DAYS and line.budget == BUDGETS.get(line.unit)
    ]
    built = [line for line in control if line.state == capacity_lines.BUILT]
    planned = [line for line in control if line.verdict == "within"]
    return [
        total
        for unit in BUDGETS
        for total in (
            _add_up(built, unit, capacity_lines.BUILT),
            _add_up(planned, unit, capacity_lines.PLANNED),
        )
    ]


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
