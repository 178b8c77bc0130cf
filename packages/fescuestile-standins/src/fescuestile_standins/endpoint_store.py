"""Key-value store of an endpoint, with transactions and request ids."""

import dataclasses
import enum

import expression

from fescuestile import positions
from fescuestile_standins import endpoint_log


class Verb(enum.StrEnum):
    """Command of a statement."""

    PUT = "PUT"
    GET = "GET"
    ADD = "ADD"
    SLEEP = "SLEEP"


ARGUMENT_COUNT = {Verb.PUT: 2, Verb.GET: 1, Verb.ADD: 2, Verb.SLEEP: 1}


@dataclasses.dataclass(frozen=True, slots=True)
class Operation:
    """A parsed statement.

    :ivar key: key, or the duration of SLEEP in milliseconds
    :ivar value: new value of PUT, or the number that ADD adds
    """

    verb: Verb
    key: str
    value: str = ""

    @property
    def writes(self) -> bool:
        """Whether the operation changes a value."""
        return self.verb in (Verb.PUT, Verb.ADD)

    @property
    def sleep_seconds(self) -> float:
        """Seconds that a slot is held in addition to the service time."""
        if self.verb is not Verb.SLEEP:
            return 0.0
        return float(self.key) / 1000


def parse_statement(text: str) -> expression.Result[Operation, str]:
    """Parse ``PUT key value``, ``GET key``, ``ADD key n``, ``SLEEP ms``.

    :returns: the operation, or a message that describes what is invalid
    """
    name, _, rest = text.strip().partition(" ")
    try:
        verb = Verb(name.upper())
    except ValueError:
        return expression.Error(
            f"expected PUT, GET, ADD or SLEEP, got {name!r}"
        )
    words = rest.split(" ", ARGUMENT_COUNT[verb] - 1)
    if len(words) != ARGUMENT_COUNT[verb] or not all(words):
        return expression.Error(f"{verb} has too few arguments")
    operation = Operation(verb, *words)
    number = {Verb.ADD: operation.value, Verb.SLEEP: operation.key}.get(verb)
    if number is not None and not number.lstrip("-").isdecimal():
        return expression.Error(
            f"expected a whole number in {verb}, got {number!r}"
        )
    return expression.Ok(operation)


@dataclasses.dataclass
class Transaction:
    """Writes that a connection buffers until they are committed.

    :ivar term: term in which the transaction began
    """

    term: int
    read_only: bool = False
    operations: list[Operation] = dataclasses.field(default_factory=list)
    rows: list[endpoint_log.RequestRow] = dataclasses.field(
        default_factory=list
    )


@dataclasses.dataclass(frozen=True, slots=True)
class StoredRow:
    """A request row and the position of the entry that contains it."""

    row: endpoint_log.RequestRow
    position: positions.Position


class Store:
    """Values and request rows, built by applying the log's entries.

    :ivar revision: latest revision of the group's endpoints, 0 for none
    """

    def __init__(self) -> None:
        """Initialize without values."""
        self._values: dict[str, str] = {}
        self._rows: dict[str, StoredRow] = {}
        self.revision = 0

    def copy(self) -> "Store":
        """Return an independent copy."""
        other = Store()
        other._values = self._values.copy()
        other._rows = self._rows.copy()
        other.revision = self.revision
        return other

    def apply(self, entry: endpoint_log.Entry) -> None:
        """Apply the next entry of the log."""
        for change in entry.changes:
            self._values[change.key] = change.value
        for row in entry.rows:
            self._rows[row.request_id] = StoredRow(row, entry.position)
        self.revision = max(self.revision, entry.revision)

    def find_row(self, request_id: str) -> StoredRow | None:
        """Return the row of a request id, None if there is none."""
        return self._rows.get(request_id)

    def run(
        self, operation: Operation, earlier: list[Operation]
    ) -> tuple[dict[str, str], bytes]:
        """Run an operation after the earlier ones of its transaction.

        Nothing is stored.

        :returns: values changed by all of them, and the answer's payload
        """
        changed: dict[str, str] = {}
        payload = b""
        for step in (*earlier, operation):
            payload = self._run_one(step, changed)
        return changed, payload

    def _run_one(self, step: Operation, changed: dict[str, str]) -> bytes:
        if step.verb is Verb.SLEEP:
            return b""
        value = changed.get(step.key, self._values.get(step.key, ""))
        if step.verb is Verb.PUT:
            value = changed[step.key] = step.value
        elif step.verb is Verb.ADD:
            total = _read_number(value) + int(step.value)
            value = changed[step.key] = str(total)
        return value.encode()


def _read_number(value: str) -> int:
    return int(value) if value.lstrip("-").isdecimal() else 0
