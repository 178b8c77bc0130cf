"""Background tasks of a component."""

import asyncio
import collections.abc
import typing

import structlog

log = structlog.get_logger(__name__)

BackgroundWork = collections.abc.Coroutine[typing.Any, typing.Any, None]


class TaskSet:
    """Keeps references to running tasks and logs their failures."""

    def __init__(self) -> None:
        """Initialize without tasks."""
        self._tasks: set[asyncio.Task[None]] = set()

    def spawn(self, work: BackgroundWork) -> asyncio.Task[None]:
        """Run a coroutine in the background."""
        task = asyncio.create_task(work)
        self._tasks.add(task)
        task.add_done_callback(self._on_done)
        return task

    async def wait(self, timeout: float) -> bool:
        """Wait for all tasks to end.

        :param timeout: maximum wait in seconds
        :returns: whether all tasks ended in time
        """
        if not self._tasks:
            return True
        _, pending = await asyncio.wait(tuple(self._tasks), timeout=timeout)
        return not pending

    async def close(self) -> None:
        """Cancel all tasks and wait until they have ended."""
        tasks = tuple(self._tasks)
        for task in tasks:
            task.cancel()
        await asyncio.gather(*tasks, return_exceptions=True)

    def _on_done(self, task: asyncio.Task[None]) -> None:
        self._tasks.discard(task)
        if not task.cancelled() and task.exception() is not None:
            log.error("background task failed", exc_info=task.exception())
