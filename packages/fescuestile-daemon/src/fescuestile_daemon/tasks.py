"""Background tasks that belong to one component."""

import asyncio
import collections.abc
import typing

import structlog

log = structlog.get_logger(__name__)

Work = collections.abc.Coroutine[typing.Any, typing.Any, None]


class TaskSet:
    """Keeps references to tasks, logs their failures and ends them."""

    def __init__(self) -> None:
        """Start without tasks."""
        self._tasks: set[asyncio.Task[None]] = set()

    def spawn(self, work: Work) -> asyncio.Task[None]:
        """Run a coroutine in the background."""
        task = asyncio.create_task(work)
        self._tasks.add(task)
        task.add_done_callback(self._finish)
        return task

    async def wait(self, timeout: float) -> bool:
        """Wait for all tasks.

        :param timeout: seconds
        :returns: whether all of them ended
        """
        if not self._tasks:
            return True
        _, pending = await asyncio.wait(tuple(self._tasks), timeout=timeout)
        return not pending

    async def close(self) -> None:
        """Cancel all tasks and wait for their ends."""
        tasks = tuple(self._tasks)
        for task in tasks:
            task.cancel()
        await asyncio.gather(*tasks, return_exceptions=True)

    def _finish(self, task: asyncio.Task[None]) -> None:
        self._tasks.discard(task)
        if not task.cancelled() and task.exception() is not None:
            log.error("task failed", exc_info=task.exception())
