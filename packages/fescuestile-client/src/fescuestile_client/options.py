"""Options of a caller's session and their defaults."""

import dataclasses

import grpc


@dataclasses.dataclass(frozen=True, slots=True)
class SessionOptions:
    """How a session behaves; all times are in seconds.

    :ivar timeout: time that a request may take, repeats included
    :ivar connect_timeout: time that opening one stream may take
    :ivar answer_grace: time granted past a request's deadline for the
        daemon's own word on it
    :ivar reconnect_limit: longest pause between two attempts to open a
        stream
    :ivar settle_unknown: settle a non-repeatable request of unknown
        outcome at the endpoint before giving up on it
    :ivar retries_window: time over which successes pay for retries
    :ivar retries_floor: retries in that time without any success
    :ivar max_answer_bytes: largest answer that is assembled
    :ivar credentials: TLS credentials, None for plain text
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
