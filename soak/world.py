"""Test environment of the soak: daemons, proxies, stand-ins and faults."""

import asyncio
import contextlib
import itertools
import pathlib
import random
import signal

from soak import callers
from soak import faults
from soak import history as histories
from soak import keys
from soak import leaving
from soak import odd_entries
from soak import processes
from soak import proxies
from soak import store_faults
from tests.platform.standins import group as wire_group
from tests.platform.standins import line_server
from tests.platform.standins import store as stores
from tests.platform.standins import world as worlds

# Time within which all daemons serve all groups after the faults have ended.
SETTLE_TIMEOUT_SECONDS = 12.0
# Time between the start of an endpoint and the mark of the one it replaces.
RELEASE_GAP_SECONDS = 0.5
# Time until a daemon notices that its connection to the store is silent.
SILENT_LINK_SECONDS = 2.5


class World:
    """Processes and stand-ins of one run."""

    def __init__(
        self,
        seed: int,
        folder: pathlib.Path,
        daemon_count: int,
        caller_count: int,
    ) -> None:
        """Initialize; ``start`` starts the processes.

        :param seed: seed of the callers' random choices
        :param folder: folder for settings and logs
        """
        self.history = histories.History()
        self._random = random.Random(seed)
        self._folder = folder
        self._daemon_count = daemon_count
        self._caller_count = caller_count
        self._groups = {f"g{n}": wire_group.Group(f"g{n}") for n in range(2)}
        self._store = stores.Store()
        self._store_proxy = proxies.Proxy("")
        self._store_faults = store_faults.StoreFaults(
            self._store, self._store_proxy
        )
        self._proxies: dict[str, proxies.Proxy] = {}
        self._daemons: list[processes.DaemonProcess] = []
        self._version = 0
        self._keys = keys.Keys()
        self._last_number = 2
        self._marked: dict[str, leaving.Interval] = {}
        self._disturbances = leaving.Disturbances()
        self._tasks: set[asyncio.Task[None]] = set()

    async def start(self) -> None:
        """Start everything and wait until the daemons accept callers."""
        await self._store.start()
        self._store_proxy.target = self._store.address
        await self._store_proxy.start()
        await self._store_faults.start()
        for group in self._groups.values():
            await group.start()
            self._store.groups[group.name] = group
            for endpoint in group.endpoints.values():
                await self._start_endpoint(endpoint)
        self._put_configuration()
        for number in range(self._daemon_count):
            daemon = processes.DaemonProcess(
                number,
                self._store_proxy.address,
                self._store.address,
                self._folder,
            )
            await daemon.start()
            self._daemons.append(daemon)
        for daemon in self._daemons:
            await daemon.wait_ready()

    async def run(self, planned: list[faults.Fault], seconds: float) -> None:
        """Run the callers while injecting faults, then check the final state.

        :param planned: faults in order of time
        :param seconds: duration of the run
        """
        loop = asyncio.get_running_loop()
        started_at = loop.time()
        until = started_at + seconds
        work = [
            asyncio.create_task(self._make_caller(number).run(until))
            for number in range(self._caller_count)
        ]
        reporting = asyncio.create_task(self._report_roles())
        for fault in planned:
            await asyncio.sleep(max(0.0, started_at + fault.at - loop.time()))
            self._start_fault(fault)
        await asyncio.gather(*work)
        await asyncio.gather(*self._tasks, return_exceptions=True)
        reporting.cancel()
        await self._check_final_state()

    async def close(self) -> None:
        """Stop everything that was started."""
        for daemon in self._daemons:
            await daemon.end(signal.SIGKILL)
        await self._store_faults.close()
        for proxy in (*self._proxies.values(), self._store_proxy):
            await proxy.close()
        for group in self._groups.values():
            await group.close()
        await self._store.close()

    async def _start_endpoint(self, endpoint: wire_group.Endpoint) -> None:
        """Start an endpoint's proxy and register the endpoint."""
        proxy = self._proxies[endpoint.name] = proxies.Proxy(endpoint.address)
        await proxy.start()
        self._register(endpoint)

    def _make_caller(self, number: int) -> callers.Caller:
        return callers.Caller(
            number,
            f"g{number % len(self._groups)}",
            self._daemons,
            self.history,
            random.Random(self._random.random()),
            self._keys,
        )

    def _register(self, endpoint: wire_group.Endpoint) -> None:
        """Write the entry of an endpoint, unless it has exited."""
        if endpoint.name not in endpoint.group.endpoints:
            return
        self._store.register(
            endpoint,
            address=self._proxies[endpoint.name].address,
            state="draining" if endpoint.name in self._marked else "ready",
        )

    def _put_configuration(self) -> None:
        self._version += 1
        self._store.put(
            "config",
            "main",
            worlds.make_configuration(
                self._groups, self._version, self._keys.list_tenants()
            ),
        )

    async def _report_roles(self) -> None:
        """Register endpoints when their role changes, as real ones do."""
        reported_roles: dict[str, str] = {}
        while True:
            for endpoint in self._list_endpoints():
                if reported_roles.get(endpoint.name) != endpoint.role:
                    reported_roles[endpoint.name] = endpoint.role
                    if ("servers", endpoint.name) in self._store.objects:
                        self._register(endpoint)
            await asyncio.sleep(0.05)

    def _list_endpoints(self) -> list[wire_group.Endpoint]:
        return [
            endpoint
            for group in self._groups.values()
            for endpoint in group.endpoints.values()
        ]

    def _start_fault(self, fault: faults.Fault) -> None:
        task = asyncio.create_task(self._inject(fault))
        self._tasks.add(task)

    async def _inject(self, fault: faults.Fault) -> None:
        pick = fault.pick
        daemon = self._daemons[pick % len(self._daemons)]
        group = list(self._groups.values())[pick % len(self._groups)]
        replicas = [e for e in group.endpoints.values() if e.role != "primary"]
        endpoints = self._list_endpoints()
        endpoint = endpoints[pick % len(endpoints)]
        match fault.kind.split(" ", 1):
            case ["store", detail]:
                with self._disturbances.record_store_fault(
                    fault.kind == faults.DRILL, SILENT_LINK_SECONDS
                ):
                    await self._store_faults.inject(
                        detail, fault.seconds, pick
                    )
            case ["kill", _]:
                await self._restart(daemon, signal.SIGKILL, fault.seconds)
            case ["stop", _]:
                await self._restart(daemon, signal.SIGTERM, fault.seconds)
            case ["pause", _]:
                with leaving.record(self._disturbances.learning):
                    daemon.send(signal.SIGSTOP)
                    await asyncio.sleep(fault.seconds)
                    daemon.send(signal.SIGCONT)
            case ["reload", _]:
                daemon.send(signal.SIGHUP)
            case ["primary", detail] if group.primary is not None:
                await self._inject_primary_fault(
                    group.primary, detail, fault.seconds
                )
            case ["replica", detail] if replicas:
                field = "deaf" if detail == "deaf" else "dark"
                chosen = replicas[pick % len(replicas)]
                await self._set_endpoint_fault(
                    [chosen], field, True, fault.seconds
                )
            case ["all", _]:
                await self._set_endpoint_fault(
                    replicas, "deaf", True, fault.seconds
                )
            case ["answers", _]:
                await self._set_endpoint_fault(
                    [endpoint], "lose_answers", True, fault.seconds
                )
            case ["endpoint", detail]:
                await self._inject_endpoint_fault(
                    endpoint, detail, fault.seconds
                )
            case ["release", _] if endpoint.name not in self._marked:
                await self._release(endpoint)
            case ["configuration", _]:
                self._put_configuration()
            case ["key", change]:
                self._keys.change(change, asyncio.get_running_loop().time())
                self._put_configuration()
            case ["entry", _] if ("servers", endpoint.name) in (
                self._store.objects
            ):
                self._store.remove("servers", endpoint.name)
                await asyncio.sleep(1.5)
                self._register(endpoint)
            case ["malformed", _]:
                await odd_entries.write(
                    self._store, endpoint, pick, self._register
                )

    async def _restart(
        self,
        daemon: processes.DaemonProcess,
        number: signal.Signals,
        seconds: float,
    ) -> None:
        if not daemon.running or daemon.stopping:
            return
        with leaving.record(self._disturbances.restarts):
            await daemon.end(number)
            await asyncio.sleep(seconds / 3)
            await daemon.start()
            with contextlib.suppress(TimeoutError):
                await daemon.wait_ready()

    async def _set_endpoint_fault(
        self,
        endpoints: list[wire_group.Endpoint],
        field: str,
        value: object,
        seconds: float,
    ) -> None:
        defaults = wire_group.Faults()
        for endpoint in endpoints:
            setattr(endpoint.faults, field, value)
        await asyncio.sleep(seconds)
        for endpoint in endpoints:
            setattr(endpoint.faults, field, getattr(defaults, field))

    async def _inject_primary_fault(
        self, primary: wire_group.Endpoint, detail: str, seconds: float
    ) -> None:
        if detail == "dark":
            await self._set_endpoint_fault([primary], "dark", True, seconds)
            return
        await primary.server.close()
        await asyncio.sleep(seconds)
        if primary.name not in primary.group.endpoints:
            return
        await primary.server.start()
        if primary.group.primary is not primary:
            primary.group.follow(primary)

    async def _inject_endpoint_fault(
        self, endpoint: wire_group.Endpoint, detail: str, seconds: float
    ) -> None:
        proxy = self._proxies[endpoint.name]
        match detail:
            case "slow":
                await self._set_endpoint_fault(
                    [endpoint], "slow", 8.0, seconds
                )
            case "leaves" if endpoint.name not in self._marked:
                await self._mark_leaving(endpoint, seconds)
                self._register(endpoint)
            case "link reset":
                proxy.reset()
            case "link silenced":
                proxy.silence()
            case "link delayed":
                proxy.faults.delay = 0.1
            case "link one way":
                proxy.faults.backward = False
        if detail in ("link delayed", "link one way"):
            await asyncio.sleep(seconds)
            proxy.faults = proxies.ProxyFaults()

    async def _mark_leaving(
        self, endpoint: wire_group.Endpoint, seconds: float
    ) -> None:
        """Let an endpoint leave for a while, and check what begins there."""
        loop = asyncio.get_running_loop()
        marked = self._marked[endpoint.name] = leaving.Interval(loop.time())
        self._register(endpoint)
        await asyncio.sleep(leaving.LEAVING_SECONDS + seconds)
        marked.end = loop.time()
        del self._marked[endpoint.name]
        late = leaving.list_late_work(
            endpoint.begun, marked, self._disturbances
        )
        self.history.outcomes["endpoint left"] += 1
        if late:
            self.history.violations.append(
                f"{len(late)} statements began at {endpoint.name} after its"
                f" drain time, first {late[0]}"
            )

    async def _release(self, endpoint: wire_group.Endpoint) -> None:
        """Start an endpoint in place of another, which leaves and exits."""
        group = endpoint.group
        self._last_number += 1
        name = f"i-{group.name}-{self._last_number}"
        await self._start_endpoint(
            await group.add_endpoint(name, endpoint.zone)
        )
        await asyncio.sleep(RELEASE_GAP_SECONDS)
        if endpoint.name in self._marked:
            return
        await self._mark_leaving(endpoint, 0.0)
        if ("servers", endpoint.name) in self._store.objects:
            self._store.remove("servers", endpoint.name)
        await group.remove_endpoint(endpoint.name)

    async def _check_final_state(self) -> None:
        """Wait until all daemons serve, then check the final state."""
        for daemon in self._daemons:
            daemon.send(signal.SIGCONT)
            if not daemon.running:
                await daemon.start()
        try:
            async with asyncio.timeout(SETTLE_TIMEOUT_SECONDS):
                await self._wait_until_serving()
        except TimeoutError:
            self.history.violations.append(
                "the daemons did not serve all groups after the faults ended"
            )
        logs = {}
        for group in self._groups.values():
            primary = group.primary
            entries = primary.received if primary is not None else []
            logs[group.name] = [id_ for e in entries for id_ in e.ids]
            if group.lost:
                self.history.violations.append(
                    f"promotions in {group.name} lost {len(group.lost)} writes"
                )
        self.history.check_logs(logs)
        ran = [e.tenants for e in self._list_endpoints()]
        self.history.violations.extend(
            self._keys.check(itertools.chain(*ran), self._disturbances)
        )
        self.history.check_promotions(self._store.promotion_requests)

    async def _wait_until_serving(self) -> None:
        """Wait until each daemon is ready and can write to each group."""
        for daemon in self._daemons:
            while not await self._serves(daemon):
                await asyncio.sleep(0.1)

    async def _serves(self, daemon: processes.DaemonProcess) -> bool:
        if not await daemon.is_ready():
            return False
        for name in self._groups:
            client = line_server.LineClient()
            try:
                await client.connect(
                    daemon.caller_address, f"{name}-primary", "k-north"
                )
                lines = await client.query("WRITE end 1")
            except (OSError, TimeoutError):
                return False
            finally:
                client.close()
            if callers.find_error_code(lines):
                return False
        return True
