"""Records primary changes at the platform and in the audit trail.

A failover never waits for the platform: a record that could not be written is
retried until the platform is back.
"""

import asyncio
import dataclasses
import datetime
import random
import secrets

import cbor2
import pydantic
import structlog

from fescuestile import failover_steps
from fescuestile import ports
from fescuestile_daemon import audit
from fescuestile_daemon import tasks

log = structlog.get_logger(__name__)

PREFIX = "primaries/"
WRITE_INTERVAL_SECONDS = 1.0
ID_BYTES = 16


@dataclasses.dataclass(frozen=True, slots=True)
class PrimaryObject:
    """Content of ``primaries/<database>``."""

    term: int
    primary: str


_ADAPTER = pydantic.TypeAdapter(PrimaryObject)


class PrimaryRecord:
    """Writes the latest primary of each group that this daemon changed."""

    def __init__(
        self,
        own_id: str,
        platform: ports.Platform,
        trail: audit.AuditTrail,
        random_source: random.Random,
    ) -> None:
        """Initialize without records; ``start`` begins to write.

        :param own_id: id of the daemon, named in the audit trail
        """
        self._own_id = own_id
        self._platform = platform
        self._trail = trail
        self._random = random_source
        self._pending: dict[str, PrimaryObject] = {}
        self._tasks = tasks.TaskSet()

    def start(self) -> None:
        """Start writing pending records."""
        self._tasks.spawn(self._run())

    async def close(self) -> None:
        """Stop writing; pending records are dropped."""
        await self._tasks.close()

    def record_primary(
        self, database: str, published: failover_steps.Publish
    ) -> None:
        """Queue the record of a new primary; call on the event loop."""
        self._pending[database] = PrimaryObject(
            published.term, published.primary
        )
        entry = audit.AuditEntry(
            change_id=f"failover-{database}-{published.term}",
            operator=self._own_id,
            at=datetime.datetime.now(datetime.UTC).isoformat(
                timespec="milliseconds"
            ),
            action="failover",
            database=database,
            outcome="done",
            detail=f"{published.primary} in term {published.term}",
        )
        self._tasks.spawn(self._trail.record(entry))

    async def _run(self) -> None:
        while True:
            await asyncio.sleep(
                self._random.uniform(0.5, 1.5) * WRITE_INTERVAL_SECONDS
            )
            for database, wanted in tuple(self._pending.items()):
                done = await self._write(database, wanted)
                if done and self._pending.get(database) == wanted:
                    del self._pending[database]

    async def _write(self, database: str, wanted: PrimaryObject) -> bool:
        path = PREFIX + database
        read = await self._platform.read(path)
        if read.is_error():
            return False
        stored = read.ok
        if stored is not None:
            known = decode_primary(stored.value)
            if known is not None and known.term >= wanted.term:
                return True
        written = await self._platform.write(
            path,
            cbor2.dumps(_ADAPTER.dump_python(wanted)),
            stored.version if stored else 0,
            f"primary-{secrets.token_hex(ID_BYTES)}",
        )
        return written.is_ok()


def decode_primary(value: bytes) -> PrimaryObject | None:
    """Return the content of an object, None if it is malformed."""
    try:
        return _ADAPTER.validate_python(cbor2.loads(value))
    except (ValueError, cbor2.CBORDecodeError):
        return None
