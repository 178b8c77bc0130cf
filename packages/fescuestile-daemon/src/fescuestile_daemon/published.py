"""Holder of an immutable value that its owner replaces atomically."""

import typing

T = typing.TypeVar("T")
Listener = typing.Callable[[T], None]


class Published(typing.Generic[T]):
    """Holds the latest value; readers never block.

    Listeners run in the publisher's thread.
    """

    def __init__(self, value: T) -> None:
        """Initialize with the first value."""
        self._value = value
        self._listeners: list[Listener[T]] = []

    def get(self) -> T:
        """Return the latest value."""
        return self._value

    def publish(self, value: T) -> None:
        """Replace the value and notify the listeners."""
        self._value = value
        for listener in tuple(self._listeners):
            listener(value)

    def subscribe(self, listener: Listener[T]) -> None:
        """Call a listener with each value published from now on."""
        self._listeners.append(listener)
