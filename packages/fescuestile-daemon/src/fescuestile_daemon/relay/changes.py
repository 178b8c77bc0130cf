"""Changes that tasks wait for."""

import asyncio


class Changes:
    """Wakes the tasks that wait for the next change."""

    def __init__(self) -> None:
        """Start without tasks."""
        self._waiters: set[asyncio.Future[None]] = set()

    def notify(self) -> None:
        """Wake the tasks in ``wait_change``."""
        waiters, self._waiters = self._waiters, set()
        for waiter in waiters:
            if not waiter.done():
                waiter.set_result(None)

    async def wait_change(self, seconds: float) -> None:
        """Wait for a change.

        :param seconds: longest wait
        """
        waiter = asyncio.get_running_loop().create_future()
        self._waiters.add(waiter)
        try:
            async with asyncio.timeout(seconds):
                await waiter
        except TimeoutError:
            pass
        finally:
            self._waiters.discard(waiter)
