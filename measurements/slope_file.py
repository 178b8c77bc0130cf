"""Recorded slopes: ``slopes.json`` beside this module."""

import collections.abc
import dataclasses
import json
import pathlib

from measurements import frame
from measurements import slopes

PATH = pathlib.Path(__file__).parent / "slopes.json"


@dataclasses.dataclass(frozen=True)
class RecordedSlope:
    """One slope measurement as it was recorded.

    :ivar command: command that made it
    :ivar size_name: what the size counts
    """

    name: str
    command: str
    size_name: str
    points: tuple[slopes.PointRow, ...]
    fits: tuple[slopes.FitRow, ...]

    def find_fit(self, quantity: str) -> slopes.FitRow:
        """Return the fit of a quantity."""
        for fit in self.fits:
            if fit.quantity == quantity:
                return fit
        raise KeyError(f"{self.name} has no quantity {quantity!r}")


class SlopeFile:
    """Slopes by name."""

    def __init__(
        self, recorded: collections.abc.Iterable[RecordedSlope]
    ) -> None:
        """Take recorded slopes."""
        self.recorded = {slope.name: slope for slope in recorded}

    def predict(self, name: str, quantity: str, size: float) -> float:
        """Return a fit's value at a size."""
        return self.recorded[name].find_fit(quantity).predict(size)

    def grow(self, name: str, quantity: str) -> float:
        """Return a fit's growth per unit of size."""
        return self.recorded[name].find_fit(quantity).slope

    def put(self, slope: RecordedSlope) -> None:
        """Add a slope or replace it."""
        self.recorded[slope.name] = slope

    def write(self, path: pathlib.Path = PATH) -> None:
        """Write all slopes to a file."""
        content = [
            dataclasses.asdict(slope)
            for _, slope in sorted(self.recorded.items())
        ]
        text = json.dumps(content, indent=1, ensure_ascii=False)
        path.write_text(text + "\n", encoding="utf-8")


def record(
    measurement: slopes.SlopeMeasurement, report: frame.Report
) -> RecordedSlope:
    """Return a report in the form of the file."""
    return RecordedSlope(
        name=report.measurement,
        command=(
            f"python -m measurements run {report.measurement} "
            f"--seed {report.seed}"
        ),
        size_name=measurement.size_name,
        points=tuple(
            row for row in report.rows if isinstance(row, slopes.PointRow)
        ),
        fits=tuple(
            row for row in report.rows if isinstance(row, slopes.FitRow)
        ),
    )


def read(path: pathlib.Path = PATH) -> SlopeFile:
    """Return the recorded slopes, none when there is no file."""
    if not path.exists():
        return SlopeFile(())
    return SlopeFile(
        RecordedSlope(
            name=item["name"],
            command=item["command"],
            size_name=item["size_name"],
            points=tuple(slopes.PointRow(**row) for row in item["points"]),
            fits=tuple(slopes.FitRow(**row) for row in item["fits"]),
        )
        for item in json.loads(path.read_text(encoding="utf-8"))
    )
