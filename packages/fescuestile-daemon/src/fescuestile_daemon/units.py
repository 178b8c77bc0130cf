"""Field types of settings: durations, sizes, addresses, lists, names."""

import re
import typing

import pydantic

from fescuestile import addresses

DURATION_FORM = "a duration with its unit, such as 200ms, 3s, 5min or 1h"
SIZE_FORM = "a size with its unit, such as 512B, 64KiB or 4MiB"

SECONDS_BY_UNIT = {"ms": 0.001, "s": 1.0, "min": 60.0, "h": 3600.0}
BYTES_BY_UNIT = {"B": 1, "KiB": 1024, "MiB": 1024**2, "GiB": 1024**3}

_QUANTITY = re.compile(r"([0-9]+(?:\.[0-9]+)?) ?([A-Za-z]+)", re.ASCII)


def parse_duration(value: object) -> float:
    """Return a duration in seconds.

    :param value: text with a unit, or seconds as a float
    :raises ValueError: the text is not a duration
    """
    if isinstance(value, float):
        return value
    return _parse_quantity(value, SECONDS_BY_UNIT, DURATION_FORM)


def parse_size(value: object) -> int:
    """Return a size in bytes.

    :param value: text with a unit, or bytes as an integer
    :raises ValueError: the text is not a size
    """
    if isinstance(value, int):
        return value
    size = _parse_quantity(value, BYTES_BY_UNIT, SIZE_FORM)
    if not size.is_integer():
        raise ValueError("expected a whole number of bytes")
    return int(size)


def split_list(value: object) -> object:
    """Split a text at commas and newlines; return other values as is."""
    if not isinstance(value, str):
        return value
    parts = re.split(r"[,\n]", value)
    return tuple(part.strip() for part in parts if part.strip())


def _parse_quantity(
    value: object, factor_by_unit: typing.Mapping[str, float], form: str
) -> float:
    match = _QUANTITY.fullmatch(value) if isinstance(value, str) else None
    if match is None or match[2] not in factor_by_unit:
        raise ValueError(f"expected {form}")
    return float(match[1]) * factor_by_unit[match[2]]


Duration = typing.Annotated[
    float,
    pydantic.BeforeValidator(parse_duration),
    pydantic.Field(gt=0, allow_inf_nan=False),
]
Size = typing.Annotated[
    int, pydantic.BeforeValidator(parse_size), pydantic.Field(gt=0)
]
Ip = typing.Annotated[str, pydantic.AfterValidator(addresses.parse_ip)]
Address = typing.Annotated[
    str, pydantic.AfterValidator(addresses.parse_address)
]
Addresses = typing.Annotated[
    tuple[Address, ...], pydantic.BeforeValidator(split_list)
]
Name = typing.Annotated[
    str, pydantic.StringConstraints(pattern=r"^[A-Za-z0-9][A-Za-z0-9._-]*$")
]
