"""What callers saw, and which promises it breaks."""

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
    }
)
# A statement was sent before its time is taken here and after, in seconds.
CLOCK_SECONDS = 0.005


@dataclasses.dataclass(frozen=True)
class Write:
    """An acknowledged write of a key."""

    number: int
    acknowledged_at: float


class History:
    """Collects and checks; ``broken`` holds what was broken.

    :ivar outcomes: how many statements ended how
    """

    def __init__(self) -> None:
        """Start empty."""
        self.broken: list[str] = []
        self.outcomes: collections.Counter[str] = collections.Counter()
        self.refused: dict[str, str] = {}
        self.acknowledged: dict[str, str] = {}
        self._writes: dict[str, list[Write]] = collections.defaultdict(list)
        self._tried: dict[str, int] = collections.defaultdict(int)

    def try_write(self, key: str, number: int) -> None:
        """Note that a write is being sent."""
        self._tried[key] = number

    def end_write(
        self, key: str, number: int, id_: str, error: str, at: float
    ) -> None:
        """Note how a write ended, with an empty error for well."""
        self.outcomes[f"write {error or 'done'}"] += 1
        if not error:
            self.acknowledged[id_] = key
            self._writes[key].append(Write(number, at))
        elif error in REFUSALS:
            self.refused[id_] = error

    def check_read(
        self, key: str, row: str, began_at: float, staleness: float, who: str
    ) -> None:
        """Check what a read returned.

        :param staleness: seconds that it may be stale; 0 for current
        """
        self.outcomes["read done"] += 1
        number = 0 if row == "none" else int(row)
        until = began_at - staleness - CLOCK_SECONDS
        floor = max(
            (
                write.number
                for write in self._writes[key]
                if write.acknowledged_at < until
            ),
            default=0,
        )
        if not floor <= number <= self._tried[key]:
            self.broken.append(
                f"{who}: {key} is {number}, acknowledged {floor},"
                f" tried {self._tried[key]}"
            )

    def check_logs(self, logs: dict[str, list[str]]) -> None:
        """Check the logs of the groups' primaries at the end.

        :param logs: ids of committed writes by group
        """
        committed = [id_ for ids in logs.values() for id_ in ids]
        counts = collections.Counter(committed)
        for id_, count in counts.items():
            if count > 1:
                self.broken.append(f"write {id_} took effect {count} times")
            if id_ in self.refused:
                self.broken.append(
                    f"write {id_} was refused ({self.refused[id_]}) and"
                    " committed"
                )
        for id_, key in self.acknowledged.items():
            if id_ not in counts:
                self.broken.append(f"acknowledged write {id_} of {key} lost")

    def check_orders(self, orders: list[tuple[str, str, str, int]]) -> None:
        """Check the fencing tokens of promotions, in their order."""
        last = -math.inf
        holders: dict[int, str] = {}
        for _, _, holder, token in orders:
            if token < last:
                self.broken.append(f"fencing token {token} after {last}")
            if holders.setdefault(token, holder) != holder:
                self.broken.append(f"two holders of fencing token {token}")
            last = max(last, token)
