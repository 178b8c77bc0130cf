"""A small deployment: store, promotion service, one group and daemons."""

import asyncio
import itertools
import os
import pathlib
import shutil
import sys
import tempfile
import time
import typing

from rig import backends
from rig import daemons
from rig import record

from tests.platform.standins import group as wire_group
from tests.platform.standins import line_server
from tests.platform.standins import store as wire_store

# The pages say some hundred milliseconds.
wire_group.PROMOTION_DELAY_SECONDS = 0.3

HELD = 0
BROKEN = 1
NOT_RUN = 2
GROUP = "werkstatt"
STALENESS_MS = 1500
DEADLINE_SECONDS = 110.0


def make_configuration() -> dict[str, typing.Any]:
    """Return a configuration with a route of each type to the group."""
    return {
        "version": 7,
        "routes": [
            {
                "name": f"r-{kind}",
                "host": f"db-{kind}",
                "service": GROUP,
                "route_type": kind,
                "timeout_ms": 800,
                "target_latency_ms": 200,
                "priority": rank,
                "max_staleness_ms": 0 if kind == "primary" else STALENESS_MS,
            }
            for rank, kind in enumerate(
                ("primary", "bounded_staleness", "read_your_writes")
            )
        ],
        "services": [{"name": GROUP, "max_conns": 16, "sync_replicas": 1}],
        "limits": {"tx_idle_ms": 3000},
    }


class Scene:
    """Stand-ins in this process, daemons in processes of their own."""

    def __init__(self, case: pathlib.Path, daemon_count: int) -> None:
        """Build the stand-ins; ``start`` starts them."""
        self.record = record.Record(case / "record.txt")
        self.trouble = os.environ.get("TROUBLE", "1") != "0"
        self.group = backends.make_group(GROUP, daemons.ZONES)
        self.store = wire_store.Store()
        self.registrar = backends.Registrar(
            self.store, self.group, self.record
        )
        self.daemons: list[daemons.DaemonProcess] = []
        self._daemon_count = daemon_count
        self._folder = pathlib.Path(tempfile.mkdtemp(prefix="review-"))
        self._ids = itertools.count(1)

    @property
    def backends(self) -> list[backends.Backend]:
        """The backends, in order of their start."""
        return [
            each
            for each in self.group.endpoints.values()
            if isinstance(each, backends.Backend)
        ]

    async def start(self) -> None:
        """Start stand-ins and daemons and wait until they are ready."""
        await self.store.start()
        await self.group.start()
        self.store.groups[GROUP] = self.group
        self.store.put("config", "main", make_configuration())
        self.registrar.start()
        for number in range(self._daemon_count):
            daemon = daemons.DaemonProcess(
                number, self.store.address, self.store.address, self._folder
            )
            self.daemons.append(daemon)
            await daemon.start()
        for daemon in self.daemons:
            await daemon.wait_ready()
        await asyncio.sleep(1.0)

    async def close(self) -> None:
        """End all processes and remove the temporary folder."""
        for daemon in self.daemons:
            await daemon.kill()
        for daemon in self.daemons:
            for line in daemon.read_log().splitlines():
                self.record.write("log", daemon=daemon.name, line=line)
        self.registrar.close()
        await self.group.close()
        await self.store.close()
        shutil.rmtree(self._folder, ignore_errors=True)
        self.record.close()

    async def run(
        self, daemon: int, route: str, text: str, seconds: float = 3.0
    ) -> list[str]:
        """Run a statement on a session of its own; return its answer.

        :returns: the lines of the answer, none if it did not come
        """
        client = line_server.LineClient()
        id_ = f"r{next(self._ids):x}"
        began_at = self.record.now
        lines: list[str] = []
        try:
            async with asyncio.timeout(seconds):
                address = self.daemons[daemon].caller_address
                opened = await client.connect(address, f"db-{route}")
                if opened.startswith("READY"):
                    lines = await client.query(text, id_)
                else:
                    lines = [opened]
        except (OSError, TimeoutError) as error:
            lines = []
            self.record.write("no answer", id=id_, why=repr(error))
        finally:
            client.close()
        self.record.write(
            "statement",
            sent=f"{began_at:.3f}",
            daemon=daemon,
            route=route,
            id=id_,
            text=repr(text),
            answer=lines,
        )
        return lines

    async def write(self, daemon: int, item: str, value: str) -> bool:
        """Write an item; return whether the client got a success."""
        lines = await self.run(daemon, "primary", f"WRITE {item} {value}")
        return any(line.startswith("COMPLETE") for line in lines)

    def describe(self) -> None:
        """Write the state of all backends to the record."""
        for each in self.backends:
            self.record.write(
                "backend",
                name=each.name,
                alive=each.is_alive,
                status=repr(each.status()),
            )

    async def wait_lease_released(self) -> None:
        """Wait until a daemon has promoted and released its lease."""
        while True:
            lease = self.store.objects.get(("leases", "promotion"))
            if lease is not None and not lease["spec"]["holder"]:
                return
            await asyncio.sleep(0.005)

    async def sleep_until(self, seconds: float) -> None:
        """Sleep until so many seconds after the start of the run."""
        await asyncio.sleep(max(0.0, seconds - self.record.now))

    async def check_kept(self, acknowledged: list[str], least: int) -> bool:
        """Return whether all acknowledged writes are kept.

        They have to be in the log of each backend that was promoted, and a
        later current read has to return them.

        :param acknowledged: items that were written with the value "kept"
        :param least: fewer of them mean that the case did not run
        """
        missing = []
        for item in acknowledged:
            lines = await self.run(0, "primary", f"READ {item}")
            if not any(line.startswith("COMPLETE") for line in lines):
                self.record.write("not read", item=item)
            elif "ROW kept" not in lines:
                missing.append(item)
        lost = self.list_lost()
        self.record.write(
            "check", acknowledged=len(acknowledged), lost=lost, missing=missing
        )
        if len(acknowledged) < least:
            raise RuntimeError("too few writes were acknowledged")
        return not lost and not missing

    def list_lost(self) -> list[str]:
        """Return the acknowledged writes that a promoted log lacked."""
        lost = [f"{entry.term}.{entry.number}" for entry in self.group.lost]
        return list(dict.fromkeys(lost))


async def _play(
    play: typing.Callable[[Scene], typing.Awaitable[bool]],
    case: pathlib.Path,
    daemon_count: int,
) -> int:
    scene = Scene(case, daemon_count)
    try:
        async with asyncio.timeout(DEADLINE_SECONDS):
            await scene.start()
            holds = await play(scene)
        for service, name, holder, token in scene.store.promotion_requests:
            scene.record.write(
                "promote", service=service, id=name, holder=holder, token=token
            )
        scene.record.write("result", holds=holds)
        return HELD if holds else BROKEN
    except Exception as error:
        scene.record.write("the case could not run", error=repr(error))
        return NOT_RUN
    finally:
        await scene.close()


def main(
    play: typing.Callable[[Scene], typing.Awaitable[bool]],
    file: str,
    daemon_count: int = 2,
) -> None:
    """Play a case and exit: 0 the rule held, 1 broken, 2 not run.

    :param play: returns whether the rule held
    :param file: the script of the case, whose folder gets the record
    """
    case = pathlib.Path(file).resolve().parent
    began_at = time.monotonic()
    result = asyncio.run(_play(play, case, daemon_count))
    seconds = time.monotonic() - began_at
    print(f"{case.name}: exit {result} after {seconds:.1f} s")
    sys.exit(result)
