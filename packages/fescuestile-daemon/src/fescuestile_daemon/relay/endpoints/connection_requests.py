"""Requests that wait for a connection of a pool."""

import asyncio
import collections
import collections.abc
import dataclasses
import math


@dataclasses.dataclass(eq=False, slots=True)
class Request:
    """A request for a connection, and its use of the connection.

    :ivar tenant: tenant whose statements run on it
    :ivar level: rank of these, 0 for the most urgent
    :ivar inspects: whether it is for a status report
    :ivar holds: whether it is kept for a transaction
    :ivar since: monotonic seconds of the request
    :ivar started_at: monotonic seconds at which it got the connection
    :ivar is_blocked: whether it waits and may not open a connection
    """

    tenant: str
    level: int
    inspects: bool
    holds: bool
    since: float
    started_at: float = math.inf
    is_blocked: bool = False


class RequestQueue:
    """Requests that wait, each until it is woken to try again."""

    def __init__(
        self, on_unused: collections.abc.Callable[[], object]
    ) -> None:
        """Initialize without requests.

        :param on_unused: called when a request was woken in vain
        """
        self._on_unused = on_unused
        self._waiting: dict[Request, asyncio.Future[None]] = {}
        # Waiting work by tenant, without status reports.
        self._counts: collections.Counter[str] = collections.Counter()

    def count_blocked(self) -> int:
        """Return how many requests wait that may not open a connection."""
        return sum(request.is_blocked for request in self._waiting)

    def has_others(self, tenant: str) -> bool:
        """Return whether work of another tenant waits."""
        return any(waiting != tenant for waiting in self._counts)

    async def wait(self, request: Request, seconds: float | None) -> None:
        """Wait until a request is woken.

        :param seconds: longest wait, None for no limit
        :raises asyncio.CancelledError: the caller was cancelled
        """
        waiter = asyncio.get_running_loop().create_future()
        self._waiting[request] = waiter
        if not request.inspects:
            self._counts[request.tenant] += 1
        try:
            async with asyncio.timeout(seconds):
                await waiter
        except TimeoutError:
            pass
        except asyncio.CancelledError:
            if waiter.done() and not waiter.cancelled():
                self._on_unused()
            raise
        finally:
            if self._waiting.get(request) is waiter:
                self._remove(request)

    def wake(
        self,
        rate: collections.abc.Callable[[Request], tuple[float, ...] | None],
    ) -> bool:
        """Wake the request that is rated lowest.

        Of requests that differ only in age, the oldest one stands for all.

        :param rate: returns None for a request that could not proceed, and
            then for none that differs only in being younger
        :returns: whether one was woken
        """
        oldest: dict[
            tuple[str, int, bool, bool], tuple[float, int, Request]
        ] = {}
        for number, (request, waiter) in enumerate(self._waiting.items()):
            if waiter.done():
                continue
            key = (
                request.tenant,
                request.level,
                request.inspects,
                request.holds,
            )
            found = oldest.get(key)
            if found is None or request.since < found[0]:
                oldest[key] = request.since, number, request
        rated = [
            (rating, number, request)
            for _, number, request in oldest.values()
            if (rating := rate(request)) is not None
        ]
        if not rated:
            return False
        self._wake(min(rated)[2])
        return True

    def wake_first(self) -> bool:
        """Wake the request that waits for longest, if any."""
        for request, waiter in self._waiting.items():
            if not waiter.done():
                self._wake(request)
                return True
        return False

    def wake_all(self) -> None:
        """Wake all requests."""
        for request in list(self._waiting):
            self._wake(request)

    def _remove(self, request: Request) -> asyncio.Future[None]:
        if not request.inspects:
            self._counts[request.tenant] -= 1
            if not self._counts[request.tenant]:
                del self._counts[request.tenant]
        return self._waiting.pop(request)

    def _wake(self, request: Request) -> None:
        waiter = self._remove(request)
        if not waiter.done():
            waiter.set_result(None)
