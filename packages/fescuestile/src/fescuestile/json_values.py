"""JSON with parts by other writers, of which none may spoil the rest."""

import collections
import dataclasses
import json
import re
import sys
import typing

# Deeper values are replaced by null; those in use have a few levels.
MAX_DEPTH = 32
# Longer whole numbers become floating-point ones: they exceed 64 bits.
MAX_DIGITS = 20
_STRING = r'"(?:[^"\\]+|\\.)*+(?P<end>"|\\?\Z)'
# What may have to be replaced. A string without an end takes all the rest, so
# that no text is searched twice.
_TOKEN = re.compile(rf"{_STRING}|[\[\]{{}}]|-?Infinity|NaN", re.DOTALL)
# Bytes that are not UTF-8 are decoded as lone surrogates.
_SOUND_STRING = re.compile(
    r'"(?:[^"\\\x00-\x1f\ud800-\udfff]+'
    r'|\\["\\/bfnrt]'
    r"|\\u(?![dD][89a-fA-F])[0-9a-fA-F]{4}"
    r"|\\u[dD][89abAB][0-9a-fA-F]{2}\\u[dD][c-fC-F][0-9a-fA-F]{2}"
    r')*+"'
)
_SURROGATE_ESCAPE = re.compile(r"\\u[dD][89a-fA-F]")
_COLON = re.compile(r"\s*:")
# Stands for an unreadable value in a repaired text.
_MARK = "NaN"
# Replaces a key that cannot be read.
_UNREADABLE_KEY = "\ufffd"


@dataclasses.dataclass(frozen=True, slots=True)
class Unreadable:
    """Stands for a part of a text that cannot be read.

    :ivar position: its first character in the text, from 0; None if that is
        not known
    """

    position: int | None = None

    def __str__(self) -> str:
        """Return what was found, without its content."""
        if self.position is None:
            return "text that cannot be read"
        return f"text that cannot be read, at character {self.position}"


@dataclasses.dataclass(frozen=True, slots=True)
class Decoded:
    """Value of a text.

    :ivar value: the value, with ``Unreadable`` for what cannot be read
    :ivar is_whole: whether all of it could be read
    """

    value: typing.Any
    is_whole: bool


def decode(body: bytes) -> Decoded:
    """Decode a JSON text.

    Values that are nested too deep are null, and whole numbers that are too
    long are floating-point ones. A text with control characters, with
    escapes that do not exist, with half a surrogate pair or with bytes that
    are not UTF-8 is ``Unreadable``, as is a number that JSON lacks.

    :raises ValueError: the body is not JSON
    """
    try:
        return Decoded(decode_sound(body.decode("utf-8-sig")), is_whole=True)
    except (RecursionError, ValueError):
        return _decode_repaired(decode_bytes(body))


def decode_bytes(body: bytes) -> str:
    """Return a text in which lone surrogates stand for undecodable bytes."""
    return body.decode("utf-8-sig", errors="surrogateescape")


def decode_sound(text: str) -> typing.Any:
    """Return the value of a text that can be read as it is.

    :raises ValueError: it cannot
    :raises RecursionError: it is nested too deep
    """
    value = _DECODER.decode(text)
    _check_surrogates(value, text, 0, len(text))
    return value


def decode_part(text: str, start: int) -> tuple[typing.Any, int]:
    """Return the value that begins at an index, and its end.

    Numbers that JSON lacks are ``Unreadable``.

    :raises JSONDecodeError: it cannot be read; its position is the last one
        that was looked at
    :raises RecursionError: it is nested too deep
    """
    value, end = _PART_DECODER.raw_decode(text, start)
    try:
        _check_surrogates(value, text, start, end)
    except ValueError:
        raise json.JSONDecodeError(
            "Expecting whole characters", text, end
        ) from None
    return value, end


def find_too_deep(text: str, start: int) -> int:
    """Return the index at which a value is too deep to be decoded at all."""
    depth, limit = 0, sys.getrecursionlimit()
    for found in _TOKEN.finditer(text, start):
        depth += (found[0] in ("[", "{")) - (found[0] in ("]", "}"))
        if depth > limit:
            return found.start()
    return len(text)


def _check_surrogates(
    value: typing.Any, text: str, start: int, end: int
) -> None:
    """Check that a value has whole characters only.

    :raises ValueError: it has half a surrogate pair
    """
    if not text.isascii() or _SURROGATE_ESCAPE.search(text, start, end):
        json.dumps(value, ensure_ascii=False, default=str).encode()


def take_unreadable(
    value: typing.Any, depth: int = 0
) -> tuple[typing.Any, Unreadable | None]:
    """Return a value with null for what is unreadable, and its first part.

    :param depth: of the value in another one
    """
    if isinstance(value, Unreadable):
        return None, value
    if depth > MAX_DEPTH:
        return None, None
    found: list[Unreadable | None]
    if isinstance(value, dict):
        taken = {
            name: take_unreadable(part, depth + 1)
            for name, part in value.items()
        }
        plain: typing.Any = {name: part for name, (part, _) in taken.items()}
        found = [unreadable for _, unreadable in taken.values()]
    elif isinstance(value, list):
        parts = [take_unreadable(part, depth + 1) for part in value]
        plain = [part for part, _ in parts]
        found = [unreadable for _, unreadable in parts]
    else:
        return value, None
    return plain, next(filter(None, found), None)


def _parse_int(digits: str) -> int | float:
    return int(digits) if len(digits) <= MAX_DIGITS else float(digits)


def _refuse_constant(name: str) -> typing.NoReturn:
    raise ValueError(f"expected a number, got {name}")


_DECODER = json.JSONDecoder(parse_constant=_refuse_constant)
_PART_DECODER = json.JSONDecoder(
    parse_int=_parse_int, parse_constant=lambda _: Unreadable()
)


def _decode_repaired(text: str) -> Decoded:
    repaired, unreadable = _repair(text)
    # The decoder finds the marks in the order of the text.
    marks = collections.deque(unreadable)
    decoder = json.JSONDecoder(
        parse_int=_parse_int, parse_constant=lambda _: marks.popleft()
    )
    return Decoded(decoder.decode(repaired), is_whole=not unreadable)


def _repair(text: str) -> tuple[str, list[Unreadable]]:
    """Replace what is nested too deep by null, and mark what is unreadable."""
    kept: list[str] = []
    unreadable: list[Unreadable] = []
    depth = start = 0
    for found in _TOKEN.finditer(text):
        token, replacement = found[0], None
        if token in ("[", "{"):
            depth += 1
            if depth == MAX_DEPTH + 1:
                kept.append(text[start : found.start()])
                kept.append("null")
        elif token in ("]", "}"):
            if depth == MAX_DEPTH + 1:
                start = found.end()
            depth -= 1
        elif (
            depth > MAX_DEPTH
            or _SOUND_STRING.fullmatch(token)
            or found["end"] in ("", "\\")
        ):
            continue
        elif _COLON.match(text, found.end()):
            # Marked by a value of its own, as keys are strings.
            key = _UNREADABLE_KEY * (len(unreadable) + 1)
            replacement = f'"{key}":{_MARK},"{key}{_UNREADABLE_KEY}"'
        else:
            replacement = _MARK
        if replacement is not None:
            kept.extend((text[start : found.start()], replacement))
            start = found.end()
            unreadable.append(Unreadable(found.start()))
    if depth > MAX_DEPTH:
        raise ValueError(
            "expected the end of a value, got the end of the text"
        )
    kept.append(text[start:])
    return "".join(kept), unreadable
