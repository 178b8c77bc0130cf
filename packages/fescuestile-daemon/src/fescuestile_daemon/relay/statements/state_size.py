"""Size of a session's values and prepared statements."""

import sys

from fescuestile_daemon.relay.core import messages


class StateSize:
    """Counts and limits the values and prepared statements of a session.

    :ivar total: bytes of all of them
    """

    def __init__(self, max_count: int, max_bytes: int) -> None:
        """Start empty.

        :param max_count: maximum number of values and statements together
        :param max_bytes: maximum of their bytes together
        """
        self._max_count = max_count
        self._max_bytes = max_bytes
        self._sizes: dict[tuple[messages.Verb, str], int] = {}
        self.total = 0

    def put(self, verb: messages.Verb, name: str, text: str) -> bool:
        """Add or replace one.

        :param verb: SET for a value, PREPARE for a statement
        :returns: False if it exceeds a limit and was not added
        """
        key = verb, name
        # Text outside of ASCII takes up to four bytes a character.
        size = sys.getsizeof(name) + sys.getsizeof(text)
        total = self.total + size - self._sizes.get(key, 0)
        if total > self._max_bytes:
            return False
        if key not in self._sizes and len(self._sizes) >= self._max_count:
            return False
        self._sizes[key] = size
        self.total = total
        return True

    def remove(self, verb: messages.Verb, name: str) -> None:
        """Remove one if it is known."""
        self.total -= self._sizes.pop((verb, name), 0)
