"""Stand-in of the platform's store and promotion service, with faults."""

import asyncio
import copy
import dataclasses
import json
import typing
import urllib.parse

import httptools

from tests.platform.standins import drills
from tests.platform.standins import group


@dataclasses.dataclass
class Faults:
    """Injected faults of the store.

    :ivar status: HTTP status of all responses, 0 to serve the calls
    :ivar silent: calls get no response and are not executed
    :ivar reset: connections are reset by calls, which are not executed
    :ivar lose_writes: writes are executed but get no response
    :ivar late_writes: writes are executed after this many seconds and get no
        response; 0 for no delay
    :ivar promotion_delays: seconds after which the next promotions take
        effect, one for each; later ones take the group's usual time
    :ivar lose_promotions: promotions are executed but get no response
    :ivar promotion_status: HTTP status of all promotions, 0 to serve them
    """

    status: int = 0
    silent: bool = False
    reset: bool = False
    lose_writes: bool = False
    late_writes: float = 0.0
    promotion_delays: list[float] = dataclasses.field(default_factory=list)
    lose_promotions: bool = False
    promotion_status: int = 0


class Store:
    """Objects with revisions, conditional writes and watches.

    :ivar era: sent with all answers, None for a store that sends none
    :ivar promotion_times: loop times of ``promotion_requests``
    """

    def __init__(self) -> None:
        self.faults = Faults()
        self.era: int | str | None = 1
        self.revision = 1
        self.objects: dict[tuple[str, str], dict[str, typing.Any]] = {}
        self.history: list[tuple[int, str, dict[str, typing.Any]]] = []
        self.dropped_revision = 0
        self.calls: list[tuple[str, str]] = []
        self.groups: dict[str, group.Group] = {}
        self.promotion_requests: list[tuple[str, str, str, int]] = []
        self.promotion_times: list[float] = []
        self._raw_texts: dict[str, str] = {}
        self._change_event = asyncio.Event()
        self._server: asyncio.Server | None = None
        self._connections: set[_HttpConnection] = set()
        self._port = 0

    @property
    def address(self) -> str:
        return f"127.0.0.1:{self._port}"

    async def start(self) -> None:
        loop = asyncio.get_running_loop()
        self._server = await loop.create_server(
            lambda: _HttpConnection(self), "127.0.0.1", self._port
        )
        self._port = self._server.sockets[0].getsockname()[1]

    async def close(self) -> None:
        if self._server is not None:
            self._server.close()
            self._server = None
        for connection in list(self._connections):
            connection.abort()

    def put(self, kind: str, name: str, spec: typing.Any) -> None:
        """Write an object unconditionally, as the operator or an endpoint."""
        self.revision += 1
        stored = {
            "meta": {"name": name, "revision": self.revision},
            "spec": spec,
            "status": None,
        }
        self.objects[kind, name] = stored
        self._record(kind, {"object": stored, "deleted": False})

    def put_raw(
        self,
        kind: str,
        name: str,
        spec: dict[str, typing.Any],
        field: str,
        text: str,
    ) -> None:
        """Write an object with a field that is sent as this JSON text."""
        mark = f"raw-{len(self._raw_texts)}"
        self._raw_texts[mark] = text
        self.put(kind, name, {**spec, field: mark})

    def encode(self, content: typing.Any) -> bytes:
        """Return the body of a response; lone surrogates are raw bytes."""
        body = json.dumps(content)
        for mark, text in self._raw_texts.items():
            body = body.replace(f'"{mark}"', text)
        return body.encode("utf-8", "surrogateescape")

    def remove(self, kind: str, name: str) -> None:
        """Delete an object."""
        stored = self.objects.pop((kind, name))
        self.revision += 1
        self._record(kind, {"object": stored, "deleted": True})

    def drop_history(self) -> None:
        """Drop the history of changes, so that watches must list again."""
        self.dropped_revision = self.revision
        self.history.clear()

    def return_from(self, older: drills.Copy) -> None:
        """Go back to a copy; later revisions are given out again."""
        self.revision = older.revision
        self.objects = copy.deepcopy(older.objects)
        self.history = copy.deepcopy(older.history)
        self.dropped_revision = older.dropped_revision
        self._notify_watches()

    def cut_watches(self, way: drills.Way) -> None:
        """End the calls that wait for an answer, as the way says."""
        for connection in list(self._connections):
            if connection.waits and way == drills.Way.RESET:
                connection.abort()
            elif connection.waits and way == drills.Way.SILENT:
                connection.is_silent = True

    def register(self, endpoint: group.Endpoint, **fields: typing.Any) -> None:
        """Write an endpoint's entry.

        :param fields: fields that replace or extend those of the endpoint
        """
        self.put(
            "servers",
            endpoint.name,
            {
                "service": endpoint.group.name,
                "address": endpoint.address,
                "zone": endpoint.zone,
                "version": "v1",
                "slots": endpoint.group.slots,
                "state": "ready",
                "warmup_left_ms": 0,
                "db_role": endpoint.role,
                "seq": 1,
                "born": endpoint.started_at_ms,
                **fields,
            },
        )

    def _record(self, kind: str, event: dict[str, typing.Any]) -> None:
        self.history.append((self.revision, kind, event))
        self._notify_watches()

    def _notify_watches(self) -> None:
        changed, self._change_event = self._change_event, asyncio.Event()
        changed.set()

    async def serve(
        self,
        method: str,
        url: str,
        headers: dict[str, str],
        body: typing.Any,
    ) -> tuple[int, typing.Any] | None:
        """Return status and body of the response; None for no response.

        :raises ConnectionResetError: the connection is reset
        """
        self.calls.append((method, url))
        parts = urllib.parse.urlsplit(url)
        query = dict(urllib.parse.parse_qsl(parts.query))
        if parts.path == "/promote":
            return self._promote(headers, body)
        faults = self.faults
        if faults.reset:
            raise ConnectionResetError
        if faults.silent:
            return None
        if faults.status:
            return faults.status, {"error": "refused"}
        path = parts.path.removeprefix("/v1/objects/").split("/")
        if method == "GET":
            return await self._get(path, query)
        if faults.late_writes:
            asyncio.get_running_loop().call_later(
                faults.late_writes, self._write, method, path, body
            )
            return None
        response = self._write(method, path, body)
        return None if faults.lose_writes else response

    async def _get(
        self, path: list[str], query: dict[str, str]
    ) -> tuple[int, typing.Any]:
        if len(path) == 2:
            stored = self.objects.get((path[0], path[1]))
            return (200, stored) if stored else (404, {"error": "none"})
        if "watch" in query:
            wait = int(query["wait_ms"]) / 1000
            return await self._watch(path[0], int(query["watch"]), wait)
        items = [o for (kind, _), o in self.objects.items() if kind == path[0]]
        items.sort(key=lambda o: o["meta"]["name"])
        after = query.get("after", "")
        items = [o for o in items if o["meta"]["name"] > after]
        page = items[:2]
        return 200, {
            "items": page,
            "truncated": len(items) > len(page),
            "as_of": self.revision,
        }

    async def _watch(
        self, kind: str, since: int, wait: float
    ) -> tuple[int, typing.Any]:
        loop = asyncio.get_running_loop()
        deadline = loop.time() + wait
        while True:
            if not self.dropped_revision <= since <= self.revision:
                return 410, {"error": "history is gone"}
            events = [
                event
                for revision, name, event in self.history
                if revision > since and name == kind
            ]
            remaining = deadline - loop.time()
            if events or remaining <= 0:
                return 200, {"events": events, "as_of": self.revision}
            try:
                async with asyncio.timeout(remaining):
                    await self._change_event.wait()
            except TimeoutError:
                pass

    def _write(
        self, method: str, path: list[str], body: typing.Any
    ) -> tuple[int, typing.Any]:
        name = path[1] if len(path) > 1 else body["meta"]["name"]
        stored = self.objects.get((path[0], name))
        if method == "POST" and stored is not None:
            return 409, stored
        if method == "PUT":
            if stored is None:
                return 404, {"error": "none"}
            if body["meta"]["revision"] != stored["meta"]["revision"]:
                return 409, stored
        self.put(path[0], name, body["spec"])
        return 200, self.objects[path[0], name]

    def _promote(
        self, headers: dict[str, str], body: typing.Any
    ) -> tuple[int, typing.Any] | None:
        token = int(headers["x-fencing-token"])
        holder = headers["x-lease-holder"]
        self.promotion_requests.append(
            (body["service"], body["id"], holder, token)
        )
        self.promotion_times.append(asyncio.get_running_loop().time())
        faults = self.faults
        if faults.promotion_status:
            return faults.promotion_status, {"error": "refused"}
        delays = faults.promotion_delays
        promoted = self.groups[body["service"]].promote(
            body["id"], holder, token, delays.pop(0) if delays else None
        )
        if faults.lose_promotions:
            return None
        return (200, {}) if promoted else (409, {"error": "not running"})


