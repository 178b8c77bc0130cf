"""Start of a daemon: finds other daemons and gets the configuration.

The configuration comes from daemons that are ready. Only when none of them
answers does a watcher of the zone load it from the platform, so that hosts
that start together do not all call the platform.
"""

import asyncio
import collections.abc
import random

import structlog

from fescuestile import clock
from fescuestile import configuration
from fescuestile import ports
from fescuestile_daemon import key_manager
from fescuestile_daemon import links
from fescuestile_daemon import membership_actor
from fescuestile_daemon import platform_watch
from fescuestile_daemon import published

log = structlog.get_logger(__name__)

MAX_SEEDS = 8
PEER_TIMEOUT_SECONDS = 1.5
MIN_SYNC_SECONDS = 0.5
POLL_INTERVAL_SECONDS = 0.05
REDIAL_INTERVAL_SECONDS = 1.0
# After this time a daemon loads from the platform even if it is no watcher.
ANY_DAEMON_LOADS_SECONDS = 10.0
LOG_INTERVAL_SECONDS = 5.0


class Bootstrap:
    """Gets the configuration that one daemon needs to serve."""

    def __init__(
        self,
        seeds: tuple[str, ...],
        own_address: str,
        platform: ports.Platform,
        watch: platform_watch.PlatformWatch,
        manager: key_manager.KeyManager,
        link_pool: links.Links,
        status: published.Published[membership_actor.GossipStatus],
        time_source: clock.Clock,
        random_source: random.Random,
        now_seconds: collections.abc.Callable[[], float],
    ) -> None:
        """Initialize without connections; ``run`` does the work.

        :param seeds: link addresses of other daemons, from the settings
        :param now_seconds: seconds since the epoch
        """
        self._seeds = seeds
        self._own_address = own_address
        self._platform = platform
        self._watch = watch
        self._key_manager = manager
        self._links = link_pool
        self._status = status
        self._clock = time_source
        self._random = random_source
        self._now_seconds = now_seconds
        self._peers: dict[str, str] = {}
        self._load_error = ""
        self._has_addresses = True

    async def run(self) -> str:
        """Wait until the daemon has the configuration.

        :returns: the source of the configuration, for the log
        """
        began = self._clock.now()
        redial_at = began
        log_at = began + PEER_TIMEOUT_SECONDS
        while True:
            now = self._clock.now()
            if now >= redial_at:
                await self._dial_seeds()
                jitter = self._random.uniform(0.5, 1.5)
                redial_at = (
                    self._clock.now() + jitter * REDIAL_INTERVAL_SECONDS
                )
            synced = self._status.get().synced
            if synced and self._has_synced_enough(synced, now - began):
                return f"daemons {', '.join(sorted(synced))}"
            if self._should_load(now - began) and await self._load():
                return "the platform"
            if now >= log_at:
                log_at = now + LOG_INTERVAL_SECONDS
                self._log_waiting()
            await asyncio.sleep(POLL_INTERVAL_SECONDS)

    def _has_synced_enough(
        self, synced: frozenset[str], waited: float
    ) -> bool:
        """Return whether entries were compared with enough daemons.

        Any of the connected daemons may hold a newer revision than the
        others, so all of them are awaited for up to the peer timeout.
        """
        if self._list_connected() <= synced:
            return waited >= MIN_SYNC_SECONDS
        return waited >= PEER_TIMEOUT_SECONDS

    def _should_load(self, waited: float) -> bool:
        if self._status.get().synced:
            return False
        if self._has_addresses and waited < PEER_TIMEOUT_SECONDS:
            return False
        return self._status.get().watcher or waited >= ANY_DAEMON_LOADS_SECONDS

    async def _load(self) -> bool:
        loaded = await self._watch.load(configuration.PLAN_PREFIX)
        if loaded.is_error():
            self._load_error = str(loaded.error)
            await asyncio.sleep(
                self._random.uniform(0, REDIAL_INTERVAL_SECONDS)
            )
            return False
        await self._key_manager.rotate_if_due(self._now_seconds())
        return True

    async def _dial_seeds(self) -> None:
        addresses = list(self._seeds)
        if not self._list_connected():
            addresses += await self._list_hosts()
        chosen = [
            address
            for address in dict.fromkeys(addresses)
            if address != self._own_address
        ][:MAX_SEEDS]
        self._has_addresses = bool(chosen)
        await asyncio.gather(*(self._dial(address) for address in chosen))

    async def _dial(self, address: str) -> None:
        if self._links.is_connected(self._peers.get(address, "")):
            return
        link = await self._links.dial_address(address)
        if link is not None:
            self._peers[address] = link.peer.id

    def _list_connected(self) -> set[str]:
        return {
            peer
            for peer in self._peers.values()
            if self._links.is_connected(peer)
        }

    async def _list_hosts(self) -> list[str]:
        listed = await self._platform.list_hosts()
        if listed.is_error():
            return []
        found = [
            host.address
            for host in listed.ok
            if host.role == "daemon" and not host.leaving
        ]
        self._random.shuffle(found)
        return found

    def _log_waiting(self) -> None:
        log.warning(
            "waiting for the configuration",
            daemons_reached=sorted(self._list_connected()),
            seeds=list(self._seeds),
            platform=self._load_error or "not queried",
        )
