"""Frames of the links between daemons: length-prefixed CBOR."""

import collections.abc
import enum
import functools
import importlib
import typing

LENGTH_BYTES = 4
# A statement may have 1 MiB, and its answer about as much again.
MAX_FRAME_BYTES = 2 * 1024 * 1024 + 64 * 1024
# A hello has two names; a connection that has not said its name may not make
# its reader buffer more.
MAX_HELLO_BYTES = 4096
# Requests are flat; deeper nesting only costs the decoder's stack.
MAX_DEPTH = 32
MAX_NUMBER = 2**63


class Kind(enum.IntEnum):
    """Kinds of frames.

    REQUEST and ANSWER repeat a number; REFUSAL says that the request of that
    number was not run, FAILURE that it may have run. VERSION and LEAVING have
    no answer.
    """

    HELLO = 0
    REQUEST = 1
    ANSWER = 2
    REFUSAL = 3
    FAILURE = 4
    PING = 5
    PONG = 6
    VERSION = 7
    LEAVING = 8


class MalformedFrame(ValueError):
    """Bytes that are no frame, or a frame over the limit."""


class Frame(typing.NamedTuple):
    """A frame.

    :ivar number: number of a request or ping, a version, or 0
    :ivar size: encoded bytes
    """

    kind: Kind
    number: int
    body: dict[str, typing.Any]
    size: int


_KINDS = {int(kind): kind for kind in Kind}


@functools.cache
def load_codec() -> typing.Any:
    """Import the library, which a start does not wait for."""
    return importlib.import_module("cbor2")


def encode(
    kind: Kind,
    number: int = 0,
    body: collections.abc.Mapping[str, typing.Any] | None = None,
) -> bytes:
    """Return the bytes of a frame.

    :raises MalformedFrame: the body cannot be encoded or is over the limit
    """
    codec = load_codec()
    try:
        content: bytes = codec.dumps([int(kind), number, dict(body or {})])
    except (codec.CBORError, ValueError, TypeError, RecursionError) as error:
        raise MalformedFrame(f"body not encodable: {error}") from error
    if len(content) > MAX_FRAME_BYTES:
        raise MalformedFrame(f"a frame of {len(content)} bytes")
    return len(content).to_bytes(LENGTH_BYTES, "big") + content


def decode(content: bytes) -> Frame:
    """Return the frame of its bytes without the length.

    :raises MalformedFrame: it is none
    """
    try:
        fields = load_codec().loads(
            content, max_depth=MAX_DEPTH, allow_indefinite=False
        )
    except Exception as error:
        # Decoders of CBOR tags raise errors of many types.
        raise MalformedFrame(f"no CBOR: {type(error).__name__}") from error
    if type(fields) is not list or len(fields) != 3:
        raise MalformedFrame("expected three fields")
    code, number, body = fields
    if type(code) is not int or code not in _KINDS:
        raise MalformedFrame("unknown kind of frame")
    if type(number) is not int or not 0 <= number < MAX_NUMBER:
        raise MalformedFrame("expected a number")
    if type(body) is not dict or not all(type(key) is str for key in body):
        raise MalformedFrame("expected a body with names")
    return Frame(_KINDS[code], number, body, len(content))


class FrameReader:
    """Splits a stream into frames.

    :ivar limit: most bytes of a frame
    """

    def __init__(self, limit: int = MAX_FRAME_BYTES) -> None:
        """Initialize at the start of a stream."""
        self.limit = limit
        self._buffer = bytearray()

    @property
    def buffered(self) -> int:
        """Bytes of an incomplete frame."""
        return len(self._buffer)

    def feed(self, data: bytes) -> collections.abc.Iterator[Frame]:
        """Yield the frames that are complete with more bytes.

        :raises MalformedFrame: the stream cannot be read on
        """
        self._buffer += data
        offset = 0
        try:
            while True:
                start = offset + LENGTH_BYTES
                if len(self._buffer) < start:
                    return
                size = int.from_bytes(self._buffer[offset:start], "big")
                if size > self.limit:
                    raise MalformedFrame(f"a frame of {size} bytes")
                end = start + size
                if len(self._buffer) < end:
                    return
                with memoryview(self._buffer) as view:
                    content = bytes(view[start:end])
                offset = end
                yield decode(content)
        finally:
            del self._buffer[:offset]
