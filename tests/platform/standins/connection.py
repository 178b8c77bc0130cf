"""Stand-in of an endpoint's end of a connection, in the line protocol."""

import asyncio
import secrets
import typing

from tests.platform.standins import records

if typing.TYPE_CHECKING:
    from tests.platform.standins import group

# Statements that wait for a slot, running ones included; others get BUSY.
MAX_QUEUED = 16


class Connection:
    """A connection to an endpoint; its statements run in order."""

    def __init__(
        self, endpoint: "group.Endpoint", transport: typing.Any
    ) -> None:
        self.endpoint = endpoint
        self.transport = transport
        self.lines: asyncio.Queue[str] = asyncio.Queue()
        self.worker = asyncio.create_task(self._work())
        self.connected = False
        self.tenant = ""
        self.state = "I"
        self.read_only = False
        self.continues = False
        self.writes: list[tuple[str, str]] = []
        self.ids: list[str] = []
        self.values: dict[str, str] = {}
        self.prepared: dict[str, tuple[str, str]] = {}

    def receive(self, line: str) -> None:
        if not self.endpoint.faults.dark:
            self.lines.put_nowait(line)

    def disconnect(self) -> None:
        self.worker.cancel()
        self.endpoint.connections.discard(self)

    async def _work(self) -> None:
        while True:
            line = await self.lines.get()
            if line == "TERMINATE":
                self.transport.close()
            elif not self.connected:
                self._connect(line)
            else:
                _, id_, text = line.split(" ", 2)
                await self._query(id_, text)

    def _send(self, *lines: str) -> None:
        if self.endpoint.faults.dark:
            return
        text = "".join(f"{line}\r\n" for line in lines)
        self.transport.write(text.encode())

    def _connect(self, line: str) -> None:
        endpoint = self.endpoint
        fields = line.split(" ")
        wrong = fields[1] != endpoint.group.name
        if wrong or (len(fields) > 3 and fields[3] != endpoint.name):
            self._send("ERROR MISROUTED -")
            self.transport.close()
        elif len(endpoint.connections) >= endpoint.group.max_connections:
            self._send("ERROR CONNLIMIT -")
            self.transport.close()
        else:
            endpoint.connections.add(self)
            self.connected = True
            self.tenant = fields[2]
            self._send(self._ready())

    def _ready(self) -> str:
        term, number = self.endpoint.applied_position
        return f"READY {self.state} {term}.{number}"

    def _send_result(self, *rows: str, receipt: str = "-") -> None:
        self._send(
            *(f"ROW {row}" for row in rows),
            f"COMPLETE {receipt}",
            self._ready(),
        )

    def _fail(self, code: str) -> None:
        if self.state == "T" and code != "BUSY":
            self.state = "E"
        self._send(f"ERROR {code} {self.endpoint.name}", self._ready())

    async def _query(self, id_: str, text: str) -> None:
        endpoint = self.endpoint
        words = text.split(" ")
        if words[0] == "AFTERLSN":
            term, number = map(int, words[1].split("."))
            words = words[2:]
            if not self._covers(term, number):
                self._fail("LAGGING")
                return
        match words[0]:
            case "PAUSE" | "DEMOTE" if endpoint.faults.refuse_fences:
                self._fail("BUSY")
            case "STATUS" if endpoint.faults.refuse_reports:
                self._fail("BUSY")
            case "STATUS":
                self._send_result(endpoint.status())
            case "PAUSE":
                if (
                    endpoint.role == "replica"
                    and int(words[1]) > endpoint.term
                ):
                    endpoint.pause_term = int(words[1])
                self._send_result(endpoint.status())
            case "RESUME":
                if endpoint.pause_term:
                    endpoint.group.follow(endpoint)
                self._send_result(endpoint.status())
            case "DEMOTE":
                if int(words[1]) > endpoint.term or self._is_outdated():
                    endpoint.role = "replica"
                    if self._is_outdated():
                        endpoint.group.follow(endpoint)
                self._send_result(endpoint.status())
            case "RESET":
                self.values.clear()
                self.prepared.clear()
                self._send_result()
            case "SET":
                self.values[words[1]] = " ".join(words[2:])
                self._send_result()
            case "PREPARE":
                self.prepared[words[1]] = (words[2], words[3])
                self._send_result()
            case "BEGIN":
                self._begin(read_only=words[1:] == ["READ"])
            case "ROLLBACK":
                self._clear()
                self._send_result()
            case _:
                await self._run(id_, words)

    def _is_outdated(self) -> bool:
        primary = self.endpoint.group.primary
        return primary is not None and primary.term > self.endpoint.term

    def _covers(self, term: int, number: int) -> bool:
        if number == 0:
            return True
        log = self.endpoint.received[: self.endpoint.applied]
        return any((e.term, e.number) == (term, number) for e in log)

    def _begin(self, read_only: bool) -> None:
        if not read_only and self.endpoint.role != "primary":
            self._fail("READONLY")
            return
        self.state = "T"
        self.read_only = read_only
        self._send_result()

    def _clear(self) -> None:
        self.state = "I"
        self.continues = False
        self.writes = []
        self.ids = []

    async def _run(self, id_: str, words: list[str]) -> None:
        endpoint = self.endpoint
        if not self.continues and words[0] != "COMMIT":
            now = asyncio.get_running_loop().time()
            endpoint.begun.append((now, id_))
        self.continues = self.state == "T"
        if endpoint.queued >= MAX_QUEUED:
            self._fail("BUSY")
            return
        endpoint.queued += 1
        try:
            async with endpoint.slots:
                work = endpoint.group.service_seconds * endpoint.faults.slow
                await asyncio.sleep(work)
                await self._execute(id_, words)
        finally:
            endpoint.queued -= 1

    async def _execute(self, id_: str, words: list[str]) -> None:
        endpoint = self.endpoint
        if words[0] == "EXECUTE":
            shape = self.prepared.get(words[1])
            if shape is None:
                self._fail("NOSTMT")
                return
            words = [shape[0], *words[2:]]
        receipt = f"{endpoint.name}.{secrets.token_hex(4)}"
        endpoint.served.append((id_, words[0]))
        endpoint.tenants.append((id_, self.tenant))
        if words[0] == "READ":
            if endpoint.faults.fail_reads:
                self._fail("FAILED")
                return
            rows = [endpoint.read(words[1])]
            self._answer(rows, receipt)
            return
        if endpoint.role != "primary":
            self._fail("READONLY")
            return
        if words[0] == "WRITE":
            self.writes.append((words[1], " ".join(words[2:])))
            self.ids.append(id_)
            if self.state == "T":
                self._answer([], receipt)
                return
        if not await self._commit():
            return
        self._answer([], receipt)

    async def _commit(self) -> bool:
        """Commit the writes; False if no answer is to be sent.

        Without a replica that confirms the commit, it stays unanswered.
        """
        endpoint = self.endpoint
        if not self.writes:
            self._clear()
            return True
        entry = records.Entry(
            endpoint.term,
            endpoint.position[1] + 1,
            tuple(self.writes),
            tuple(self.ids),
        )
        self._clear()
        if not endpoint.group.commit(endpoint, entry):
            await asyncio.sleep(3600)
            return False
        if not endpoint.faults.lose_answers:
            endpoint.group.acknowledged.append(entry)
        return True

    def _answer(self, rows: list[str], receipt: str) -> None:
        if self.endpoint.faults.lose_answers:
            self.transport.abort()
            return
        self._send_result(*rows, receipt=receipt)
