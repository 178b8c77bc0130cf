"""gRPC handler of callers' streams that passes frames as bytes."""

import collections.abc

import grpc

from fescuestile_api import fescuestile_pb2 as pb

Frames = collections.abc.AsyncIterator[bytes]
ServeStream = collections.abc.Callable[
    [Frames, "grpc.aio.ServicerContext[bytes, bytes]"],
    collections.abc.Awaitable[None],
]


def make_handler(
    serve: ServeStream,
) -> "grpc.GenericRpcHandler[bytes, bytes]":
    """Return a handler that passes frames without decoding them.

    The stream decodes them itself, so that a malformed frame is answered
    with an error and does not end the stream.
    """
    service = pb.DESCRIPTOR.services_by_name["CallerService"]
    return grpc.method_handlers_generic_handler(
        service.full_name,
        {"Session": grpc.stream_stream_rpc_method_handler(serve)},
    )