class _HttpConnection(asyncio.Protocol):
    """A connection.

    :ivar waits: whether a call to the store waits for its answer
    :ivar is_silent: whether nothing is sent any more
    """

    def __init__(self, store: Store) -> None:
        self._store = store
        self._transport: typing.Any = None
        self._parser = httptools.HttpRequestParser(self)
        self._url = b""
        self._headers: dict[str, str] = {}
        self._body = b""
        self._tasks: set[asyncio.Task[None]] = set()
        self.waits = False
        self.is_silent = False

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        self._transport = transport
        self._store._connections.add(self)

    def connection_lost(self, error: Exception | None) -> None:
        self._store._connections.discard(self)

    def abort(self) -> None:
        """Reset the connection."""
        self._transport.abort()

    def data_received(self, data: bytes) -> None:
        self._parser.feed_data(data)

    def on_url(self, url: bytes) -> None:
        self._url += url

    def on_header(self, name: bytes, value: bytes) -> None:
        self._headers[name.decode().lower()] = value.decode()

    def on_body(self, body: bytes) -> None:
        self._body += body

    def on_message_complete(self) -> None:
        task = asyncio.create_task(
            self._serve(
                self._parser.get_method().decode(),
                self._url.decode(),
                self._headers,
                json.loads(self._body) if self._body else None,
            )
        )
        self._tasks.add(task)
        self._url, self._headers, self._body = b"", {}, b""

    async def _serve(
        self, method: str, url: str, headers: dict[str, str], body: typing.Any
    ) -> None:
        is_store = not url.startswith("/promote")
        self.waits = is_store
        try:
            response = await self._store.serve(method, url, headers, body)
        except ConnectionResetError:
            self.abort()
            return
        finally:
            self.waits = False
        if response is None or self.is_silent or self._transport.is_closing():
            return
        status, content = response
        data = self._store.encode(content)
        head = (
            f"HTTP/1.1 {status} -\r\nContent-Type: application/json\r\n"
            f"Content-Length: {len(data)}\r\n"
        )
        if is_store and self._store.era is not None:
            head += f"Store-Era: {self._store.era}\r\n"
        self._transport.write(f"{head}\r\n".encode() + data)
