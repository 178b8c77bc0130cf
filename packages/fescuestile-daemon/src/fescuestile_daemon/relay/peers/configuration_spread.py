"""Newer configurations that peers have and the store did not deliver."""

import abc
import asyncio
import collections.abc
import random
import time

import structlog

from fescuestile_daemon.relay.core import changes

log = structlog.get_logger()

# Time that the store has to deliver a version after a peer announced it: a
# watch delivers within milliseconds, and to all daemons at about the same
# time, so that few documents pass between daemons.
STORE_SECONDS = 0.3
FETCH_SECONDS = 0.5
# Pause before the peers are asked again when none had a usable document.
RETRY_SECONDS = 1.0
MAX_VERSION = 2**63 - 1


class ConfigurationSource(abc.ABC):
    """Asks peers for the documents that they have in force."""

    @abc.abstractmethod
    async def fetch(self, peer: str) -> object | None:
        """Return a peer's document, None if it did not answer with one."""


class ConfigurationTarget(abc.ABC):
    """Holds the version in force and puts newer documents in force."""

    @property
    @abc.abstractmethod
    def version(self) -> int:
        """Version in force, 0 before the first one."""

    @abc.abstractmethod
    async def put(self, spec: object) -> None:
        """Put a document in force if its version is newer.

        :raises ValueError: it is malformed as a whole
        """


class ConfigurationSpread:
    """Fetches versions that peers announced and the store did not deliver."""

    def __init__(
        self,
        target: ConfigurationTarget,
        source: ConfigurationSource,
        announce: collections.abc.Callable[[int], None],
    ) -> None:
        """Initialize; nothing is asked before a peer announces a version.

        :param target: checks documents as strictly as those of the store
        :param announce: tells the peers the version in force
        """
        self._target = target
        self._source = source
        self._announce = announce
        self._announced: dict[str, int] = {}
        self._announced_own = 0
        self._changes = changes.Changes()
        self._task: asyncio.Task[None] | None = None

    def handle_announcement(self, peer: str, version: object) -> None:
        """Note the version that a peer has in force."""
        if type(version) is not int or not 0 < version <= MAX_VERSION:
            return
        self._announced[peer] = version
        if version > self._target.version and self._task is None:
            self._task = asyncio.create_task(self._run())

    def forget(self, peer: str) -> None:
        """Forget a peer that is gone."""
        self._announced.pop(peer, None)

    def handle_change(self) -> None:
        """Announce the version in force, which may have come from a peer."""
        if self._target.version > self._announced_own:
            self._announced_own = self._target.version
            self._announce(self._announced_own)
        self._changes.notify()

    async def update_from(self, peer: str, version: int) -> bool:
        """Fetch a version at once, before a request that depends on it.

        :returns: whether that version or a newer one is in force
        """
        if version > self._target.version:
            await self._fetch(peer)
        return version <= self._target.version

    def close(self) -> None:
        """Ask no more peers."""
        if self._task is not None:
            self._task.cancel()

    def _list_newer(self) -> list[str]:
        """Return the peers with newer versions, the newest one first.

        Peers with the same version come in random order: otherwise all
        daemons that miss it would ask the same one.
        """
        newer = [
            (version, random.random(), peer)
            for peer, version in self._announced.items()
            if version > self._target.version
        ]
        return [peer for _, _, peer in sorted(newer, reverse=True)]

    async def _run(self) -> None:
        delay = STORE_SECONDS
        try:
            while self._list_newer():
                await self._wait_for_store(delay)
                for peer in self._list_newer():
                    # One answer usually settles all of them.
                    if self._announced.get(peer, 0) > self._target.version:
                        await self._fetch(peer)
                delay = RETRY_SECONDS
        finally:
            self._task = None

    async def _wait_for_store(self, seconds: float) -> None:
        until = time.monotonic() + seconds
        while self._list_newer():
            left = until - time.monotonic()
            if left <= 0:
                return
            await self._changes.wait_change(left)

    async def _fetch(self, peer: str) -> None:
        before = self._target.version
        try:
            async with asyncio.timeout(FETCH_SECONDS):
                spec = await self._source.fetch(peer)
            if spec is None:
                return
            await self._target.put(spec)
        except TimeoutError:
            return
        except ValueError as error:
            log.warning(
                "malformed configuration from peer",
                peer=peer,
                detail=str(error),
            )
        if self._announced.get(peer, 0) > self._target.version:
            # It has not what it announced, so asking again is of no use.
            self._announced.pop(peer)
        if self._target.version > before:
            log.info(
                "configuration taken from peer",
                peer=peer,
                version=self._target.version,
                before=before,
            )
