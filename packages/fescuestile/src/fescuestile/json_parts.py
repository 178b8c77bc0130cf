"""JSON in which the borders of a part cannot be found.

A string without an end takes the quotes of the next parts for its own. The
parts of a list are read one by one: where one cannot be read, the next one
begins where an object does whose first key is known. Within a string that
can be read, quotes are escaped, so that no such beginning is there.
"""

import dataclasses
import json
import re
import typing

from fescuestile import json_values

# Objects that cannot be read before the rest of a list is given up.
MAX_UNREADABLE = 1000
# Characters that are read in vain, as a multiple of the whole text.
MAX_WASTE = 2
_SEPARATORS = re.compile(r"[ \t\r\n,]*")
_END = re.compile(r"[ \t\r\n]*[,\]]")
_KEY = re.compile(r'[ \t\r\n,]*("[^"\\\x00-\x1f]+")[ \t\r\n]*:[ \t\r\n]*')


@dataclasses.dataclass(frozen=True)
class Layout:
    """Where the parts of an answer begin.

    :ivar lists: names of the lists whose parts are objects
    :ivar first_keys: keys that such an object may begin with
    """

    lists: tuple[str, ...]
    first_keys: tuple[str, ...]

    def find_list(self, text: str) -> re.Match[str] | None:
        """Return the beginning of the list, and its name as a group.

        :returns: None if it is in another object than the outermost one
        """
        names = "|".join(map(re.escape, self.lists))
        found = re.search(rf'"({names})"\s*:\s*\[', text)
        if found is None or text.count("{", 0, found.start()) != 1:
            return None
        return found

    def find_object(self, text: str, start: int) -> int:
        """Return the first beginning of an object from an index, or -1."""
        keys = "|".join(map(re.escape, self.first_keys))
        found = re.compile(rf'\{{\s*"(?:{keys})"\s*:').search(text, start)
        return -1 if found is None else found.start()


def decode(body: bytes, layout: Layout) -> json_values.Decoded:
    """Decode a JSON text as far as it can be read.

    An object of a list that cannot be read has its members before the one
    that cannot be, and ``json_values.Unreadable`` for that.

    :raises ValueError: neither the whole nor its parts can be read
    """
    try:
        return json_values.decode(body)
    except ValueError as error:
        text = json_values.decode_bytes(body)
        opening = layout.find_list(text)
        if opening is not None:
            value = _decode_list(text, layout, opening)
        elif text.lstrip().startswith("{"):
            value = _decode_members(text, text.index("{"))
        else:
            raise error
        return json_values.Decoded(value, is_whole=False)


def _decode_list(
    text: str, layout: Layout, opening: re.Match[str]
) -> dict[str, typing.Any]:
    """Decode an object with a list.

    :raises ValueError: what is around the list cannot be read
    """
    parts: list[typing.Any] = []
    unreadable = waste = 0
    position = opening.end()
    while True:
        position = _find_end(_SEPARATORS, text, position)
        try:
            if text[position : position + 1] in ("", "]"):
                around = _decode_around(text, opening, position)
                break
            part, end = json_values.decode_part(text, position)
            if not _END.match(text, end):
                raise json.JSONDecodeError("Expecting ','", text, end)
            parts.append(part)
            position = end
            continue
        except json.JSONDecodeError as error:
            waste += max(0, error.pos - position)
        except RecursionError:
            waste += json_values.find_too_deep(text, position) - position
        except ValueError:
            waste += len(text) - position
        parts.append(_decode_members(text, position))
        unreadable += 1
        following = layout.find_object(text, position + 1)
        if following < 0 or (
            unreadable > MAX_UNREADABLE or waste > MAX_WASTE * len(text)
        ):
            # Parts may have been lost that begin with other keys.
            parts.append(json_values.Unreadable(position))
            around = _decode_around(text, opening, text.rfind("]"))
            break
        position = following
    around[opening[1]] = parts
    return around


def _decode_around(
    text: str, opening: re.Match[str], end: int
) -> dict[str, typing.Any]:
    """Decode an object without the content of its list.

    :param end: where the list ends
    :raises ValueError: it cannot be read
    """
    try:
        value = json_values.decode_sound(
            text[: opening.end()] + text[max(end, opening.end()) :]
        )
    except RecursionError:
        raise ValueError("expected a flat object, got a deep one") from None
    except json.JSONDecodeError as error:
        # Its position is one of another text.
        raise ValueError(error.msg) from None
    if not isinstance(value, dict):
        raise ValueError(f"expected an object, got {type(value).__name__}")
    return value


def _decode_members(text: str, start: int) -> typing.Any:
    """Decode the members of an object before the one that is unreadable."""
    if text[start : start + 1] != "{":
        return json_values.Unreadable(start)
    members: dict[str, typing.Any] = {}
    position = start + 1
    while (key := _KEY.match(text, position)) is not None:
        name = key[1][1:-1]
        try:
            members[name], position = json_values.decode_part(text, key.end())
        except (RecursionError, ValueError):
            members[name] = json_values.Unreadable(key.end())
            return members
    members[""] = json_values.Unreadable(position)
    return members


def _find_end(pattern: re.Pattern[str], text: str, start: int) -> int:
    found = pattern.match(text, start)
    return start if found is None else found.end()
