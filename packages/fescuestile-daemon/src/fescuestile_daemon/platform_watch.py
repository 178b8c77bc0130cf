"""Watches the platform while this daemon is one of its zone's watchers.

Changes are passed to the gossip. Two daemons of each zone watch, so the number
of calls to the platform grows with zones, not with daemons or databases.
"""

import asyncio
import collections.abc
import random

import expression
import structlog

from fescuestile import configuration
from fescuestile import errors
from fescuestile import gossip_messages
from fescuestile import ports
from fescuestile import session_keys
from fescuestile_daemon import membership_actor
from fescuestile_daemon import published
from fescuestile_daemon import tasks

log = structlog.get_logger(__name__)

ROLE_CHECK_INTERVAL_SECONDS = 0.25
HOST_POLL_INTERVAL_SECONDS = 1.0
INITIAL_BACKOFF_SECONDS = 0.2
MAX_BACKOFF_SECONDS = 5.0

Entry = gossip_messages.Entry
Announce = collections.abc.Callable[[tuple[Entry, ...]], None]


def decode_stored(stored: ports.StoredObject) -> Entry | None:
    """Return the gossip entry of an object, None if it is malformed."""
    if stored.path == session_keys.PATH:
        keys = session_keys.decode(stored.value, stored.path)
        return session_keys.encode_entry(keys.ok) if keys.is_ok() else None
    content = configuration.decode_object(stored.value, stored.path)
    if content.is_error():
        log.error("invalid plan object rejected", error=str(content.error))
        return None
    return configuration.encode_entry(content.ok.current)


class PlatformWatch:
    """Loads the configuration; watches it while the daemon is a watcher."""

    def __init__(
        self,
        platform: ports.Platform,
        status: published.Published[membership_actor.GossipStatus],
        announce: Announce,
        on_hosts: collections.abc.Callable[
            [tuple[ports.HostEntry, ...]], None
        ],
        random_source: random.Random,
    ) -> None:
        """Initialize without a watch.

        :param announce: gossips entries
        :param on_hosts: called with the host list after each read
        """
        self._platform = platform
        self._status = status
        self._announce = announce
        self._on_hosts = on_hosts
        self._random = random_source
        self._role_tasks = tasks.TaskSet()
        self._watch_tasks = tasks.TaskSet()
        self._watching = False

    def start(self) -> None:
        """Start watching whenever this daemon is a watcher of its zone."""
        self._role_tasks.spawn(self._follow_role())

    async def close(self) -> None:
        """Stop watching."""
        await self._role_tasks.close()
        await self._watch_tasks.close()

    async def load(
        self, prefix: str
    ) -> expression.Result[int, errors.FescuestileError]:
        """Read and announce all objects under a prefix.

        :returns: the highest version among them, 0 if there are none
        """
        listed = await self._platform.list_objects(prefix)
        if listed.is_error():
            return expression.Error(listed.error)
        self._announce_stored(listed.ok)
        return expression.Ok(
            max((stored.version for stored in listed.ok), default=0)
        )

    async def _follow_role(self) -> None:
        while True:
            status = self._status.get()
            wanted = status.watcher and status.ready
            if wanted and not self._watching:
                log.info("watching the platform")
                self._watch_tasks.spawn(self._watch(configuration.PLAN_PREFIX))
                self._watch_tasks.spawn(self._watch(session_keys.PATH))
                self._watch_tasks.spawn(self._poll_hosts())
            elif self._watching and not wanted:
                log.info("no longer watching the platform")
                await self._watch_tasks.close()
            self._watching = wanted
            await asyncio.sleep(ROLE_CHECK_INTERVAL_SECONDS)

    async def _watch(self, prefix: str) -> None:
        version: int | None = None
        failures = 0
        while True:
            if version is None:
                loaded = await self.load(prefix)
                version = loaded.ok if loaded.is_ok() else None
            if version is not None:
                async for stored in self._platform.watch(prefix, version):
                    version = max(version, stored.version)
                    failures = 0
                    self._announce_stored((stored,))
                log.info("platform watch ended", prefix=prefix)
            failures += 1
            await self._back_off(failures)

    async def _back_off(self, failures: int) -> None:
        limit = min(
            MAX_BACKOFF_SECONDS,
            INITIAL_BACKOFF_SECONDS * 2 ** min(failures, 10),
        )
        await asyncio.sleep(self._random.uniform(limit / 2, limit))

    async def _poll_hosts(self) -> None:
        while True:
            listed = await self._platform.list_hosts()
            if listed.is_ok():
                self._on_hosts(listed.ok)
            await asyncio.sleep(HOST_POLL_INTERVAL_SECONDS)

    def _announce_stored(
        self, objects: collections.abc.Iterable[ports.StoredObject]
    ) -> None:
        entries = (decode_stored(stored) for stored in objects)
        valid = tuple(entry for entry in entries if entry is not None)
        if valid:
            self._announce(valid)
