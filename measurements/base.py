"""Base class of measurements, and the reports that they return."""

import abc
import dataclasses
import typing


@dataclasses.dataclass(frozen=True, slots=True)
class Target:
    """Stated target of a measurement and whether a run met it.

    :ivar name: what is measured, with its unit
    :ivar target: bound as text, such as ``>= 0.99``
    :ivar measured: value of this run
    :ivar met: whether the value is within the bound
    """

    name: str
    target: str
    measured: float
    met: bool


class Row(typing.Protocol):
    """Row of a report: a frozen dataclass with a field per column."""

    __dataclass_fields__: typing.ClassVar[dict[str, typing.Any]]


@dataclasses.dataclass(frozen=True)
class Report:
    """Result of one run of a measurement.

    :ivar measurement: name of the measurement
    :ivar seed: seed of the run
    :ivar rows: measured values; rows of one class form one table
    :ivar targets: targets, met or missed
    """

    measurement: str
    seed: int
    rows: tuple[Row, ...]
    targets: tuple[Target, ...] = ()


class Measurement(abc.ABC):
    """Measurement that the command line runs by its name.

    :cvar name: name on the command line
    :cvar description: one line for the list of measurements
    """

    name: str
    description: str

    @abc.abstractmethod
    def run(self, seed: int) -> Report:
        """Run the measurement.

        :param seed: seed of all its random numbers
        """

    def plot(self, report: Report, path: str) -> None:
        """Draw a report as a chart and save it to a file.

        :raises NotImplementedError: the measurement has no plot
        """
        raise NotImplementedError(f"{self.name} has no plot")


def require_at_least(name: str, measured: float, bound: float) -> Target:
    """Return a target with a lower bound."""
    return Target(name, f">= {bound:g}", measured, measured >= bound)


def require_at_most(name: str, measured: float, bound: float) -> Target:
    """Return a target with an upper bound."""
    return Target(name, f"<= {bound:g}", measured, measured <= bound)
