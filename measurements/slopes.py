"""Slope measurements: how a cost of the real code grows with one size."""

import abc
import collections.abc
import dataclasses
import gc
import math
import time

from matplotlib import figure
import numpy

from measurements import base

REPEATS = 5
MILLISECONDS_PER_SECOND = 1e3
MICROSECONDS_PER_SECOND = 1e6


@dataclasses.dataclass(frozen=True, slots=True)
class PointRow:
    """One measured point and the value of the fit at its size."""

    quantity: str
    size: float
    value: float
    fitted: float


@dataclasses.dataclass(frozen=True, slots=True)
class FitRow:
    """Least-squares line through the points of one quantity.

    :ivar quantity: what was measured, with its unit
    :ivar slope: growth of the quantity per unit of size
    :ivar intercept: quantity at size 0
    :ivar residual: largest distance of a point from the line, as a fraction
        of the largest value
    :ivar logarithmic: whether the fit is against log2 of the size
    """

    quantity: str
    slope: float
    intercept: float
    residual: float
    logarithmic: bool = False

    def predict(self, size: float) -> float:
        """Return the fitted value at a size."""
        scaled_size = math.log2(size) if self.logarithmic else size
        return self.intercept + self.slope * scaled_size


QuantityValues = collections.abc.Mapping[str, float]
Function = collections.abc.Callable[[], object]


class SlopeMeasurement(base.Measurement):
    """Runs the real code at several sizes and fits a line per quantity.

    :cvar size_name: what the size counts
    :cvar sizes: sizes to run at, at least four
    :cvar logarithmic: whether to fit against log2 of the size
    """

    size_name: str
    sizes: tuple[int, ...]
    logarithmic: bool = False

    @abc.abstractmethod
    def measure(self, size: int, seed: int) -> QuantityValues:
        """Return the value of each quantity at one size."""

    def run(self, seed: int) -> base.Report:
        """Measure at all sizes and fit each quantity."""
        values_by_size = [
            (size, self.measure(size, seed)) for size in self.sizes
        ]
        points: list[PointRow] = []
        fits: list[FitRow] = []
        for quantity in values_by_size[0][1]:
            values = [point[quantity] for _, point in values_by_size]
            fit = fit_line(quantity, self.sizes, values, self.logarithmic)
            fits.append(fit)
            points += [
                PointRow(quantity, size, value, fit.predict(size))
                for size, value in zip(self.sizes, values, strict=True)
            ]
        return base.Report(self.name, seed, (*points, *fits))

    def plot(self, report: base.Report, path: str) -> None:
        """Draw the points and the fit of each quantity, one below another."""
        fits = [row for row in report.rows if isinstance(row, FitRow)]
        chart = figure.Figure(figsize=(6, 3 * len(fits)))
        axes = chart.subplots(len(fits), squeeze=False)[:, 0]
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
        chart.tight_layout()
        chart.savefig(path)


def measure_least_cpu(function: Function, repeats: int = REPEATS) -> float:
    """Return the least processor seconds of several runs of a function.

    The least is taken because other processes only add to the time.
    """
    return min(measure_cpu(function) for _ in range(repeats))


def measure_cpu(function: Function) -> float:
    """Return the processor seconds of one run of a function.

    The garbage collector is off while it runs.
    """
    gc.collect()
    gc.disable()
    try:
        start = time.process_time()
        function()
        return time.process_time() - start
    finally:
        gc.enable()


def fit_line(
    quantity: str,
    sizes: collections.abc.Sequence[float],
    values: collections.abc.Sequence[float],
    logarithmic: bool = False,
) -> FitRow:
    """Fit a line to the values of a quantity by least squares."""
    scaled_sizes = numpy.log2(sizes) if logarithmic else numpy.asarray(sizes)
    slope, intercept = numpy.polyfit(scaled_sizes, values, 1)
    fitted = numpy.polyval((slope, intercept), scaled_sizes)
    scale = max(map(abs, values)) or 1.0
    residual = float(numpy.max(numpy.abs(fitted - values))) / scale
    return FitRow(
        quantity, float(slope), float(intercept), residual, logarithmic
    )
