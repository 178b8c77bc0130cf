"""Codec of the messages between a daemon and an endpoint."""

from fescuestile import codec
from fescuestile import endpoint_messages

CODEC = codec.Codec(
    (
        endpoint_messages.Hello,
        endpoint_messages.Execute,
        endpoint_messages.Begin,
        endpoint_messages.Commit,
        endpoint_messages.Rollback,
        endpoint_messages.Resolve,
        endpoint_messages.Answered,
        endpoint_messages.Heartbeat,
        endpoint_messages.Inspect,
        endpoint_messages.Subscribe,
        endpoint_messages.AwaitPosition,
        endpoint_messages.Fence,
        endpoint_messages.Promote,
        endpoint_messages.Follow,
        endpoint_messages.RecordRevision,
        endpoint_messages.Report,
    )
)
