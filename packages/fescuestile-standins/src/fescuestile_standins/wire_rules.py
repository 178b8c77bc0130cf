"""Rules of ``wire`` that cut or delay connections."""

import asyncio
import functools
import ipaddress

from fescuestile_standins import wire_messages

Between = wire_messages.Between


@functools.cache
def _parse_side(side: str) -> ipaddress.IPv4Network | ipaddress.IPv6Network:
    return ipaddress.ip_network(side)


def _contains(side: str, ip: str) -> bool:
    return ipaddress.ip_address(ip) in _parse_side(side)


def matches(between: Between, source: str, target: str) -> bool:
    """Return whether a connection is between the two sides.

    :param source: IP address that the connection comes from
    :param target: IP address that it goes to
    :raises ValueError: a side is not an IP network
    """
    forward = _contains(between.a, source) and _contains(between.b, target)
    backward = _contains(between.b, source) and _contains(between.a, target)
    return forward or backward


class Rules:
    """Active cuts and delays."""

    def __init__(self) -> None:
        self._cuts: set[Between] = set()
        self._delays: dict[Between, float] = {}
        self._changed = asyncio.Event()

    def cut(self, between: Between) -> None:
        """Activate a cut."""
        self._cuts.add(between)

    def heal(self, between: Between) -> None:
        """End a cut and wake the connections that wait for it."""
        self._cuts.discard(between)
        self._changed.set()
        self._changed = asyncio.Event()

    def delay(self, between: Between, seconds: float) -> None:
        """Set a one-way delay, or end it with 0."""
        self._delays.pop(between, None)
        if seconds > 0:
            self._delays[between] = seconds

    def find_delay(self, source: str, target: str) -> float:
        """Return the one-way delay of a connection, in seconds."""
        return max(
            (
                seconds
                for between, seconds in self._delays.items()
                if matches(between, source, target)
            ),
            default=0.0,
        )

    def is_cut(self, source: str, target: str) -> bool:
        """Return whether a connection is cut."""
        return any(matches(cut, source, target) for cut in self._cuts)

    async def wait_until_healed(self, source: str, target: str) -> None:
        """Wait until a connection is not cut."""
        while self.is_cut(source, target):
            await self._changed.wait()
