"""What a measurement is and what it reports."""

import abc
import dataclasses
import typing


@dataclasses.dataclass(frozen=True, slots=True)
class Target:
    """A stated target and whether the run met it.

    :ivar name: what is measured, with its unit
    :ivar target: the bound, for a person, as ``>= 0.99``
    :ivar measured: the figure of this run
    :ivar met: whether the bound holds
    """

    name: str
    target: str
    measured: float
    met: bool


class Row(typing.Protocol):
    """A frozen dataclass with one field for each column."""

    __dataclass_fields__: typing.ClassVar[dict[str, typing.Any]]


@dataclasses.dataclass(frozen=True)
class Report:
    """Result of one run.

    :ivar measurement: name of the measurement
    :ivar seed: seed of the run
    :ivar rows: figures; all rows of one table are of one class
    :ivar targets: targets and whether they were met
    """

    measurement: str
    seed: int
    rows: tuple[Row, ...]
    targets: tuple[Target, ...] = ()


class Measurement(abc.ABC):
    """One measurement, chosen by its name."""

    name: str
    description: str

    @abc.abstractmethod
    def run(self, seed: int) -> Report:
        """Run it.

        :param seed: seed of all that is random in it
        """

    def plot(self, report: Report, path: str) -> None:
        """Draw a report into a file.

        :raises NotImplementedError: the measurement has no plot
        """
        raise NotImplementedError(f"{self.name} has no plot")


def require_at_least(name: str, measured: float, bound: float) -> Target:
    """Return a target that asks for at least a bound."""
    return Target(name, f">= {bound:g}", measured, measured >= bound)


def require_at_most(name: str, measured: float, bound: float) -> Target:
    """Return a target that asks for at most a bound."""
    return Target(name, f"<= {bound:g}", measured, measured <= bound)
