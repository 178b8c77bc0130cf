"""Results of slope measurements, stored in ``slopes.json``."""

import collections.abc
import dataclasses
import json
import pathlib

from measurements import base
from measurements import slopes

PATH = pathlib.Path(__file__).parent / "slopes.json"


@dataclasses.dataclass(frozen=True)
class RecordedSlope:
    """Recorded result of one slope measurement.

    :ivar command: command that reproduces it
    :ivar size_name: what the size counts
    """

    name: str
    command: str
    size_name: str
    points: tuple[slopes.PointRow, ...]
    fits: tuple[slopes.FitRow, ...]

    def find_fit(self, quantity: str) -> slopes.FitRow:
        """Return the fit of a quantity.

        :raises KeyError: the measurement has no such quantity
        """
        for fit in self.fits:
            if fit.quantity == quantity:
                return fit
        raise KeyError(f"{self.name} has no quantity {quantity!r}")


class SlopeFile:
    """Recorded slopes, found by the names of their measurements."""

    def __init__(
        self, recorded: collections.abc.Iterable[RecordedSlope]
    ) -> None:
        """Index recorded slopes by name."""
        self.slopes_by_name = {slope.name: slope for slope in recorded}

    def predict(self, name: str, quantity: str, size: float) -> float:
        """Return the fitted value of a quantity at a size."""
        return self.slopes_by_name[name].find_fit(quantity).predict(size)

    def get_slope(self, name: str, quantity: str) -> float:
        """Return the growth of a quantity per unit of size."""
        return self.slopes_by_name[name].find_fit(quantity).slope

    def put(self, slope: RecordedSlope) -> None:
        """Add a slope, or replace the one of the same name."""
        self.slopes_by_name[slope.name] = slope

    def write(self, path: pathlib.Path = PATH) -> None:
        """Write all slopes to a JSON file, sorted by name."""
        content = [
            dataclasses.asdict(slope)
            for _, slope in sorted(self.slopes_by_name.items())
        ]
        text = json.dumps(content, indent=1, ensure_ascii=False)
        path.write_text(text + "\n", encoding="utf-8")


def convert_report(
    measurement: slopes.SlopeMeasurement, report: base.Report
) -> RecordedSlope:
    """Convert a report to the slope that the file stores."""
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
    """Return the recorded slopes; none if the file does not exist."""
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
