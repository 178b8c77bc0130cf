"""Tables of the capacity page."""

import collections.abc
import itertools

from measurements import capacity_costs
from measurements import capacity_failures
from measurements import capacity_lines
from measurements import capacity_roles
from measurements import capacity_totals
from measurements import slope_file
from measurements import slopes

BEGIN = "<!-- tables: written by python -m measurements.capacity page -->"
END = "<!-- end of tables -->"
HEADER = (
    "| when | figure | value | budget | verdict | from | mechanism | state |\n"
    "| --- | --- | ---: | ---: | --- | --- | --- | --- |"
)


def render(recorded: slope_file.SlopeFile) -> str:
    """Return all tables of the page in Markdown."""
    lines = list_lines(recorded)
    sections = [
        _render_role(role, list(group))
        for role, group in itertools.groupby(lines, key=lambda line: line.role)
    ]
    over_budget = [line for line in lines if line.verdict == "OVER"]
    return "\n\n".join(
        [*sections, _render_over_budget(over_budget), _render_slopes(recorded)]
    )


def replace_tables(page: str, tables: str) -> str:
    """Return the page with the tables between its markers replaced.

    :raises ValueError: a marker is missing or stands more than once
    """
    head, rest = page.split(BEGIN)
    _, tail = rest.split(END)
    return f"{head}{BEGIN}\n\n{tables}\n\n{END}{tail}"


def read_tables(page: str) -> str:
    """Return the tables between the markers of a page."""
    return page.split(BEGIN)[1].split(END)[0].strip()


def _render_role(
    role: str, lines: collections.abc.Sequence[capacity_lines.Line]
) -> str:
    rows = [_render_line(line) for line in lines]
    return "\n".join([f"### {role}", "", HEADER, *rows])


def _render_line(line: capacity_lines.Line) -> str:
    budget = (
        "" if line.budget is None else _format_value(line.budget, line.unit)
    )
    cells = (
        line.when,
        line.figure,
        _format_value(line.value, line.unit),
        budget,
        line.verdict,
        line.basis,
        line.mechanism,
        line.state,
    )
    return f"| {' | '.join(cells)} |"


def _render_over_budget(
    lines: collections.abc.Sequence[capacity_lines.Line],
) -> str:
    rows = [
        f"| {line.role} | {line.when} | {line.figure} "
        f"| {_format_value(line.value, line.unit)} "
        f"| {_format_value(line.budget or 0.0, line.unit)} | {line.remedy} |"
        for line in lines
    ]
    title = "### Over the budget, and what would bring it under"
    header = (
        "| role | when | figure | value | budget | remedy |\n"
        "| --- | --- | --- | ---: | ---: | --- |"
    )
    return "\n".join([title, "", header, *rows])


def _render_slopes(recorded: slope_file.SlopeFile) -> str:
    header = (
        "| slope | size | quantity | line | worst residual | sizes |\n"
        "| --- | --- | --- | --- | ---: | --- |"
    )
    rows = [
        f"| `{name}` | {slope.size_name} | {fit.quantity} "
        f"| {_format_fit(fit)} | {fit.residual:.1%} "
        f"| {_format_sizes(slope, fit)} |"
        for name, slope in sorted(recorded.slopes_by_name.items())
        for fit in slope.fits
    ]
    return "\n".join(["### Slopes", "", header, *rows])


def _format_fit(fit: slopes.FitRow) -> str:
    size = "log2(size)" if fit.logarithmic else "size"
    return f"{fit.intercept:.4g} + {fit.slope:.4g} x {size}"


def _format_sizes(slope: slope_file.RecordedSlope, fit: slopes.FitRow) -> str:
    return ", ".join(
        f"{point.size:g}"
        for point in slope.points
        if point.quantity == fit.quantity
    )


def _format_value(value: float, unit: str) -> str:
    return f"{value:.3g} {unit}".strip()


def list_lines(recorded: slope_file.SlopeFile) -> list[capacity_lines.Line]:
    """Return all lines, ordered by role."""
    lines = [
        *capacity_roles.list_lines(recorded),
        *capacity_failures.list_lines(recorded),
    ]
    costs = capacity_costs.Costs(recorded)
    lines += capacity_totals.list_lines(costs, lines)
    return sorted(
        lines, key=lambda line: capacity_lines.ROLES.index(line.role)
    )
