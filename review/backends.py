"""Crashes and restarts of backends, and their entries in the store."""

import asyncio
import time

from rig import record

from tests.platform.standins import group as wire_group
from tests.platform.standins import store as wire_store

HEARTBEAT_SECONDS = 1.2
# An entry is removed after three heartbeat intervals of silence.
SILENCE_SECONDS = 3 * HEARTBEAT_SECONDS


class Backend(wire_group.Endpoint):
    """A backend that can start again under its id and then knows nothing."""

    @property
    def position(self) -> tuple[int, int]:
        """End of the log that it has received."""
        return super().position if self.received else (0, 0)

    @property
    def applied_position(self) -> tuple[int, int]:
        """End of the log that it has applied."""
        return super().applied_position if self.applied else (0, 0)

    @property
    def is_alive(self) -> bool:
        """Whether its process runs and has power."""
        return self.server.running and not self.faults.dark

    def stop_receiving(self) -> None:
        """Receive nothing from now on."""
        self.faults.deaf = True

    def receive_again(self) -> None:
        """Receive what the primary of the group sends."""
        self.faults.deaf = False
        if self.role == "replica":
            self.group.follow(self)

    def crash_dark(self) -> None:
        """Lose power: it answers nothing from now on."""
        self.faults.dark = True

    async def return_with_log(self) -> None:
        """Come back after a loss of power, with the log."""
        await self.server.close()
        self.faults.dark = False
        primary = self.group.primary
        if primary is not None and primary is not self:
            self.group.follow(self)
        self.started_at_ms = int(time.time() * 1000)
        await self.server.start()

    async def end(self) -> None:
        """End the process; connections are reset, new ones are refused."""
        await self.server.close()

    async def start_empty(self) -> None:
        """Start again under the same id; it knows nothing of before.

        It gets its log from the primary if that is alive.
        """
        self.role = "replica"
        self.received = []
        self.applied = 0
        self.pause_term = 0
        self.term = 0
        self.started_at_ms = int(time.time() * 1000)
        self.group.follow(self)
        await self.server.start()


class Group(wire_group.Group):
    """A group in which nobody receives from where nothing comes."""

    def follow(self, endpoint: wire_group.Endpoint) -> None:
        """Make an endpoint a replica with the primary's log.

        It stays as it is, without a pause, if it receives nothing, and if
        the primary is dead or of an earlier term.
        """
        primary = self.primary
        endpoint.role = "replica"
        endpoint.pause_term = 0
        if (
            isinstance(primary, Backend)
            and primary.is_alive
            and primary.term >= endpoint.term
            and not endpoint.faults.deaf
        ):
            super().follow(endpoint)


def make_group(name: str, zones: tuple[str, ...]) -> Group:
    """Return a group of backends, the first of them its primary."""
    made = Group(name, zones=zones, service_seconds=0.005)
    made.endpoints = {
        each: Backend(made, each, old.zone)
        for each, old in made.endpoints.items()
    }
    next(iter(made.endpoints.values())).role = "primary"
    return made


class Registrar:
    """Writes the entries of a group's backends, as they would themselves.

    :ivar first_beat_after: seconds between the return of the store and a
        backend's first heartbeat, by name
    """

    def __init__(
        self,
        store: wire_store.Store,
        group: wire_group.Group,
        run_record: record.Record,
    ) -> None:
        """Initialize; ``start`` begins to write."""
        self._store = store
        self._group = group
        self._record = run_record
        self._beat_at: dict[str, float] = {}
        self._next_at: dict[str, float] = {}
        self._written: dict[str, tuple[str, int]] = {}
        self._task: asyncio.Task[None] | None = None
        self._down = False
        self.first_beat_after: dict[str, float] = {}

    def start(self) -> None:
        """Start to write heartbeats."""
        self._task = asyncio.create_task(self._run())

    def close(self) -> None:
        """Stop."""
        if self._task is not None:
            self._task.cancel()

    async def wait_beat(self, name: str, seconds: float) -> None:
        """Wait until so many seconds after a backend's next heartbeat."""
        before = self._beat_at.get(name)
        while self._beat_at.get(name) == before:
            await asyncio.sleep(0.005)
        await asyncio.sleep(seconds)

    def take_store_down(self) -> None:
        """Make the store answer 503 and cut its waiting watches."""
        self._record.write("store", state="down")
        self._down = True
        self._store.faults.status = 503
        for transport in list(self._store._transports):
            transport.abort()

    def bring_store_back(self) -> None:
        """Make the store serve again."""
        self._record.write("store", state="back")
        self._down = False
        self._store.faults.status = 0
        now = time.monotonic()
        for name in self._group.endpoints:
            after = self.first_beat_after.get(name, 0.0)
            self._next_at[name] = now + after

    async def _run(self) -> None:
        while True:
            now = time.monotonic()
            for name, each in list(self._group.endpoints.items()):
                self._beat(name, each, now)
            for name, beat_at in list(self._beat_at.items()):
                known = ("servers", name) in self._store.objects
                if known and now - beat_at > SILENCE_SECONDS:
                    self._store.remove("servers", name)
                    self._written.pop(name, None)
                    self._record.write("entry removed", backend=name)
            await asyncio.sleep(0.02)

    def _beat(self, name: str, each: wire_group.Endpoint, now: float) -> None:
        if not isinstance(each, Backend) or not each.is_alive or self._down:
            return
        state = (each.role, each.started_at_ms)
        is_changed = name in self._written and self._written[name] != state
        if not is_changed and now < self._next_at.get(name, now):
            return
        self._next_at[name] = now + HEARTBEAT_SECONDS
        self._beat_at[name] = now
        if self._written.get(name) != state:
            self._store.register(each)
            self._written[name] = state
            self._record.write(
                "entry", backend=name, role=each.role, born=each.started_at_ms
            )
