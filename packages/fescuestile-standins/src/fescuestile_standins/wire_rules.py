"""Rules of ``wire``: which connections are cut or delayed."""

import asyncio
import functools
import ipaddress

from fescuestile_standins import wire_messages

Between = wire_messages.Between


@functools.cache
def _parse(side: str) -> ipaddress.IPv4Network | ipaddress.IPv6Network:
    return ipaddress.ip_network(side)


def _holds(side: str, ip: str) -> bool:
    return ipaddress.ip_address(ip) in _parse(side)


def meets(between: Between, source: str, target: str) -> bool:
    """Tell whether a connection joins the two sides.

    :param source: IP that the connection comes from
    :param target: IP that it goes to
    :raises ValueError: a side is no IP network
    """
    forward = _holds(between.a, source) and _holds(between.b, target)
    backward = _holds(between.b, source) and _holds(between.a, target)
    return forward or backward


class Rules:
    """Cuts and delays in force."""

    def __init__(self) -> None:
        self._cuts: set[Between] = set()
        self._delays: dict[Between, float] = {}
        self._changed = asyncio.Event()

    def cut(self, between: Between) -> None:
        """Put a cut in force."""
        self._cuts.add(between)

    def heal(self, between: Between) -> None:
        """End a cut and let waiting bytes go on."""
        self._cuts.discard(between)
        self._changed.set()
        self._changed = asyncio.Event()

    def delay(self, between: Between, seconds: float) -> None:
        """Put a delay in force, or end it with 0."""
        self._delays.pop(between, None)
        if seconds > 0:
            self._delays[between] = seconds

    def find_delay(self, source: str, target: str) -> float:
        """Return the delay of a connection's bytes one way, in seconds."""
        return max(
            (
                seconds
                for between, seconds in self._delays.items()
                if meets(between, source, target)
            ),
            default=0.0,
        )

    def is_cut(self, source: str, target: str) -> bool:
        """Tell whether a connection is cut."""
        return any(meets(cut, source, target) for cut in self._cuts)

    async def wait_open(self, source: str, target: str) -> None:
        """Wait until a connection is not cut."""
        while self.is_cut(source, target):
            await self._changed.wait()
