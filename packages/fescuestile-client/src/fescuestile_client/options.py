"""Options of a caller's session and their defaults."""

import dataclasses

import grpc


@dataclasses.dataclass(frozen=True, slots=True)
class SessionOptions:
    """Options of a session; all times are in seconds.

    :ivar timeout: default timeout of a request, retries included
    :ivar connect_timeout: timeout of opening one stream
    :ivar answer_grace: additional wait after a request's deadline, so that
        the daemon's own answer about the expired request can arrive
    :ivar reconnect_limit: maximum backoff between attempts to open a
        stream
    :ivar settle_unknown: resolve a non-repeatable request of unknown
        outcome at the endpoint before its error is raised
    :ivar retries_window: window of the retry budget, in which successes
        allow retries
    :ivar retries_floor: retries allowed in a window without any success
    :ivar max_answer_bytes: maximum size of a reassembled answer
    :ivar credentials: TLS credentials, None for an unencrypted connection
    """

    timeout: float = 10.0
    connect_timeout: float = 1.0
    answer_grace: float = 0.25
    reconnect_limit: float = 0.5
    settle_unknown: bool = True
    retries_window: float = 10.0
    retries_floor: int = 1
    max_answer_bytes: int = 64 * 1024 * 1024
    credentials: grpc.ChannelCredentials | None = None
