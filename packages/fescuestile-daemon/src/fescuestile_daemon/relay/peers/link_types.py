"""What the two sides of a link share: its user's interface and its bounds."""

import abc
import asyncio
import collections.abc
import dataclasses
import typing

from fescuestile import clock


class RequestHandler(abc.ABC):
    """Serves the requests of peers."""

    @abc.abstractmethod
    async def handle(
        self, peer: str, request: dict[str, typing.Any]
    ) -> dict[str, typing.Any]:
        """Serve a request; return its answer.

        It is not cancelled when the link is lost: ``disconnect`` tells.

        :param peer: name of the daemon that sent it
        """

    @abc.abstractmethod
    def disconnect(self, peer: str) -> None:
        """Note that the incoming link of a peer was lost."""


@dataclasses.dataclass(frozen=True, slots=True)
class LinkFailure:
    """A call without an answer.

    :ivar sent: whether the peer may have received the request and run it
    """

    sent: bool
    detail: str


@dataclasses.dataclass(slots=True)
class LinkCounts:
    """Counts since the start.

    :ivar opened: links that were opened, by either side
    :ivar lost: links that failed
    :ivar refused: incoming connections of unknown or misnamed senders
    :ivar requests: requests of this daemon that were written or queued
    :ivar failures: calls that ended without an answer
    :ivar served: requests of peers that were run
    :ivar rejected: requests of peers that were not run, for a bound or a pause
    """

    opened: int = 0
    lost: int = 0
    refused: int = 0
    requests: int = 0
    failures: int = 0
    served: int = 0
    rejected: int = 0


@dataclasses.dataclass(frozen=True, slots=True)
class LinkOptions:
    """Times in seconds, and bounds.

    :ivar connect: limit for a connection including its hello
    :ivar silence: a link whose ping is unanswered for this long is dead
    :ivar quiet: a ping is sent after this time without a byte while requests
        are in flight
    :ivar recent: a link without requests is pinged for this long after its
        last use
    :ivar tick: interval of the checks of a link in use
    :ivar pause: after this time in which this process did not run, what
        peers had written before is rejected; not longer than ``silence``,
        after which they may have given it up
    :ivar idle: a link that is unused for this long is closed
    :ivar backoff: first back-off of an unreachable peer, doubling
    :ivar max_backoff: longest back-off
    :ivar link_bytes: bytes queued to write on a link
    :ivar total_bytes: bytes queued to write, buffered of incomplete frames,
        or held by served requests, on all links; each of the three for itself
    :ivar in_flight: unanswered requests on a link
    :ivar served: requests being served for a peer
    :ivar total_served: requests being served for all peers
    :ivar unnamed: incoming connections without a hello
    """

    connect: float = 0.15
    silence: float = 0.25
    quiet: float = 0.05
    recent: float = 1.0
    tick: float = 0.05
    pause: float = 0.25
    idle: float = 30.0
    backoff: float = 1.0
    max_backoff: float = 8.0
    link_bytes: int = 8 * 1024 * 1024
    total_bytes: int = 24 * 1024 * 1024
    in_flight: int = 1024
    served: int = 1024
    total_served: int = 4096
    unnamed: int = 64


class Budget:
    """A bound on bytes that several links hold together."""

    def __init__(self, limit: int) -> None:
        """Initialize unused."""
        self.used = 0
        self._limit = limit

    def has_room(self, size: int) -> bool:
        """Return whether more bytes fit in."""
        return self.used + size <= self._limit


class LinkContext:
    """What all links of a daemon share.

    :ivar make_hello: returns the content of a hello to a peer of that name
    :ivar prepare: sets the socket options of a new connection
    :ivar queued: bytes queued to write
    :ivar partial: bytes of incomplete frames
    :ivar held: bytes of requests being served
    """

    def __init__(
        self,
        options: LinkOptions,
        boot_clock: clock.Clock,
        make_hello: collections.abc.Callable[[str], dict[str, typing.Any]],
        prepare: collections.abc.Callable[[asyncio.Transport], None] | None,
        counts: LinkCounts,
    ) -> None:
        """Initialize with unused budgets."""
        self.options = options
        self.clock = boot_clock
        self.make_hello = make_hello
        self.prepare = prepare
        self.counts = counts
        self.queued = Budget(options.total_bytes)
        self.partial = Budget(options.total_bytes)
        self.held = Budget(options.total_bytes)
