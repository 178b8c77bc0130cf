"""Plots the service that the ranks keep under overload."""

import typing

from matplotlib import figure

from measurements import flood_rows

RANKS = ("urgent", "usual", "late")
BAR_WIDTH = 0.25
SIZE_INCHES = (10.0, 6.0)


def draw(
    rows: typing.Sequence[flood_rows.FloodRow], load: float, path: str
) -> None:
    """Plot the rows of one load to a file.

    :param rows: rows of a report
    :param load: load whose rows are plotted
    :param path: output file; its suffix selects the format
    """
    chosen = [row for row in rows if row.load == load]
    cases = sorted({(row.site, row.flood) for row in chosen})
    plot = figure.Figure(figsize=SIZE_INCHES, layout="constrained")
    axes = plot.subplots(len(cases), 1, sharex=True, squeeze=False)
    for axis, (site, flood) in zip(axes[:, 0], cases, strict=True):
        case = [r for r in chosen if (r.site, r.flood) == (site, flood)]
        for offset, rank in enumerate(RANKS):
            offsets = [n + (offset - 1) * BAR_WIDTH for n in range(len(case))]
            heights = [getattr(row, rank) for row in case]
            axis.bar(offsets, heights, BAR_WIDTH, label=rank)
        axis.set_title(f"{site}: {flood} rank overloaded, load {load:g}x")
        axis.set_ylabel("service kept")
        axis.set_ylim(0, 1.05)
        axis.set_xticks(range(len(case)), [row.way for row in case])
    axes[0, 0].legend(loc="lower right")
    plot.savefig(path)
