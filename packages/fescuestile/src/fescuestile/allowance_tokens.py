"""Tokens of one tenant at a daemon."""

import collections


class Tokens:
    """Tokens that end a fixed time after they were requested."""

    def __init__(self) -> None:
        """Start without tokens."""
        # Ends and numbers of tokens, in the order of their ends.
        self._batches: collections.deque[list[float]] = collections.deque()
        self._voided = 0

    def add(self, count: int, until: float) -> None:
        """Add tokens.

        :param until: time at which they are void
        """
        batch = [until, float(count)]
        batches = self._batches
        position = len(batches)
        while position and batches[position - 1][0] > until:
            position -= 1
        batches.insert(position, batch)

    def take(self, now: float) -> bool:
        """Spend the token that ends first; return whether there was one."""
        if not self.count(now):
            return False
        first = self._batches[0]
        first[1] -= 1
        if not first[1]:
            self._batches.popleft()
        return True

    def count(self, now: float) -> int:
        """Return the number of tokens that may be spent."""
        while self._batches and self._batches[0][0] <= now:
            self._voided += int(self._batches.popleft()[1])
        return int(sum(batch[1] for batch in self._batches))

    def clear(self) -> None:
        """Void all tokens."""
        self._voided += int(sum(batch[1] for batch in self._batches))
        self._batches.clear()

    def take_voided(self) -> int:
        """Return the number of tokens void since the last call."""
        voided, self._voided = self._voided, 0
        return voided
