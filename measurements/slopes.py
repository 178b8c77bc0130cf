"""Slopes: how a cost of the real code grows with one size."""

import abc
import collections.abc
import dataclasses
import gc
import math
import time

from matplotlib import figure
import numpy

from measurements import frame

REPEATS = 5
MILLISECONDS = 1e3
MICROSECONDS = 1e6


@dataclasses.dataclass(frozen=True, slots=True)
class PointRow:
    """One measured point and the fit's value there."""

    quantity: str
    size: float
    value: float
    fitted: float


@dataclasses.dataclass(frozen=True, slots=True)
class FitRow:
    """Straight line through the points of one quantity.

    :ivar quantity: what was measured, with its unit
    :ivar slope: growth of the quantity per unit of size
    :ivar intercept: quantity at size 0
    :ivar residual: largest distance of a point from the line, as a share
        of the largest value
    :ivar logarithmic: the line is over the size's logarithm to base 2
    """

    quantity: str
    slope: float
    intercept: float
    residual: float
    logarithmic: bool = False

    def predict(self, size: float) -> float:
        """Return the line's value at a size."""
        place = math.log2(size) if self.logarithmic else size
        return self.intercept + self.slope * place


Values = collections.abc.Mapping[str, float]
Work = collections.abc.Callable[[], object]


class SlopeMeasurement(frame.Measurement):
    """Runs the real code at several sizes and fits straight lines.

    :cvar size_name: what the size counts
    :cvar sizes: sizes to run at, four or more
    :cvar logarithmic: fit against the size's logarithm to base 2
    """

    size_name: str
    sizes: tuple[int, ...]
    logarithmic: bool = False

    @abc.abstractmethod
    def measure(self, size: int, seed: int) -> Values:
        """Return the value of each quantity at one size."""

    def run(self, seed: int) -> frame.Report:
        """Measure at all sizes and fit each quantity."""
        measured = [(size, self.measure(size, seed)) for size in self.sizes]
        points: list[PointRow] = []
        fits: list[FitRow] = []
        for quantity in measured[0][1]:
            values = [found[quantity] for _, found in measured]
            fit = fit_line(quantity, self.sizes, values, self.logarithmic)
            fits.append(fit)
            points += [
                PointRow(quantity, size, value, fit.predict(size))
                for size, value in zip(self.sizes, values, strict=True)
            ]
        return frame.Report(self.name, seed, (*points, *fits))

    def plot(self, report: frame.Report, path: str) -> None:
        """Draw points and fit of each quantity."""
        fits = [row for row in report.rows if isinstance(row, FitRow)]
        drawing = figure.Figure(figsize=(6, 3 * len(fits)))
        axes = drawing.subplots(len(fits), squeeze=False)[:, 0]
        for fit, axis in zip(fits, axes, strict=True):
            points = [
                row
                for row in report.rows
                if isinstance(row, PointRow) and row.quantity == fit.quantity
            ]
            sizes = [row.size for row in points]
            axis.plot(sizes, [row.value for row in points], "o")
            axis.plot(sizes, [row.fitted for row in points], "-")
            axis.set_xlabel(self.size_name)
            axis.set_ylabel(fit.quantity)
        drawing.tight_layout()
        drawing.savefig(path)


def measure_best(work: Work, repeats: int = REPEATS) -> float:
    """Return the processor seconds of a piece of work.

    The least of some runs counts, since other processes only add to it.
    """
    return min(measure_once(work) for _ in range(repeats))


def measure_once(work: Work) -> float:
    """Return the processor seconds of one run of a piece of work."""
    gc.collect()
    gc.disable()
    try:
        began = time.process_time()
        work()
        return time.process_time() - began
    finally:
        gc.enable()


def fit_line(
    quantity: str,
    sizes: collections.abc.Sequence[float],
    values: collections.abc.Sequence[float],
    logarithmic: bool = False,
) -> FitRow:
    """Fit a straight line by least squares."""
    places = numpy.log2(sizes) if logarithmic else numpy.asarray(sizes)
    slope, intercept = numpy.polyfit(places, values, 1)
    fitted = numpy.polyval((slope, intercept), places)
    scale = max(map(abs, values)) or 1.0
    residual = float(numpy.max(numpy.abs(fitted - values))) / scale
    return FitRow(
        quantity, float(slope), float(intercept), residual, logarithmic
    )
