"""Changes that tasks wait for."""

import asyncio


class Changes:
    """Wakes the tasks that wait for the next change."""

    def __init__(self) -> None:
        """Start without tasks."""
        # Keys in order of their arrival, in which they are woken.
        self._waiters: dict[asyncio.Future[None], None] = {}

    def notify(self) -> None:
        """Wake the tasks in ``wait_change``."""
        waiters, self._waiters = self._waiters, {}
        for waiter in waiters:
            if not waiter.done():
                waiter.set_result(None)

    async def wait_change(self, seconds: float) -> None:
        """Wait for a change.

        :param seconds: longest wait
        """
        waiter = asyncio.get_running_loop().create_future()
        self._waiters[waiter] = None
        try:
            async with asyncio.timeout(seconds):
                await waiter
        except TimeoutError:
            pass
        finally:
            self._waiters.pop(waiter, None)
