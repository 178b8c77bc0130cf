"""Store, database groups and daemons in one event loop, on loopback."""

import asyncio
import typing
from unittest import mock

from fescuestile_platform import boot
from fescuestile_platform import daemon
from fescuestile_platform import endpoints
from soak import proxies
from tests.platform.standins import group as wire_group
from tests.platform.standins import line_server
from tests.platform.standins import store

ZONES = ("a", "b", "c")
ROUTE_TYPES = ("primary", "bounded_staleness", "read_your_writes")


def make_configuration(
    names: typing.Iterable[str],
    version: int = 1,
    tenants: typing.Mapping[str, typing.Sequence[str]] | None = None,
    **limits: typing.Any,
) -> dict[str, typing.Any]:
    """Return a configuration with a route of each type to each group.

    :param tenants: keys by tenant, None for no tenants
    :param limits: fields of its limits; ``timeout_ms`` goes into the first
        route instead
    """
    return {
        "version": version,
        "routes": [
            {
                "name": f"r-{name}-{kind}",
                "host": f"{name}-{kind}",
                "service": name,
                "route_type": kind,
                "timeout_ms": limits.pop("timeout_ms", 800),
                "target_latency_ms": 200,
                "priority": rank,
                "max_staleness_ms": 0 if kind == "primary" else 1500,
            }
            for name in names
            for rank, kind in enumerate(ROUTE_TYPES)
        ],
        "services": [
            {"name": name, "max_conns": 16, "sync_replicas": 1}
            for name in names
        ],
        "limits": {"tx_idle_ms": 3000, **limits},
        "tenants": [
            {"name": name, "api_keys": list(keys)}
            for name, keys in (tenants or {}).items()
        ],
    }


class World:
    """Starts and stops stand-ins and daemons.

    :param dialers: how the first daemons reach endpoints
    :param proxied: whether each daemon reaches the store by a proxy
    :param zones: those of each group's endpoints
    :ivar store_proxies: these proxies, which can cut a daemon off
    :ivar caller_addresses: where each daemon accepts callers
    :ivar ready_addresses: where each daemon answers readiness probes
    """

    def __init__(
        self,
        groups: int = 1,
        daemons: int = 1,
        bounds: boot.Bounds | None = None,
        dialers: typing.Sequence[endpoints.WireDialer] = (),
        proxied: bool = False,
        zones: tuple[str, ...] = ZONES,
    ) -> None:
        self.groups = {
            f"g{n}": wire_group.Group(f"g{n}", zones) for n in range(groups)
        }
        self.store = store.Store()
        self.daemons: list[daemon.Daemon] = []
        self.caller_addresses: list[str] = []
        self.ready_addresses: list[str] = []
        self.clients: list[line_server.LineClient] = []
        self._daemon_count = daemons
        self._bounds = bounds or boot.Bounds()
        self._dialers = dialers
        self._proxied = proxied
        self.store_proxies: list[proxies.Proxy] = []

    async def start(self) -> None:
        """Start stand-ins and daemons, and wait until these are ready."""
        await self.store.start()
        for each in self.groups.values():
            await each.start()
            self.store.groups[each.name] = each
            for endpoint in each.endpoints.values():
                self.store.register(endpoint)
            self.record_members(each)
        self.record_lease()
        self.store.put("config", "main", make_configuration(self.groups))
        for number in range(self._daemon_count):
            dialer = (*self._dialers[number:], None)[0]
            address = await self._start_proxy() if self._proxied else ""
            await self.start_daemon(f"daemon-{number}", address, dialer)
        await self.wait_ready()

    async def _start_proxy(self) -> str:
        """Start a proxy of the store; return its address."""
        proxy = proxies.Proxy(self.store.address)
        self.store_proxies.append(proxy)
        await proxy.start()
        return proxy.address

    def record_members(self, group: wire_group.Group) -> None:
        """Write the record of a group that has been served for a while."""
        members = [
            {"id": endpoint.name, "born": endpoint.started_at_ms}
            for endpoint in group.endpoints.values()
        ]
        record = {"members": members, "settled_era": self.store.era or 0}
        self.store.put("members", group.name, record)

    def record_lease(self) -> None:
        """Write the lease of a store that has been served for a while."""
        record = {
            "holder": "",
            "token": 0,
            "claim": "",
            "era": self.store.era or 0,
        }
        self.store.put("leases", "promotion", record)

    async def start_daemon(
        self,
        name: str,
        store_address: str = "",
        dialer: endpoints.WireDialer | None = None,
    ) -> daemon.Daemon:
        """Start a daemon on free ports.

        :param store_address: where it reaches the store, by default directly
        :param dialer: how it reaches endpoints, by default directly
        """
        settings = boot.Settings(
            node=name,
            ip="127.0.0.1",
            zone="a",
            listen=boot.Listen(front="127.0.0.1:0", ready="127.0.0.1:0"),
            platform=boot.Address(address=store_address or self.store.address),
            cloud=boot.Address(address=self.store.address),
            bounds=self._bounds,
            metrics_port=0,
            internal_ports=(0,),
        )
        used = dialer or endpoints.WireDialer()
        with mock.patch.object(endpoints, "WireDialer", return_value=used):
            started = daemon.Daemon(settings)
        await started.start()
        self.daemons.append(started)
        front, ready = started.list_addresses()[:2]
        self.caller_addresses.append(front)
        self.ready_addresses.append(ready)
        return started

    async def restart_daemon(self) -> None:
        """Kill the only daemon and start it again, without what it knew."""
        await self.daemons.pop().abort()
        self.caller_addresses.clear()
        self.ready_addresses.clear()
        await self.start_daemon("daemon-0")

    async def wait_ready(self) -> None:
        """Wait until every daemon is ready and knows all groups."""
        async with asyncio.timeout(10):
            for each in self.daemons:
                while not each.node.is_ready() or not all(
                    g.find_primary() and g.members.is_loaded
                    for g in each.node.directory.groups.values()
                ):
                    await asyncio.sleep(0.01)

    async def wait_log(
        self, logs: list[typing.Any], event: str, seconds: float = 5.0
    ) -> None:
        """Wait until each daemon has logged an event, and a little longer."""
        async with asyncio.timeout(seconds):
            while [e["event"] for e in logs].count(event) < len(self.daemons):
                await asyncio.sleep(0.01)
        await asyncio.sleep(0.1)

    async def connect(
        self,
        route_type: str,
        name: str = "g0",
        number: int = 0,
        key: str = "caller",
    ) -> line_server.LineClient:
        """Open a session.

        :param name: group
        :param number: index of the daemon
        :param key: key of the caller's tenant
        """
        client = line_server.LineClient()
        self.clients.append(client)
        opened = await client.connect(
            self.caller_addresses[number], f"{name}-{route_type}", key
        )
        assert opened == "READY I -"
        return client

    async def close(self) -> None:
        """Stop clients, daemons and stand-ins without draining."""
        for client in self.clients:
            client.close()
        await asyncio.gather(*(d.abort() for d in self.daemons))
        for each in self.groups.values():
            await each.close()
        for proxy in self.store_proxies:
            await proxy.close()
        await self.store.close()
