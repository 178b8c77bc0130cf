"""Start of a daemon: finds others and takes the configuration from them.

The configuration comes from daemons that are ready. Only when none answers
does a watcher of the zone load it from the platform, so that hosts that
start together do not all call the platform.
"""

import asyncio
import collections.abc
import random

import structlog

from fescuestile import clock
from fescuestile import configuration
from fescuestile import ports
from fescuestile_daemon import key_keeper
from fescuestile_daemon import links
from fescuestile_daemon import membership_actor
from fescuestile_daemon import platform_watch
from fescuestile_daemon import published

log = structlog.get_logger(__name__)

MAX_SEEDS = 8
PEER_WAIT_SECONDS = 1.5
SETTLE_SECONDS = 0.5
POLL_SECONDS = 0.05
REDIAL_SECONDS = 1.0
ANYONE_LOADS_SECONDS = 10.0
REPORT_SECONDS = 5.0


class Bootstrap:
    """Brings one daemon to the point where it can serve."""

    def __init__(
        self,
        seeds: tuple[str, ...],
        own_address: str,
        platform: ports.Platform,
        watch: platform_watch.PlatformWatch,
        keeper: key_keeper.KeyKeeper,
        link_pool: links.Links,
        status: published.Published[membership_actor.GossipStatus],
        time_source: clock.Clock,
        random_source: random.Random,
        now_seconds: collections.abc.Callable[[], float],
    ) -> None:
        """Prepare; ``run`` does the work.

        :param seeds: link addresses of other daemons, from the settings
        :param now_seconds: seconds since the epoch
        """
        self._seeds = seeds
        self._own_address = own_address
        self._platform = platform
        self._watch = watch
        self._keeper = keeper
        self._links = link_pool
        self._status = status
        self._clock = time_source
        self._random = random_source
        self._now_seconds = now_seconds
        self._peers: dict[str, str] = {}
        self._waits_for = ""
        self._anyone_to_ask = True

    async def run(self) -> str:
        """Wait until the configuration is here.

        :returns: where it came from, for the log
        """
        began = self._clock.now()
        redial_at = began
        report_at = began + PEER_WAIT_SECONDS
        while True:
            now = self._clock.now()
            if now >= redial_at:
                await self._dial_seeds()
                jitter = self._random.uniform(0.5, 1.5)
                redial_at = self._clock.now() + jitter * REDIAL_SECONDS
            synced = self._status.get().synced
            if synced and self._is_settled(synced, now - began):
                return f"daemons {', '.join(sorted(synced))}"
            if self._should_load(now - began) and await self._load():
                return "the platform"
            if now >= report_at:
                report_at = now + REPORT_SECONDS
                self._report()
            await asyncio.sleep(POLL_SECONDS)

    def _is_settled(self, synced: frozenset[str], waited: float) -> bool:
        """Tell whether enough daemons have been compared with.

        Each of the reached ones may hold a newer revision than the others.
        """
        if self._list_reached() <= synced:
            return waited >= SETTLE_SECONDS
        return waited >= PEER_WAIT_SECONDS

    def _should_load(self, waited: float) -> bool:
        if self._status.get().synced:
            return False
        if self._anyone_to_ask and waited < PEER_WAIT_SECONDS:
            return False
        return self._status.get().watcher or waited >= ANYONE_LOADS_SECONDS

    async def _load(self) -> bool:
        loaded = await self._watch.load(configuration.PLAN_PREFIX)
        if loaded.is_error():
            self._waits_for = str(loaded.error)
            await asyncio.sleep(self._random.uniform(0, REDIAL_SECONDS))
            return False
        await self._keeper.step(self._now_seconds())
        return True

    async def _dial_seeds(self) -> None:
        addresses = list(self._seeds)
        if not self._list_reached():
            addresses += await self._list_hosts()
        chosen = [
            address
            for address in dict.fromkeys(addresses)
            if address != self._own_address
        ][:MAX_SEEDS]
        self._anyone_to_ask = bool(chosen)
        await asyncio.gather(*(self._dial(address) for address in chosen))

    async def _dial(self, address: str) -> None:
        if self._links.is_connected(self._peers.get(address, "")):
            return
        link = await self._links.dial_address(address)
        if link is not None:
            self._peers[address] = link.peer.id

    def _list_reached(self) -> set[str]:
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

    def _report(self) -> None:
        log.warning(
            "waiting for the configuration",
            daemons_reached=sorted(self._list_reached()),
            seeds=list(self._seeds),
            platform=self._waits_for or "not asked",
        )
