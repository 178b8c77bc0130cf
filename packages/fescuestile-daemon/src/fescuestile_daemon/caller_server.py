"""gRPC server for callers; one stream is one session."""

import asyncio

import grpc

from fescuestile_daemon import caller_handler
from fescuestile_daemon import caller_stream

MILLISECONDS_PER_SECOND = 1000
# Streams above the limit of sessions, which get to know of a refusal.
SPARE_STREAMS = 32


class CallerServer:
    """Serves sessions until it is drained."""

    def __init__(self, parts: caller_stream.CallerParts) -> None:
        """Initialize without listening."""
        self.parts = parts
        self._state = caller_stream.ServerState(parts)
        self._server: grpc.aio.Server | None = None

    async def start(self, address: str) -> None:
        """Listen on ``IP:port``.

        :raises: ConnectionLost if the address can't be bound
        """
        limits = self.parts.limits
        open_ms = int(limits.open_timeout * MILLISECONDS_PER_SECOND)
        self._server = grpc.aio.server(
            options=(
                ("grpc.so_reuseport", 0),
                (
                    "grpc.max_receive_message_length",
                    2 * limits.request_bytes,
                ),
                ("grpc.max_concurrent_streams", limits.sessions),
                # Connections that say nothing, or have no stream any more.
                ("grpc.server_handshake_timeout_ms", open_ms),
                ("grpc.max_connection_idle_ms", open_ms),
                # Otherwise the window of a fast caller grows to some MB.
                ("grpc.http2.bdp_probe", 0),
            )
        )
        self._server.add_generic_rpc_handlers(
            (caller_handler.make_handler(self._serve),)
        )
        self.parts.transport_security.add_caller_port(self._server, address)
        await self._server.start()

    @property
    def session_count(self) -> int:
        """Number of open sessions."""
        return len(self._state.streams)

    async def drain(self, timeout: float) -> bool:
        """Refuse new sessions and have the open ones roam.

        Waits until the requests in flight are answered and the transactions
        have ended, or for the timeout.

        :param timeout: seconds
        :returns: whether no request was left in flight
        """
        self._state.draining = True
        for stream in tuple(self._state.streams):
            stream.roam("the daemon is draining")
        finished = await asyncio.gather(
            *(stream.wait_idle(timeout) for stream in self._state.streams)
        )
        return all(finished)

    async def close(self) -> None:
        """Stop listening and end all streams."""
        if self._server is not None:
            await self._server.stop(grace=0.2)

    async def _serve(
        self,
        frames: caller_handler.Frames,
        context: "grpc.aio.ServicerContext[bytes, bytes]",
    ) -> None:
        limits = self.parts.limits
        if self.session_count >= limits.sessions + SPARE_STREAMS:
            self._state.budget.causes.add("too many streams")
            await context.abort(
                grpc.StatusCode.RESOURCE_EXHAUSTED, "too many streams"
            )
        stream = caller_stream.CallerStream(self._state, context)
        self._state.streams.add(stream)
        try:
            await stream.serve(frames)
        finally:
            self._state.streams.discard(stream)
            await stream.close()
