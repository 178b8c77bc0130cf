"""Formats reports as tables or as JSON."""

import collections.abc
import dataclasses
import json

from measurements import base


def format_json(report: base.Report) -> str:
    """Format a report as a JSON object."""
    content = {
        "measurement": report.measurement,
        "seed": report.seed,
        "rows": [dataclasses.asdict(row) for row in report.rows],
        "targets": [dataclasses.asdict(target) for target in report.targets],
    }
    return json.dumps(content, indent=2)


def format_table(report: base.Report) -> str:
    """Format a report as aligned tables, one for each class of rows."""
    lines = [f"{report.measurement}, seed {report.seed}"]
    tables: dict[type, list[base.Row]] = {}
    for row in report.rows:
        tables.setdefault(type(row), []).append(row)
    for row_class, rows in tables.items():
        titles = [field.name for field in dataclasses.fields(row_class)]
        lines += ["", *_align_columns(titles, map(dataclasses.astuple, rows))]
    if report.targets:
        titles = [field.name for field in dataclasses.fields(base.Target)]
        cells = (
            (t.name, t.target, t.measured, "met" if t.met else "MISSED")
            for t in report.targets
        )
        lines += ["", *_align_columns(titles, cells)]
    return "\n".join(lines)


def _align_columns(
    titles: list[str],
    rows: collections.abc.Iterable[tuple[object, ...]],
) -> list[str]:
    table = [titles, *([_format_cell(cell) for cell in row] for row in rows)]
    widths = [max(map(len, column)) for column in zip(*table, strict=True)]
    return [
        "  ".join(
            cell.ljust(width) for cell, width in zip(row, widths, strict=True)
        ).rstrip()
        for row in table
    ]


def _format_cell(cell: object) -> str:
    return f"{cell:.4g}" if isinstance(cell, float) else str(cell)
