"""Units of settings: durations, sizes and addresses as written in INI."""

import ipaddress
import re
import typing

import pydantic

DURATION_FORM = "a duration with its unit, such as 200ms, 3s, 5min or 1h"
SIZE_FORM = "a size with its unit, such as 512B, 64KiB or 4MiB"
ADDRESS_FORM = "an address of the form IP:port, such as 10.1.1.10:7200"
IP_FORM = "an IP number, such as 10.1.1.10"

SECONDS_BY_UNIT = {"ms": 0.001, "s": 1.0, "min": 60.0, "h": 3600.0}
BYTES_BY_UNIT = {"B": 1, "KiB": 1024, "MiB": 1024**2, "GiB": 1024**3}
MAX_PORT = 65535

_QUANTITY = re.compile(r"([0-9]+(?:\.[0-9]+)?) ?([A-Za-z]+)", re.ASCII)


def parse_duration(value: object) -> float:
    """Return a duration in seconds.

    :param value: text with a unit, or seconds as a float
    :raises ValueError: the text is no duration
    """
    if isinstance(value, float):
        return value
    return _parse_quantity(value, SECONDS_BY_UNIT, DURATION_FORM)


def parse_size(value: object) -> int:
    """Return a size in bytes.

    :param value: text with a unit, or bytes as an integer
    :raises ValueError: the text is no size
    """
    if isinstance(value, int):
        return value
    size = _parse_quantity(value, BYTES_BY_UNIT, SIZE_FORM)
    if not size.is_integer():
        raise ValueError("a size is a whole number of bytes")
    return int(size)


def parse_ip(value: str) -> str:
    """Return an IP number in its usual form.

    :raises ValueError: the text is no IP number
    """
    try:
        return str(ipaddress.ip_address(value))
    except ValueError:
        raise ValueError(f"expected {IP_FORM}") from None


def parse_address(value: str) -> str:
    """Return an ``IP:port`` in its usual form; IPv6 in brackets.

    :raises ValueError: the text is no such address
    """
    host, _, port = value.rpartition(":")
    bracketed = host.startswith("[") and host.endswith("]")
    try:
        ip = ipaddress.ip_address(host[1:-1] if bracketed else host)
    except ValueError:
        raise ValueError(f"expected {ADDRESS_FORM}") from None
    digits = port.isascii() and port.isdigit()
    if bracketed != (ip.version == 6) or not digits or int(port) > MAX_PORT:
        raise ValueError(f"expected {ADDRESS_FORM}")
    return f"[{ip}]:{int(port)}" if bracketed else f"{ip}:{int(port)}"


def split_address(address: str) -> tuple[str, int]:
    """Return IP and port of an address that was checked."""
    host, _, port = address.rpartition(":")
    return host.strip("[]"), int(port)


def split_list(value: object) -> object:
    """Return the items of a text separated by commas or new lines."""
    if not isinstance(value, str):
        return value
    parts = re.split(r"[,\n]", value)
    return tuple(part.strip() for part in parts if part.strip())


def _parse_quantity(
    value: object, scale: typing.Mapping[str, float], form: str
) -> float:
    match = _QUANTITY.fullmatch(value) if isinstance(value, str) else None
    if match is None or match[2] not in scale:
        raise ValueError(f"expected {form}")
    return float(match[1]) * scale[match[2]]


Duration = typing.Annotated[
    float,
    pydantic.BeforeValidator(parse_duration),
    pydantic.Field(gt=0, allow_inf_nan=False),
]
Size = typing.Annotated[
    int, pydantic.BeforeValidator(parse_size), pydantic.Field(gt=0)
]
Ip = typing.Annotated[str, pydantic.AfterValidator(parse_ip)]
Address = typing.Annotated[str, pydantic.AfterValidator(parse_address)]
Addresses = typing.Annotated[
    tuple[Address, ...], pydantic.BeforeValidator(split_list)
]
Name = typing.Annotated[
    str, pydantic.StringConstraints(pattern=r"^[A-Za-z0-9][A-Za-z0-9._-]*$")
]
