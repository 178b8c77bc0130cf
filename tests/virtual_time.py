"""Event loop with virtual time, for simulations of load.

Its clock jumps to the next timer instead of waiting for it.
"""

import asyncio
import selectors
import time


class _JumpingSelector(selectors.SelectSelector):
    """Advances the time by the timeout instead of waiting for it."""

    def __init__(self):
        super().__init__()
        self.now = 1000.0

    def select(self, timeout=None):
        if timeout:
            self.now += timeout
        return super().select(0)


class VirtualLoop(asyncio.SelectorEventLoop):
    """Event loop in virtual time."""

    def __init__(self):
        self._jumping = _JumpingSelector()
        super().__init__(self._jumping)
        self._clock_resolution = 1e-6

    def time(self):
        return self._jumping.now


def run(main, monkeypatch):
    """Run a coroutine in virtual time, which ``time.monotonic`` returns."""
    loop = VirtualLoop()
    monkeypatch.setattr(time, "monotonic", loop.time)
    try:
        return loop.run_until_complete(main)
    finally:
        loop.run_until_complete(_cancel_tasks())
        monkeypatch.undo()
        loop.close()


async def _cancel_tasks():
    """Cancel the tasks that are left.

    The garbage collector would end them at any later time, such as while a
    failure is reported.
    """
    tasks = asyncio.all_tasks() - {asyncio.current_task()}
    for task in tasks:
        task.cancel()
    await asyncio.gather(*tasks, return_exceptions=True)
