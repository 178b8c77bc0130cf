"""An event loop whose clock jumps to the next timer, for load patterns."""

import asyncio
import selectors
import time


class _JumpingSelector(selectors.SelectSelector):
    """Passes the time for which the loop would wait."""

    def __init__(self):
        super().__init__()
        self.now = 1000.0

    def select(self, timeout=None):
        if timeout:
            self.now += timeout
        return super().select(0)


class VirtualLoop(asyncio.SelectorEventLoop):
    """Runs as fast as the processor allows."""

    def __init__(self):
        self._jumping = _JumpingSelector()
        super().__init__(self._jumping)
        self._clock_resolution = 1e-6

    def time(self):
        return self._jumping.now


def run(main, monkeypatch):
    """Run a coroutine in virtual time; ``time.monotonic`` follows it."""
    loop = VirtualLoop()
    monkeypatch.setattr(time, "monotonic", loop.time)
    try:
        return loop.run_until_complete(main)
    finally:
        monkeypatch.undo()
        loop.close()
