"""JSON with parts by other writers, of which none may spoil the rest."""

import json
import re
import typing

# Deeper values are replaced by null; those in use have a few levels.
MAX_DEPTH = 32
# Longer whole numbers become floating-point ones: they exceed 64 bits.
MAX_DIGITS = 20
_STRING_OR_BRACKET = re.compile(r'"(?:[^"\\]|\\.)*"|[\[\]{}]', re.DOTALL)


def decode(body: bytes) -> typing.Any:
    """Return the value of a JSON text.

    Values that are nested too deep are null, whole numbers that are too long
    are floating-point ones, and bytes that are not UTF-8 are replaced, so
    that the rest can be read.

    :raises ValueError: the body is not JSON
    """
    try:
        return json.loads(body)
    except (RecursionError, ValueError):
        text = _prune(body.decode(errors="replace"))
        return json.loads(text, parse_int=_parse_int)


def _parse_int(digits: str) -> int | float:
    return int(digits) if len(digits) <= MAX_DIGITS else float(digits)


def _prune(text: str) -> str:
    """Replace what is nested too deep by null."""
    kept = []
    depth = start = 0
    for found in _STRING_OR_BRACKET.finditer(text):
        character = found[0]
        if character in "[{":
            depth += 1
            if depth == MAX_DEPTH + 1:
                kept.append(text[start : found.start()])
                kept.append("null")
        elif character in "]}":
            if depth == MAX_DEPTH + 1:
                start = found.end()
            depth -= 1
    if depth > MAX_DEPTH:
        raise ValueError(
            "expected the end of a value, got the end of the text"
        )
    kept.append(text[start:])
    return "".join(kept)
