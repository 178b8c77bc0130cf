"""A daemon with its control plane, as the command line runs it."""

import asyncio
import random

import structlog

from fescuestile import members
from fescuestile_daemon import control
from fescuestile_daemon import daemon
from fescuestile_daemon import leaving_primaries
from fescuestile_daemon import platform_adapter
from fescuestile_daemon import primary_record
from fescuestile_daemon import settings

log = structlog.get_logger(__name__)


class Server:
    """Starts, drains and stops a daemon that takes part in the fleet."""

    def __init__(self, options: settings.Settings) -> None:
        """Build the components; call it on the event loop that runs them."""
        self.options = options
        self.daemon = daemon.Daemon(options, members.MemberState.JOINING)
        self._draining: asyncio.Task[bool] | None = None
        platform = platform_adapter.PlatformAdapter(
            options.platform.addresses,
            options.daemon.ip,
            options.platform.timeout,
            context=self.daemon.security.platform_client,
        )
        self.control = control.Control(
            control.ControlParts(
                own=self.daemon.own,
                options=options,
                platform=platform,
                link_pool=self.daemon.links,
                group_snapshots=self.daemon.group_snapshots,
                membership=self.daemon.membership,
                plans=self.daemon.plans,
                keys=self.daemon.keys,
                leaving_set=self.daemon.leaving_set,
                time_source=self.daemon.time_source,
                on_drain=self.begin_drain,
                transport_security=self.daemon.security,
                record_use=self.daemon.interest_manager.record_use,
                switchover=self.daemon.switchovers.switch_over_with_retries,
            )
        )
        self.primary_record = primary_record.PrimaryRecord(
            self.daemon.own.id, platform, self.control.trail, random.Random()
        )
        self.leaving_primaries = leaving_primaries.LeavingPrimaries(
            self.daemon.own.id,
            self.daemon.leaving_set,
            self.daemon.group_snapshots,
            self.daemon.switchovers,
            self.daemon.time_source,
        )
        self.daemon.failovers.on_published.append(
            self.primary_record.record_primary
        )
        self.daemon.membership.subscribe(self._update_own_member)

    async def start(self) -> None:
        """Join the fleet, load the configuration, then accept callers."""
        await self.daemon.start_links()
        await self.control.start()
        self.primary_record.start()
        self.leaving_primaries.start()
        self.control.become_ready()
        await self.daemon.start_callers()

    def begin_drain(self, reason: str) -> None:
        """Start draining; the daemon keeps running until it is closed.

        Further calls have no effect.

        :param reason: who requested it, for the log
        """
        if self._draining is None:
            log.info("daemon drain started", reason=reason)
            self._draining = asyncio.create_task(self._drain())

    async def drain(self) -> bool:
        """Drain and wait until it ends.

        :returns: whether all work in flight was finished in time
        """
        self.begin_drain("planned stop")
        assert self._draining is not None
        return await self._draining

    async def close(self) -> None:
        """Leave the fleet and close all components."""
        if self._draining is not None:
            self._draining.cancel()
            await asyncio.gather(self._draining, return_exceptions=True)
        await self.daemon.callers.close()
        await self.leaving_primaries.close()
        await self.primary_record.close()
        await self.control.close()
        await self.daemon.close()

    async def _drain(self) -> bool:
        self.control.leave()
        return await self.daemon.drain()

    def _update_own_member(self, snapshot: members.MembershipSnapshot) -> None:
        self.daemon.links.set_own(snapshot.own)
