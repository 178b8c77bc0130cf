"""Stand-ins for the scripts of the second review, in one event loop.

They follow the users' pages: the platform's store and promotion service, one
database group, a client and the daemons as processes of their own. They need
nothing but the standard library, and listen on loopback addresses only.
"""

import asyncio
import contextlib
import json
import os
import pathlib
import secrets
import signal
import socket
import sys
import time
import typing
import urllib.parse
import weakref

ROOT = pathlib.Path(__file__).resolve().parent.parent
LINE_END = b"\r\n"
INTERNAL_PORTS = [7440, 7455]
HEARTBEAT_SECONDS = 1.2
UNREADABLE = "(unreadable)"
# Connections to close before the event loop ends.
writers: weakref.WeakSet[asyncio.StreamWriter] = weakref.WeakSet()


class Record:
    """Writes what was sent, answered and run, with the seconds since then."""

    def __init__(self, folder: pathlib.Path) -> None:
        self._file = (folder / "record.txt").open("w", encoding="utf-8")
        self.started = time.monotonic()

    @property
    def now(self) -> float:
        """Seconds since the start."""
        return time.monotonic() - self.started

    def write(self, text: str) -> None:
        """Write a line, also to standard output."""
        line = f"{self.now:9.3f} {text}"
        print(line, flush=True)
        self.note(text)

    def note(self, text: str) -> None:
        """Write a line to the file alone."""
        self._file.write(f"{self.now:9.3f} {text}\n")
        self._file.flush()

    def close(self) -> None:
        """Close the file."""
        self._file.close()


