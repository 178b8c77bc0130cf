"""Audit trail: who changed what, when, and how it ended.

``audit/<database>`` at the platform holds the latest entries of a
database. Each entry is also logged. Entries that the platform did not take
wait here and are written once it is back.
"""

import asyncio
import collections
import dataclasses
import random
import secrets

import cbor2
import expression
import pydantic
import structlog

from fescuestile import errors
from fescuestile import ports

log = structlog.get_logger(__name__)

PREFIX = "audit/"
# Key of changes that concern no database.
FLEET = "-"
KEPT_ENTRIES = 200
WAITING_ENTRIES = 1000
ATTEMPTS = 5
RETRY_SECONDS = 1.0


@dataclasses.dataclass(frozen=True, slots=True)
class AuditEntry:
    """One change or try of a change.

    :ivar at: when, ISO 8601 in UTC
    :ivar action: ``declare``, ``apply``, ``revert``, ``drain`` or
        ``switchover``
    :ivar database: database, or ``-``
    :ivar outcome: ``done``, ``repeated``, or the name of the error
    :ivar before_revision: revision before, 0 for none
    :ivar after_revision: revision after, 0 for none
    :ivar detail: text of the error, or what else is known
    """

    change_id: str
    operator: str
    at: str
    action: str
    database: str
    outcome: str
    before_revision: int = 0
    after_revision: int = 0
    detail: str = ""


_ADAPTER = pydantic.TypeAdapter(tuple[AuditEntry, ...])

Entries = expression.Result[tuple[AuditEntry, ...], errors.FescuestileError]


class AuditTrail:
    """Writes and reads the audit trail."""

    def __init__(
        self, platform: ports.Platform, random_source: random.Random
    ) -> None:
        """Keep the trail at a platform."""
        self._platform = platform
        self._random = random_source
        self._waiting: collections.deque[AuditEntry] = collections.deque(
            maxlen=WAITING_ENTRIES
        )

    @property
    def waiting(self) -> int:
        """Number of entries that the platform has not taken yet."""
        return len(self._waiting)

    async def record(self, entry: AuditEntry) -> None:
        """Log an entry and keep it at the platform, now or later."""
        log.info("audit", **dataclasses.asdict(entry))
        if not await self._append(entry):
            self._waiting.append(entry)

    async def run(self) -> None:
        """Write waiting entries from time to time, for ever."""
        while True:
            await asyncio.sleep(self._random.uniform(0.5, 1.5) * RETRY_SECONDS)
            while self._waiting and await self._append(self._waiting[0]):
                self._waiting.popleft()

    async def list_entries(self, database: str, limit: int) -> Entries:
        """Return the latest entries, newest first.

        :param database: empty for those of all databases
        :param limit: how many at most, 0 for all that are kept
        """
        prefix = PREFIX + database
        listed = await self._platform.list_objects(prefix)
        if listed.is_error():
            return expression.Error(listed.error)
        found: list[AuditEntry] = []
        for stored in listed.ok:
            if database and stored.path != prefix:
                continue
            found.extend(decode_entries(stored.value))
        found.sort(key=lambda entry: entry.at, reverse=True)
        return expression.Ok(tuple(found[: limit or None]))

    async def _append(self, entry: AuditEntry) -> bool:
        path = PREFIX + (entry.database or FLEET)
        change_id = f"audit-{secrets.token_hex(16)}"
        for _ in range(ATTEMPTS):
            read = await self._platform.read(path)
            if read.is_error():
                return False
            stored = read.ok
            kept = decode_entries(stored.value) if stored else ()
            if entry in kept:
                return True
            written = await self._platform.write(
                path,
                encode_entries((*kept, entry)[-KEPT_ENTRIES:]),
                stored.version if stored else 0,
                change_id,
            )
            if written.is_ok():
                return True
            change_id = f"audit-{secrets.token_hex(16)}"
        return False


def encode_entries(entries: tuple[AuditEntry, ...]) -> bytes:
    """Return entries as bytes."""
    return cbor2.dumps(_ADAPTER.dump_python(entries))


def decode_entries(value: bytes) -> tuple[AuditEntry, ...]:
    """Return the entries of some bytes, none when they are garbled."""
    try:
        return _ADAPTER.validate_python(cbor2.loads(value))
    except (cbor2.CBORDecodeError, ValueError) as error:
        log.error("audit object refused", error=str(error))
        return ()
