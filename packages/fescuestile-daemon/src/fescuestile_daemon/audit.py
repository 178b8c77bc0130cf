"""Audit trail: who changed what, when, and with which outcome.

The object ``audit/<database>`` in the platform's store holds the most recent
entries of a database. Each entry is also logged. Entries that could not be
stored are queued in memory and written once the platform responds again.
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
# Stands for the database in entries that concern none.
FLEET_KEY = "-"
MAX_STORED_ENTRIES = 200
MAX_PENDING_ENTRIES = 1000
APPEND_ATTEMPTS = 5
RETRY_INTERVAL_SECONDS = 1.0


@dataclasses.dataclass(frozen=True, slots=True)
class AuditEntry:
    """One change or attempted change.

    :ivar at: when, ISO 8601 in UTC
    :ivar action: ``declare``, ``apply``, ``revert``, ``drain`` or
        ``switchover``
    :ivar database: database, or ``-``
    :ivar outcome: ``done``, ``repeated``, or the name of the error
    :ivar before_revision: revision before, 0 for none
    :ivar after_revision: revision after, 0 for none
    :ivar detail: error message, or further information
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

EntriesResult = expression.Result[
    tuple[AuditEntry, ...], errors.FescuestileError
]


class AuditTrail:
    """Appends to the audit trail and reads it."""

    def __init__(
        self, platform: ports.Platform, random_source: random.Random
    ) -> None:
        """Initialize with the platform that stores the trail."""
        self._platform = platform
        self._random = random_source
        self._pending: collections.deque[AuditEntry] = collections.deque(
            maxlen=MAX_PENDING_ENTRIES
        )

    @property
    def pending(self) -> int:
        """Number of entries that are not stored yet."""
        return len(self._pending)

    async def record(self, entry: AuditEntry) -> None:
        """Log an entry and store it, or queue it if that fails."""
        log.info("audit", **dataclasses.asdict(entry))
        if not await self._append(entry):
            self._pending.append(entry)

    async def run(self) -> None:
        """Retry storing pending entries until cancelled."""
        while True:
            await asyncio.sleep(
                self._random.uniform(0.5, 1.5) * RETRY_INTERVAL_SECONDS
            )
            while self._pending and await self._append(self._pending[0]):
                self._pending.popleft()

    async def list_entries(self, database: str, limit: int) -> EntriesResult:
        """Return the latest entries, newest first.

        :param database: empty for those of all databases
        :param limit: maximum number of entries, 0 for all
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
        path = PREFIX + (entry.database or FLEET_KEY)
        change_id = f"audit-{secrets.token_hex(16)}"
        for _ in range(APPEND_ATTEMPTS):
            read = await self._platform.read(path)
            if read.is_error():
                return False
            stored = read.ok
            entries = decode_entries(stored.value) if stored else ()
            if entry in entries:
                return True
            written = await self._platform.write(
                path,
                encode_entries((*entries, entry)[-MAX_STORED_ENTRIES:]),
                stored.version if stored else 0,
                change_id,
            )
            if written.is_ok():
                return True
            change_id = f"audit-{secrets.token_hex(16)}"
        return False


def encode_entries(entries: tuple[AuditEntry, ...]) -> bytes:
    """Return entries as CBOR."""
    return cbor2.dumps(_ADAPTER.dump_python(entries))


def decode_entries(value: bytes) -> tuple[AuditEntry, ...]:
    """Decode entries from CBOR; return none if they are malformed."""
    try:
        return _ADAPTER.validate_python(cbor2.loads(value))
    except (cbor2.CBORDecodeError, ValueError) as error:
        log.error("stored audit entries are malformed", error=str(error))
        return ()
