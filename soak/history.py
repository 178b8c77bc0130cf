"""History of the callers' statements, checked for violations."""

import collections
import dataclasses
import math

REFUSALS = frozenset(
    {
        "BUSY",
        "ABORTED",
        "LAGGING",
        "READONLY",
        "MISROUTED",
        "CONNLIMIT",
        "AUTHFAIL",
    }
)
# Tolerance for the time between sending or receiving a statement and taking
# its time in this process.
CLOCK_TOLERANCE_SECONDS = 0.005


@dataclasses.dataclass(frozen=True)
class Write:
    """Acknowledged write of a key."""

    number: int
    acknowledged_at: float


class History:
    """Records statements and checks guarantees.

    :ivar violations: description of each violated guarantee
    :ivar outcomes: number of statements by outcome
    :ivar refused: error code by id of a refused write
    :ivar acknowledged: key by id of an acknowledged write
    """

    def __init__(self) -> None:
        """Initialize without statements."""
        self.violations: list[str] = []
        self.outcomes: collections.Counter[str] = collections.Counter()
        self.refused: dict[str, str] = {}
        self.acknowledged: dict[str, str] = {}
        self._writes: dict[str, list[Write]] = collections.defaultdict(list)
        self._attempted: dict[str, int] = collections.defaultdict(int)

    def record_attempt(self, key: str, number: int) -> None:
        """Record that a write is about to be sent."""
        self._attempted[key] = number

    def record_outcome(
        self, key: str, number: int, id_: str, error: str, at: float
    ) -> None:
        """Record the outcome of a write.

        :param error: error code, empty if the write was acknowledged
        :param at: time of the event loop in seconds
        """
        self.outcomes[f"write {error or 'done'}"] += 1
        if not error:
            self.acknowledged[id_] = key
            self._writes[key].append(Write(number, at))
        elif error in REFUSALS:
            self.refused[id_] = error

    def check_read(
        self,
        key: str,
        row: str,
        began_at: float,
        staleness: float,
        reader: str,
    ) -> None:
        """Check the row that a read returned.

        :param began_at: time of the event loop before the read was sent
        :param staleness: seconds that the read may be behind
        :param reader: caller and route, for the description
        """
        self.outcomes["read done"] += 1
        number = 0 if row == "none" else int(row)
        until = began_at - staleness - CLOCK_TOLERANCE_SECONDS
        latest_number = max(
            (
                write.number
                for write in self._writes[key]
                if write.acknowledged_at < until
            ),
            default=0,
        )
        if not latest_number <= number <= self._attempted[key]:
            self.violations.append(
                f"{reader}: read {number} from {key}, expected at least"
                f" {latest_number} (acknowledged) and at most"
                f" {self._attempted[key]} (attempted)"
            )

    def check_logs(self, logs: dict[str, list[str]]) -> None:
        """Check the final logs of the groups' primaries.

        :param logs: ids of committed writes by group
        """
        committed = [id_ for ids in logs.values() for id_ in ids]
        counts = collections.Counter(committed)
        for id_, count in counts.items():
            if count > 1:
                self.violations.append(
                    f"write {id_} took effect {count} times"
                )
            if id_ in self.refused:
                self.violations.append(
                    f"write {id_} was refused ({self.refused[id_]}) and"
                    " committed"
                )
        for id_, key in self.acknowledged.items():
            if id_ not in counts:
                self.violations.append(
                    f"acknowledged write {id_} of {key} lost"
                )

    def check_promotions(
        self, promotions: list[tuple[str, str, str, int]]
    ) -> None:
        """Check that fencing tokens never decrease and have one holder each.

        :param promotions: promotions in order of time; the last two fields
            are holder and fencing token
        """
        last = -math.inf
        holders: dict[int, str] = {}
        for _, _, holder, token in promotions:
            if token < last:
                self.violations.append(f"fencing token {token} after {last}")
            if holders.setdefault(token, holder) != holder:
                self.violations.append(f"two holders of fencing token {token}")
            last = max(last, token)
