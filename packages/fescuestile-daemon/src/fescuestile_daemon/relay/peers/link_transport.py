"""The connection under a link: reads frames and bounds what it queues."""

import abc
import asyncio
import collections
import collections.abc
import typing

from fescuestile_daemon.relay.peers import link_frames
from fescuestile_daemon.relay.peers import link_types

# The transport holds up to this many bytes and one frame; the rest waits in
# the link's own queue, from which requests can still be withdrawn.
HIGH_WATER_BYTES = 64 * 1024
# Small frames pass the queue; a peer that sends pings and reads no answers
# is disconnected at this many unread bytes.
MAX_UNREAD_BYTES = link_frames.MAX_FRAME_BYTES + 4 * HIGH_WATER_BYTES


class LinkProtocol(asyncio.Protocol, abc.ABC):
    """One connection between two daemons.

    :ivar is_open: whether the connection is up and has not been given up
    """

    def __init__(self, context: link_types.LinkContext) -> None:
        """Initialize; the event loop connects the transport."""
        self._context = context
        self._options = context.options
        self._transport: asyncio.Transport | None = None
        self._reader = link_frames.FrameReader(link_frames.MAX_HELLO_BYTES)
        self._queue: collections.deque[tuple[int, bytes]] = collections.deque()
        self._queued_bytes = 0
        self._written_bytes = 0
        self._partial_bytes = 0
        self._is_paused = True
        self._is_named = False
        self._is_ended = False
        self.is_open = False

    @abc.abstractmethod
    def receive(self, frame: link_frames.Frame) -> None:
        """Handle a frame."""

    @abc.abstractmethod
    def end(self, reason: str) -> None:
        """Handle the loss of the link, once."""

    def is_wanted(self, number: int) -> bool:
        """Return whether a queued request is still to be written."""
        return True

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Keep the transport."""
        self._transport = typing.cast(asyncio.Transport, transport)
        self._transport.set_write_buffer_limits(high=HIGH_WATER_BYTES, low=0)
        if self._context.prepare is not None:
            self._context.prepare(self._transport)
        if self._is_ended:
            self._transport.abort()
        else:
            self.is_open = True

    def connection_lost(self, error: Exception | None) -> None:
        """End the link."""
        self.fail("closed" if error is None else str(error) or "lost")

    def data_received(self, data: bytes) -> None:
        """Handle the frames that are complete."""
        try:
            for frame in self._reader.feed(data):
                if not self.is_open:
                    return
                self.receive(frame)
        except link_frames.MalformedFrame as error:
            self.fail(f"malformed frame: {error}")
            return
        if not self.is_open:
            return
        budget = self._context.partial
        growth = self._reader.buffered - self._partial_bytes
        if growth > 0 and not budget.has_room(growth):
            self.fail("too many bytes of incomplete frames")
            return
        self._partial_bytes += growth
        budget.used += growth

    def accept_name(self) -> None:
        """Allow frames of all sizes and write what is queued."""
        self._is_named = True
        self._reader.limit = link_frames.MAX_FRAME_BYTES
        self._is_paused = False
        self._flush()

    def send_now(self, frame: bytes) -> None:
        """Write a small frame before those that are queued."""
        if self._transport is None or not self.is_open:
            return
        self._transport.write(frame)
        if self._transport.get_write_buffer_size() > MAX_UNREAD_BYTES:
            self.fail("the peer does not read")

    def send(self, frame: bytes, number: int = 0) -> bool:
        """Write or queue a frame.

        :param number: number of a request, 0 for any other frame
        :returns: False if that would exceed a bound
        """
        size = len(frame)
        room = self._options.link_bytes - self._queued_bytes
        if size > room or not self._context.queued.has_room(size):
            return False
        if self._is_paused:
            self._queue.append((number, frame))
            self._queued_bytes += size
            self._context.queued.used += size
        else:
            self._write(frame)
        return True

    def find_queued(self) -> set[int]:
        """Return the numbers of the requests that are not written yet."""
        return {number for number, _ in self._queue}

    def pause_writing(self) -> None:
        """Queue further frames; the peer reads too slowly."""
        self._is_paused = True
        if self._transport is not None:
            self._count_written(self._transport.get_write_buffer_size())

    def resume_writing(self) -> None:
        """Write the queued frames."""
        self._is_paused = not self._is_named
        self._count_written(0)
        self._flush()

    def fail(self, reason: str) -> None:
        """Give the connection up."""
        self.is_open = False
        if self._is_ended:
            return
        self._is_ended = True
        if self._transport is not None:
            self._transport.abort()
        self.end(reason)
        self._count_written(0)
        self._context.queued.used -= self._queued_bytes
        self._context.partial.used -= self._partial_bytes
        self._queued_bytes = self._partial_bytes = 0
        self._queue.clear()

    def finish(self) -> None:
        """Close the connection after what was written is sent."""
        if self._transport is not None:
            self._transport.close()
        self.is_open = False

    def _count_written(self, size: int) -> None:
        self._context.queued.used += size - self._written_bytes
        self._written_bytes = size

    def _write(self, frame: bytes) -> None:
        if self._transport is not None:
            self._transport.write(frame)

    def _flush(self) -> None:
        while self._queue and not self._is_paused:
            number, frame = self._queue.popleft()
            self._queued_bytes -= len(frame)
            self._context.queued.used -= len(frame)
            if number == 0 or self.is_wanted(number):
                self._write(frame)
