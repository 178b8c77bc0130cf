"""CBOR frames for the typed messages between processes.

A frame is a CBOR array of the message's tag and its fields by name.
"""

import typing

import cbor2
import expression
import pydantic

from fescuestile import errors
from fescuestile import results

STEP = "decode frame"
MAX_FRAME_BYTES = 4 * 1024 * 1024

T = typing.TypeVar("T")


class Codec:
    """Encodes and decodes a closed set of message classes."""

    def __init__(self, classes: typing.Iterable[type]) -> None:
        """Initialize with the message classes; class names are the tags.

        :param classes: dataclasses whose fields CBOR can represent
        """
        self._adapters: dict[str, pydantic.TypeAdapter[object]] = {
            cls.__name__: pydantic.TypeAdapter(cls) for cls in classes
        }

    def encode(self, message: object) -> bytes:
        """Return the frame of a message.

        :raises KeyError: the message's class is not in the set
        """
        tag = type(message).__name__
        body = self._adapters[tag].dump_python(message)
        return cbor2.dumps([tag, body])

    def decode(
        self, frame: bytes, peer: str = ""
    ) -> expression.Result[typing.Any, errors.InvalidInput]:
        """Return the message of a frame.

        :param frame: bytes as received
        :param peer: sender, named in the error
        :returns: the message, or an error that names the invalid field
        """
        if len(frame) > MAX_FRAME_BYTES:
            return _refuse(
                "frame",
                f"the frame exceeds {MAX_FRAME_BYTES} bytes",
                peer,
            )
        try:
            decoded = cbor2.loads(frame)
        except Exception as error:
            return _refuse("frame", f"invalid CBOR: {error}", peer)
        if not isinstance(decoded, list) or len(decoded) != 2:
            return _refuse("frame", "expected an array of tag and body", peer)
        tag, body = decoded
        adapter = self._adapters.get(tag) if isinstance(tag, str) else None
        if adapter is None:
            return _refuse("tag", f"unknown message tag {tag!r:.40}", peer)
        try:
            return results.succeed(adapter.validate_python(body))
        except pydantic.ValidationError as error:
            first = error.errors()[0]
            field = ".".join(str(part) for part in first["loc"])
            return _refuse(field or "body", first["msg"], peer)


def _refuse(
    field: str, message: str, peer: str
) -> expression.Result[typing.Any, errors.InvalidInput]:
    return expression.Error(
        errors.InvalidInput(message=message, step=STEP, peer=peer, field=field)
    )
