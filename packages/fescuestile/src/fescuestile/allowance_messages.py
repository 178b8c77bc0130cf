"""Datagrams by which daemons lease shares of limits and get tokens.

A datagram is a prefix and a CBOR array. Clock values are only compared with
the clock of the daemon that sent them first.
"""

import collections.abc
import dataclasses
import functools
import importlib
import typing

# First byte; the questions and answers about positions begin with a letter.
PREFIX = b"\x01"
MAX_DATAGRAM_BYTES = 8192
# The demand in one datagram, so that it and its answer are under 1,200 bytes.
MAX_DEMAND_BYTES = 900
# Bytes of a tenant in an answer beside its name.
_TENANT_BYTES = 18
MAX_NUMBER = 2**64 - 1
_ASK = 0
_GRANT = 1


@dataclasses.dataclass(frozen=True, slots=True)
class Echo:
    """Clock value of a coordinator.

    :ivar instance: drawn by the coordinator at its start
    :ivar clock: its clock when it sent the value
    """

    instance: int
    clock: float


@dataclasses.dataclass(frozen=True, slots=True)
class Ask:
    """Request for tokens, which also renews a lease.

    :ivar number: repeated by the answer
    :ivar name: name of the daemon that asks
    :ivar daemons: number of daemons that it knows, itself included; 0 if it
        has not listed them yet
    :ivar is_listed: whether all others can have listed it
    :ivar echo: latest value of the coordinator; None leases nothing
    :ivar demand: tokens wanted by tenant
    """

    number: int
    name: str
    daemons: int = 0
    is_listed: bool = False
    echo: Echo | None = None
    demand: dict[str, int] = dataclasses.field(default_factory=dict)


@dataclasses.dataclass(frozen=True, slots=True)
class Grant:
    """Answer of a coordinator.

    :ivar number: that of the request
    :ivar echo: to be echoed by the next request
    :ivar lessors: number of daemons that lease their share to it
    :ivar is_complete: whether all daemons do, and have listed all others
    :ivar tokens: by tenant, tokens issued and, if they are fewer than wanted,
        seconds until the next one
    """

    number: int
    echo: Echo
    lessors: int
    is_complete: bool = False
    tokens: dict[str, tuple[int, float]] = dataclasses.field(
        default_factory=dict
    )


@functools.cache
def _load_cbor() -> typing.Any:
    """Import the library, which only daemons with limited tenants need."""
    return importlib.import_module("cbor2")


def encode(message: Ask | Grant) -> bytes:
    """Return the datagram of a message."""
    body: list[typing.Any]
    if isinstance(message, Ask):
        echo = message.echo
        body = [
            _ASK,
            message.number,
            message.name,
            message.daemons,
            message.is_listed,
            None if echo is None else [echo.instance, echo.clock],
            message.demand,
        ]
    else:
        body = [
            _GRANT,
            message.number,
            [message.echo.instance, message.echo.clock],
            message.lessors,
            message.is_complete,
            {
                name: [count, round(wait, 3)] if wait else count
                for name, (count, wait) in message.tokens.items()
            },
        ]
    return PREFIX + bytes(_load_cbor().dumps(body))


def decode(datagram: bytes) -> Ask | Grant | None:
    """Return the message of a datagram, None if it is malformed."""
    if len(datagram) > MAX_DATAGRAM_BYTES or datagram[:1] != PREFIX:
        return None
    try:
        body = _load_cbor().loads(datagram[1:])
        if body[0] == _ASK:
            _, number, name, daemons, is_listed, echo, demand = body
            return Ask(
                _check_count(number),
                _check_name(name),
                _check_count(daemons),
                bool(is_listed),
                None if echo is None else _make_echo(echo),
                {_check_name(k): _check_count(v) for k, v in demand.items()},
            )
        if body[0] == _GRANT:
            _, number, echo, lessors, is_complete, tokens = body
            return Grant(
                _check_count(number),
                _make_echo(echo),
                _check_count(lessors),
                bool(is_complete),
                {_check_name(k): _make_tokens(v) for k, v in tokens.items()},
            )
    except Exception:
        # The decoder raises errors of many types on malformed input.
        return None
    return None


def split_demand(
    demand: collections.abc.Mapping[str, int],
) -> list[dict[str, int]]:
    """Return parts of the demand that fit into one datagram each.

    :returns: at least one part
    """
    parts: list[dict[str, int]] = [{}]
    size = 0
    for name, count in demand.items():
        added = len(name.encode()) + _TENANT_BYTES
        if parts[-1] and size + added > MAX_DEMAND_BYTES:
            parts.append({})
            size = 0
        parts[-1][name] = count
        size += added
    return parts


def _check_count(value: object) -> int:
    if type(value) is not int or not 0 <= value <= MAX_NUMBER:
        raise ValueError("expected a count")
    return value


def _check_name(value: object) -> str:
    if not isinstance(value, str):
        raise ValueError("expected a name")
    return value


def _check_seconds(value: object) -> float:
    if type(value) not in (int, float):
        raise ValueError("expected seconds")
    seconds = float(typing.cast(float, value))
    if not 0 <= seconds < float("inf"):
        raise ValueError("expected finite seconds")
    return seconds


def _make_echo(value: typing.Any) -> Echo:
    instance, clock = value
    return Echo(_check_count(instance), _check_seconds(clock))


def _make_tokens(value: typing.Any) -> tuple[int, float]:
    if isinstance(value, list):
        count, wait = value
        return _check_count(count), _check_seconds(wait)
    return _check_count(value), 0.0