class Store:
    """The platform's store and its promotion service, on one address."""

    def __init__(self) -> None:
        self.objects: dict[tuple[str, str], dict[str, typing.Any]] = {}
        self.group: Group | None = None
        self._revision = 1
        self._history: list[tuple[int, str, dict[str, typing.Any]]] = []
        self._changed = asyncio.Event()
        self._server: asyncio.Server | None = None
        self.address = ""
        # Bytes that another writer's entry holds in place of ``UNREADABLE``.
        self.unreadable = b""

    async def start(self) -> None:
        """Listen on a free port."""
        self._server = await asyncio.start_server(
            self._serve_connection, "127.0.0.1", 0
        )
        host, port = self._server.sockets[0].getsockname()
        self.address = f"{host}:{port}"

    def put(self, kind: str, name: str, spec: typing.Any) -> None:
        """Write an object, as the operator or a backend does."""
        known = self.objects.get((kind, name))
        if known is not None and known["spec"] == spec:
            return
        self._revision += 1
        stored = {
            "meta": {
                "name": name,
                "revision": self._revision,
                "created": known["meta"]["created"] if known else 1,
                "finalizers": [],
                "deleting": False,
            },
            "spec": spec,
            "status": None,
        }
        self.objects[kind, name] = stored
        event = {"object": stored, "deleted": False}
        self._history.append((self._revision, kind, event))
        changed, self._changed = self._changed, asyncio.Event()
        changed.set()

    def delete(self, kind: str, name: str) -> None:
        """Remove an object."""
        stored = self.objects.pop((kind, name), None)
        if stored is None:
            return
        self._revision += 1
        meta = {**stored["meta"], "revision": self._revision}
        event = {"object": {**stored, "meta": meta}, "deleted": True}
        self._history.append((self._revision, kind, event))
        changed, self._changed = self._changed, asyncio.Event()
        changed.set()

    async def _serve_connection(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        writers.add(writer)
        with contextlib.suppress(OSError, asyncio.IncompleteReadError):
            while line := await reader.readline():
                method, url, _ = line.decode().split(" ")
                headers: dict[str, str] = {}
                while header := (await reader.readline()).decode().strip():
                    name, _, value = header.partition(":")
                    headers[name.lower()] = value.strip()
                size = int(headers.get("content-length", "0"))
                body = json.loads(await reader.readexactly(size) or b"null")
                await asyncio.sleep(0.004)
                status, content = await self._serve(method, url, headers, body)
                data = json.dumps(content).encode()
                data = data.replace(UNREADABLE.encode(), self.unreadable)
                writer.write(
                    f"HTTP/1.1 {status} -\r\n"
                    "Content-Type: application/json\r\n"
                    f"Content-Length: {len(data)}\r\n\r\n".encode()
                    + data
                )
                await writer.drain()
        writer.close()

    async def _serve(
        self, method: str, url: str, headers: dict[str, str], body: typing.Any
    ) -> tuple[int, typing.Any]:
        parts = urllib.parse.urlsplit(url)
        if parts.path == "/promote":
            return self._promote(body)
        path = parts.path.removeprefix("/v1/objects/").split("/")
        query = dict(urllib.parse.parse_qsl(parts.query))
        if method != "GET":
            return self._write(method, path, body)
        if len(path) == 2:
            found = self.objects.get((path[0], path[1]))
            return (200, found) if found else (404, {})
        if "watch" in query:
            seconds = int(query["wait_ms"]) / 1000
            return await self._watch(path[0], int(query["watch"]), seconds)
        items = [o for (kind, _), o in self.objects.items() if kind == path[0]]
        items.sort(key=lambda o: typing.cast(str, o["meta"]["name"]))
        after = query.get("after", "")
        return 200, {
            "items": [o for o in items if o["meta"]["name"] > after],
            "truncated": False,
            "as_of": self._revision,
        }

    async def _watch(
        self, kind: str, since: int, seconds: float
    ) -> tuple[int, typing.Any]:
        until = time.monotonic() + seconds
        while True:
            events = [
                event
                for revision, of, event in self._history
                if revision > since and of == kind
            ]
            left = until - time.monotonic()
            if events or left <= 0:
                return 200, {"events": events, "as_of": self._revision}
            with contextlib.suppress(TimeoutError):
                await asyncio.wait_for(self._changed.wait(), left)

    def _write(
        self, method: str, path: list[str], body: typing.Any
    ) -> tuple[int, typing.Any]:
        name = path[1] if len(path) > 1 else body["meta"]["name"]
        found = self.objects.get((path[0], name))
        if method == "POST" and found is not None:
            return 409, found
        if method == "PUT":
            if found is None:
                return 404, {}
            if body["meta"].get("revision") not in (
                None,
                found["meta"]["revision"],
            ):
                return 409, found
        self.put(path[0], name, body["spec"])
        return 200, self.objects[path[0], name]

    def _promote(self, body: typing.Any) -> tuple[int, typing.Any]:
        if self.group is None or body["service"] != self.group.name:
            return 404, {}
        return (200, {}) if self.group.promote(body["id"]) else (409, {})


class Backend:
    """A backend of the group.

    :ivar is_deaf: whether it receives nothing from the primary
    :ivar is_down: whether it has crashed
    :ivar beat_at: monotonic seconds of its latest heartbeat
    """

    def __init__(self, group: "Group", number: int, zone: str) -> None:
        self.group = group
        self.name = f"i-{number}{secrets.token_hex(3)}"
        self.zone = zone
        self.role = "replica"
        self.term = 1
        self.pause = 0
        self.state = "ready"
        # Entries (term, number, item, data) of the received log.
        self.log: list[tuple[int, int, str, str]] = []
        self.applied = 0
        self.slots = asyncio.Semaphore(group.slots)
        self.waiting = 0
        self.connections = 0
        self.born = int(time.time() * 1000)
        self.address = ""
        self.values: dict[str, str] = {}
        self.is_deaf = False
        self.is_down = False
        self.beat_at = time.monotonic()
        self._writers: set[asyncio.StreamWriter] = set()
        self._server: asyncio.Server | None = None

    async def start(self) -> None:
        """Listen on a free port."""
        self._server = await asyncio.start_server(
            self._accept, "127.0.0.1", 0, limit=4 * 1024 * 1024
        )
        host, port = self._server.sockets[0].getsockname()
        self.address = f"{host}:{port}"

    def register(self, store: Store) -> None:
        """Write its entry."""
        store.put(
            "servers",
            self.name,
            {
                "service": self.group.name,
                "address": self.address,
                "zone": self.zone,
                "version": "v1",
                "slots": self.group.slots,
                "state": self.state,
                "warmup_left_ms": 0,
                "db_role": self.role,
                "born": self.born,
                "seq": 1,
            },
        )

    @property
    def received(self) -> str:
        """Position of the received log."""
        return self._format(len(self.log))

    def _format(self, count: int) -> str:
        return f"{self.log[count - 1][0]}.{count}" if count else "1.0"

    @property
    def position(self) -> str:
        """Position of the log that statements see."""
        count = len(self.log) if self.role == "primary" else self.applied
        return self._format(count)

    def receive(self, primary: "Backend") -> bool:
        """Take the primary's log over; apply it later."""
        if self.pause > self.term or self.is_deaf or self.is_down:
            return False
        self.term = primary.term
        self.pause = 0
        if self.log != primary.log[: len(self.log)]:
            # A promote has rolled the rest back.
            self.applied = 0
            self.values.clear()
        self.log = list(primary.log)
        count = len(self.log)
        asyncio.get_running_loop().call_later(
            self.group.lag, self._apply, count
        )
        return True

    def _apply(self, count: int) -> None:
        while self.applied < min(count, len(self.log)):
            _, _, item, data = self.log[self.applied]
            self.values[item] = data
            self.applied += 1

    def commit(self, writes: list[tuple[str, str]]) -> None:
        """Add a commit to the primary's log."""
        for item, data in writes:
            self.log.append((self.term, len(self.log) + 1, item, data))
        self._apply(len(self.log))
        for other in self.group.backends:
            if other is not self and other.role == "replica":
                other.receive(self)

    async def _accept(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        writers.add(writer)
        self._writers.add(writer)
        session = BackendSession(self, writer)
        try:
            while line := await reader.readline():
                await session.receive(line.removesuffix(LINE_END).decode())
                await writer.drain()
        except (OSError, asyncio.LimitOverrunError, ValueError):
            pass
        finally:
            self.connections -= session.is_open
            self._writers.discard(writer)
            writer.close()

    async def wait_received(self, count: int) -> None:
        """Wait until a replica has received so many entries."""
        while not any(
            len(other.log) >= count and not other.is_down
            for other in self.group.backends
            if other is not self
        ):
            await asyncio.sleep(0.01)

    def crash(self) -> None:
        """End the process; its connections end."""
        self.is_down = True
        self.close()
        for writer in list(self._writers):
            writer.transport.abort()

    async def come_back(self, is_empty: bool) -> None:
        """Start again at the same address.

        :param is_empty: whether it holds and knows nothing of before, as
            another run under its id
        """
        if is_empty:
            self.log = []
            self.applied = self.pause = 0
            self.values.clear()
            self.term = 1
            self.born = int(time.time() * 1000)
        self.connections = self.waiting = 0
        host, port = self.address.split(":")
        self._server = await asyncio.start_server(
            self._accept, host, int(port), limit=4 * 1024 * 1024
        )
        # The first heartbeat comes after the usual interval.
        self.beat_at = time.monotonic()
        self.is_down = False

    def close(self) -> None:
        """Stop to listen."""
        if self._server is not None:
            self._server.close()


class BackendSession:
    """A connection to a backend."""

    def __init__(self, backend: Backend, writer: asyncio.StreamWriter) -> None:
        self._backend = backend
        self._writer = writer
        self.is_open = False
        self._state = "I"
        self._reads_only = False
        self._writes: list[tuple[str, str]] = []
        # Keyed by the hash of the name, as names may be long.
        self._prepared: dict[int, bool] = {}

    def _send(self, *lines: str) -> None:
        text = "".join(f"{line}\r\n" for line in lines)
        self._writer.write(text.encode())

    def _complete(self, *rows: str, proof: str = "-") -> None:
        self._send(
            *(f"ROW {row}" for row in rows),
            f"COMPLETE {proof}",
            f"READY {self._state} {self._backend.position}",
        )

    def _refuse(self, code: str) -> None:
        backend = self._backend
        if self._state == "T" and code != "BUSY":
            self._state = "E"
        self._send(
            f"ERROR {code} {backend.name}",
            f"READY {self._state} {backend.position}",
        )

    async def receive(self, line: str) -> None:
        """Serve a message."""
        backend = self._backend
        if not self.is_open:
            fields = line.split(" ")
            if fields[1] != backend.group.name or (
                len(fields) > 3 and fields[3] != backend.name
            ):
                self._send(f"ERROR MISROUTED {backend.name}")
                self._writer.close()
                return
            if backend.connections >= backend.group.max_conns:
                self._send(f"ERROR CONNLIMIT {backend.name}")
                self._writer.close()
                return
            self.is_open = True
            backend.connections += 1
            await asyncio.sleep(0.012)
            self._send(f"READY I {backend.position}")
            return
        _, id_, text = line.split(" ", 2)
        if text.startswith("AFTERLSN "):
            _, wanted, text = text.split(" ", 2)
            if int(wanted.split(".")[1]) > backend.applied:
                self._refuse("LAGGING")
                return
        await self._query(id_, text)

    async def _query(self, id_: str, text: str) -> None:
        backend = self._backend
        word, _, rest = text.partition(" ")
        match word:
            case "STATUS":
                pass
            case "PAUSE":
                if backend.role == "replica" and int(rest) > backend.term:
                    backend.pause = int(rest)
            case "RESUME":
                backend.pause = 0
            case "DEMOTE":
                if backend.role == "primary" and int(rest) > backend.term:
                    backend.role = "replica"
            case _:
                await self._run(id_, word, rest)
                return
        busy = backend.group.slots - backend.slots._value
        self._complete(
            f"{backend.role} {backend.term} {backend.received}"
            f" {backend.pause} 0 {busy} {backend.connections}"
        )

    async def _run(self, id_: str, word: str, rest: str) -> None:
        backend = self._backend
        match word:
            case "SET":
                self._complete()
                return
            case "PREPARE":
                name, kind, _ = rest.split(" ", 2)
                self._prepared[hash(name)] = kind == "WRITE"
                self._complete()
                return
            case "RESET":
                self._prepared.clear()
                self._complete()
                return
            case "BEGIN":
                self._reads_only = rest == "READ"
                if not self._reads_only and backend.role != "primary":
                    self._refuse("READONLY")
                    return
                self._state = "T"
                self._complete()
                return
            case "ROLLBACK":
                self._state, self._writes = "I", []
                self._complete()
                return
        backend.group.on_arrival(backend, id_, word)
        writes = word == "WRITE"
        if word == "EXECUTE":
            name, _, rest = rest.partition(" ")
            if hash(name) not in self._prepared:
                self._refuse("NOSTMT")
                return
            writes = self._prepared[hash(name)]
        if self._state == "E":
            self._refuse("MALFORMED")
            return
        if backend.waiting >= 16:
            self._refuse("BUSY")
            return
        backend.waiting += 1
        try:
            async with backend.slots:
                work = backend.group.find_work(rest)
                await asyncio.sleep(work)
                await self._execute(id_, word, rest, writes)
        finally:
            backend.waiting -= 1

    async def _execute(
        self, id_: str, word: str, rest: str, writes: bool
    ) -> None:
        backend = self._backend
        item, _, data = rest.partition(" ")
        proof = f"{backend.name}.{secrets.token_hex(6)}"
        if (writes or self._writes) and backend.role != "primary":
            self._refuse("READONLY")
            return
        backend.group.on_run(backend, id_, word)
        if writes:
            self._writes.append((item, data))
            if self._state == "I":
                await self._commit()
            self._complete(proof=proof)
        elif word == "COMMIT":
            await self._commit()
            self._state = "I"
            self._complete(proof=proof)
        else:
            rows = [backend.values.get(item, "none")] * backend.group.rows
            self._complete(*rows, proof=proof)

    async def _commit(self) -> None:
        writes, self._writes = self._writes, []
        if writes:
            self._backend.commit(writes)
            await self._backend.wait_received(len(self._backend.log))


class Group:
    """Three backends of one service; the first one is the primary.

    :ivar find_work: returns the seconds of work of a statement's arguments
    :ivar on_arrival: called with the backend, the id and the word of each
        statement that arrives
    :ivar on_run: likewise for those that run
    :ivar on_lead: called with a backend that a promote makes the primary,
        before it leads
    :ivar rows: number of rows in the answer to a read
    """

    slots = 2
    max_conns = 16
    lag = 0.02
    rows = 1

    def __init__(self, name: str, zones: typing.Sequence[str]) -> None:
        self.name = name
        self.find_work: typing.Callable[[str], float] = lambda _: 0.005
        self.on_arrival: typing.Callable[[Backend, str, str], None] = (
            lambda backend, id_, word: None
        )
        self.on_run = self.on_arrival
        self.on_lead: typing.Callable[[Backend], None] = lambda backend: None
        self.backends = [Backend(self, n, z) for n, z in enumerate(zones)]
        self.backends[0].role = "primary"
        self._store: Store | None = None

    @property
    def primary(self) -> Backend:
        """The backend that leads the newest term."""
        leaders = [b for b in self.backends if b.role == "primary"]
        return max(leaders or self.backends, key=lambda b: b.term)

    async def start(self, store: Store) -> None:
        """Start the backends and write their entries."""
        self._store = store
        store.group = self
        for backend in self.backends:
            await backend.start()
            backend.register(store)

    def promote(self, name: str) -> bool:
        """Let a backend lead the next term a little later."""
        chosen = next((b for b in self.backends if b.name == name), None)
        if chosen is None or chosen.is_down:
            return False
        if chosen.role != "primary":
            asyncio.get_running_loop().call_later(0.3, self._lead, chosen)
        return True

    def _lead(self, chosen: Backend) -> None:
        former = self.primary
        if chosen.is_down or former is chosen:
            return
        self.on_lead(chosen)
        chosen.term = max(b.term for b in self.backends) + 1
        chosen.role = "primary"
        chosen.pause = 0
        chosen._apply(len(chosen.log))
        for backend in self.backends:
            if backend not in (chosen, former) and not backend.is_down:
                backend.pause = 0
                backend.receive(chosen)
        asyncio.get_running_loop().call_later(1.0, self._follow, former)
        if self._store is not None:
            chosen.register(self._store)

    def _follow(self, former: Backend) -> None:
        primary = self.primary
        if former is not primary and former.is_down:
            # It is told once it is back.
            asyncio.get_running_loop().call_later(1.0, self._follow, former)
        elif former is not primary:
            former.role = "replica"
            former.receive(primary)
            if self._store is not None:
                former.register(self._store)

    async def beat(self, store: Store) -> None:
        """Write the heartbeats; entries end after three silent intervals."""
        while True:
            await asyncio.sleep(0.05)
            now = time.monotonic()
            for backend in self.backends:
                if not backend.is_down and (
                    now - backend.beat_at >= HEARTBEAT_SECONDS
                ):
                    backend.beat_at = now
                    backend.register(store)
                if now - backend.beat_at > 3 * HEARTBEAT_SECONDS:
                    store.delete("servers", backend.name)

    def close(self) -> None:
        """Stop the backends."""
        for backend in self.backends:
            backend.close()


def make_configuration(
    service: str, timeouts: typing.Mapping[str, int]
) -> dict[str, typing.Any]:
    """Return a configuration with a route of each type.

    :param timeouts: time limit of the routes in milliseconds, by type
    """
    targets = {
        "primary": 100,
        "read_your_writes": 200,
        "bounded_staleness": 800,
    }
    staleness = {
        "primary": 0,
        "read_your_writes": 2500,
        "bounded_staleness": 1500,
    }
    return {
        "version": 7,
        "routes": [
            {
                "name": f"r-{rank}",
                "host": f"db-{kind}",
                "path_prefix": "/",
                "route_type": kind,
                "timeout_ms": timeouts[kind],
                "target_latency_ms": target,
                "priority": rank,
                "service": service,
                "attempts": 2,
                "max_staleness_ms": staleness[kind],
            }
            for rank, (kind, target) in enumerate(targets.items())
        ],
        "services": [
            {
                "name": service,
                "health_path": "/health",
                "max_conns": Group.max_conns,
                "protocol": "h1",
                "tls": False,
                "sync_replicas": 1,
            }
        ],
        "limits": {"idle_timeout_ms": 15000, "tx_idle_ms": 3000},
    }


# As the platform's example of the wire has them.
TIMEOUTS = {
    "primary": 800,
    "read_your_writes": 800,
    "bounded_staleness": 1500,
}
BOUNDS = {
    "seed_lag_s": 3,
    "addr_reuse_s": 2,
    "contact_ms": 4000,
    "ack_ms": 5000,
    "catch_up_s": 4,
    "drain_ms": 7000,
    "grace_s": 6,
    "loss_slack_ms": 200,
    "config_apply_ms": 3000,
    "downgrade_ms": 250,
    "max_skew_ms": 12000,
    "recovery_s": 12,
    "fencing_enabled": False,
    "thaw_ms": 300,
}


def find_address(number: int) -> str:
    """Return a loopback IP for a daemon of this process."""
    high, low = divmod(os.getpid() % 50000, 250)
    return f"127.{high + 20}.{low + 1}.{number + 10}"


def find_port(ip: str) -> int:
    """Return a free port of an address."""
    with socket.socket() as probe:
        probe.bind((ip, 0))
        return int(probe.getsockname()[1])


class Daemon:
    """A daemon, started with the command of the deploy file."""

    def __init__(
        self,
        number: int,
        zone: str,
        store: Store,
        folder: pathlib.Path,
        memory_mb: int = 430,
    ) -> None:
        ip = find_address(number)
        self.name = f"front-{number}"
        self.memory_mb = memory_mb
        self.front = f"{ip}:{find_port(ip)}"
        self.ready = f"{ip}:{find_port(ip)}"
        self._settings = folder / f"{self.name}.yaml"
        self._log = folder / f"{self.name}.log"
        # JSON is YAML, too.
        self._settings.write_text(
            json.dumps(
                {
                    "node": self.name,
                    "role": "proxy",
                    "machine_class": "front",
                    "serves": ["front"],
                    "ip": ip,
                    "zone": zone,
                    "region": "r",
                    "zones": {"a": "r", "b": "r", "c": "r"},
                    "listen": {"front": self.front, "ready": self.ready},
                    "internal_ports": INTERNAL_PORTS,
                    "bootstrap": True,
                    "limits": {
                        "cpu_share": 0.717,
                        "cores": 3,
                        "memory_mb": memory_mb,
                        "max_fds": 6450,
                        "link_mbps": 1500.0,
                        "disk_mb": 0,
                    },
                    "data_dir": None,
                    "discovery": "platform",
                    "entry": "vip",
                    "heartbeat_ms": int(HEARTBEAT_SECONDS * 1000),
                    "bounds": BOUNDS,
                    "platform": {"address": store.address, "form": "objects"},
                    "cloud": {"address": store.address},
                }
            ),
            encoding="utf-8",
        )
        self._process: asyncio.subprocess.Process | None = None
        self.started_at = 0.0

    async def start(self) -> None:
        """Start the process with the platform's environment."""
        self.started_at = time.monotonic()
        with self._log.open("ab") as log:
            self._process = await asyncio.create_subprocess_exec(
                "python3",
                "-m",
                "fescuestile_platform",
                cwd=ROOT,
                stdout=log,
                stderr=log,
                env={
                    "PATH": os.environ["PATH"],
                    "HOME": os.environ.get("HOME", "/"),
                    "LANG": os.environ.get("LANG", "C.UTF-8"),
                    "PYTHONPATH": str(ROOT / "target" / "deps"),
                    "FESCUESTILE_BOOT": str(self._settings),
                },
            )

    def send(self, number: signal.Signals) -> None:
        """Send a signal to the process."""
        if self._process is not None and self._process.returncode is None:
            self._process.send_signal(number)

    @property
    def returncode(self) -> int | None:
        """Exit status of the process, None while it runs."""
        return None if self._process is None else self._process.returncode

    async def wait(self) -> int:
        """Wait for the end of the process; return its exit status."""
        return 0 if self._process is None else await self._process.wait()

    def measure_memory(self) -> float:
        """Return the resident memory of the process in megabytes."""
        if self._process is None or self._process.returncode is not None:
            return 0.0
        path = pathlib.Path(f"/proc/{self._process.pid}/statm")
        with contextlib.suppress(OSError, IndexError):
            pages = int(path.read_text(encoding="ascii").split()[1])
            return pages * os.sysconf("SC_PAGE_SIZE") / 2**20
        return 0.0

    def read_log(self) -> str:
        """Return what the process has written."""
        return self._log.read_text(encoding="utf-8", errors="replace")

    async def is_ready(self) -> bool:
        """Return whether the readiness probe answers with 200."""
        host, port = self.ready.split(":")
        try:
            async with asyncio.timeout(1.0):
                reader, writer = await asyncio.open_connection(host, int(port))
                writer.write(b"GET /v1/ready HTTP/1.1\r\nHost: a\r\n\r\n")
                line = await reader.readline()
                writer.close()
        except (OSError, TimeoutError):
            return False
        return b" 200 " in line

    async def wait_ready(self, seconds: float = 20.0) -> bool:
        """Wait until it is ready; return False if it is not in time."""
        until = time.monotonic() + seconds
        while time.monotonic() < until:
            if await self.is_ready():
                return True
            await asyncio.sleep(0.05)
        return False

    async def close(self) -> None:
        """End the process."""
        if self._process is not None and self._process.returncode is None:
            self._process.kill()
            await self._process.wait()


class Client:
    """A client's session."""

    def __init__(self, address: str, database: str) -> None:
        self._address = address
        self._database = database
        self.reader: typing.Any = None
        self.writer: typing.Any = None

    async def open(self, receive_bytes: int = 0) -> str:
        """Connect; return the answer.

        :param receive_bytes: size of the socket's receive buffer, 0 for the
            usual one
        """
        host, port = self._address.split(":")
        sock = socket.socket()
        if receive_bytes:
            sock.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, receive_bytes)
        sock.setblocking(False)
        loop = asyncio.get_running_loop()
        await loop.sock_connect(sock, (host, int(port)))
        self.reader, self.writer = await asyncio.open_connection(
            sock=sock, limit=max(receive_bytes, 2**16)
        )
        writers.add(self.writer)
        self.writer.write(f"CONNECT {self._database} client\r\n".encode())
        return await self.read_line()

    async def read_line(self) -> str:
        """Read a line, without its end."""
        line = await self.reader.readline()
        return str(line.decode().removesuffix("\r\n"))

    async def query(self, text: str) -> list[str]:
        """Send a statement; return the lines of its answer."""
        id_ = secrets.token_hex(8)
        self.writer.write(f"QUERY {id_} {text}\r\n".encode())
        lines: list[str] = []
        while not lines or not lines[-1].startswith("READY"):
            lines.append(await self.read_line())
            if not lines[-1]:
                break
        return lines

    def close(self) -> None:
        """Close the connection."""
        if self.writer is not None:
            self.writer.close()


def run(
    folder: pathlib.Path,
    play: typing.Callable[[Record, bool], typing.Awaitable[int]],
) -> typing.NoReturn:
    """Run a case within 115 seconds and exit with its result."""
    record = Record(folder)
    has_trouble = os.environ.get("TROUBLE", "1") != "0"
    try:
        status = asyncio.run(_limit(play(record, has_trouble)))
    except Exception as error:
        record.write(f"could not run: {type(error).__name__} {error}")
        status = 2
    record.write(f"exit status {status}")
    record.close()
    sys.exit(status)


async def _limit(played: typing.Awaitable[int]) -> int:
    try:
        async with asyncio.timeout(115):
            return await played
    finally:
        others = asyncio.all_tasks() - {asyncio.current_task()}
        for task in others:
            task.cancel()
        await asyncio.gather(*others, return_exceptions=True)
        for writer in list(writers):
            writer.close()
        await asyncio.sleep(0.1)
