"""Endpoints that one daemon does not reach while others do."""

import asyncio
import typing

from fescuestile_daemon.relay.core import messages
from fescuestile_daemon.relay.core import ports
from fescuestile_platform import endpoints

POLL_SECONDS = 0.01


class CutDialer(endpoints.WireDialer):
    """Dials for one daemon.

    :ivar cut: endpoints that it doesn't reach; what is on its way in either
        direction arrives once the cut has ended
    """

    def __init__(self) -> None:
        self.cut: set[str] = set()

    async def wait_reachable(self, endpoint: str) -> None:
        """Wait until an endpoint is not cut off."""
        while endpoint in self.cut:
            await asyncio.sleep(POLL_SECONDS)

    async def dial(
        self, entry: messages.EndpointEntry, tenant: str = ""
    ) -> ports.EndpointConnection | messages.Outcome:
        """Open a connection, which hangs while the endpoint is cut off."""
        await self.wait_reachable(entry.id)
        opened = await super().dial(entry, tenant)
        if isinstance(opened, messages.Outcome):
            return opened
        return _CutConnection(self, opened)


class _CutConnection(ports.EndpointConnection):
    def __init__(
        self, dialer: CutDialer, inner: ports.EndpointConnection
    ) -> None:
        self._dialer = dialer
        self._inner = inner

    def __getattr__(self, name: str) -> typing.Any:
        return getattr(self._inner, name)

    @property
    def closed(self) -> bool:
        return self._inner.closed

    async def call(self, *commands: messages.Command) -> messages.Outcome:
        await self._dialer.wait_reachable(self._inner.endpoint)
        outcome = await self._inner.call(*commands)
        await self._dialer.wait_reachable(self._inner.endpoint)
        return outcome

    async def inspect(
        self, command: messages.Inspect | messages.Fence | messages.Unfence
    ) -> messages.Report | None:
        await self._dialer.wait_reachable(self._inner.endpoint)
        report = await self._inner.inspect(command)
        await self._dialer.wait_reachable(self._inner.endpoint)
        return report

    def close(self) -> None:
        self._inner.close()
