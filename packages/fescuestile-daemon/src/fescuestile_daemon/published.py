"""One reference to an immutable snapshot, swapped by its owner."""

import typing

T = typing.TypeVar("T")
Listener = typing.Callable[[T], None]


class Published(typing.Generic[T]):
    """Holds the latest snapshot; readers never block.

    Listeners run in the publisher's thread.
    """

    def __init__(self, value: T) -> None:
        """Publish a first value."""
        self._value = value
        self._listeners: list[Listener[T]] = []

    def get(self) -> T:
        """Return the latest value."""
        return self._value

    def publish(self, value: T) -> None:
        """Swap the value and tell the listeners."""
        self._value = value
        for listener in tuple(self._listeners):
            listener(value)

    def subscribe(self, listener: Listener[T]) -> None:
        """Call a listener with each value published from now on."""
        self._listeners.append(listener)
