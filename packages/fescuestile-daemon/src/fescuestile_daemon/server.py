"""A whole daemon: the statement path and the control part together."""

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
    """Starts and stops a daemon as a member of the fleet."""

    def __init__(self, options: settings.Settings) -> None:
        """Build the parts; call on the loop that runs them."""
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
                board=self.daemon.board,
                membership=self.daemon.membership,
                plans=self.daemon.plans,
                keys=self.daemon.keys,
                marks=self.daemon.marks,
                time_source=self.daemon.time_source,
                on_drain=self.begin_drain,
                protection=self.daemon.security,
                switchover=self.daemon.switchovers.carry_out,
            )
        )
        self.record = primary_record.PrimaryRecord(
            self.daemon.own.id, platform, self.control.trail, random.Random()
        )
        self.leaving_primaries = leaving_primaries.LeavingPrimaries(
            self.daemon.own.id,
            self.daemon.marks,
            self.daemon.board,
            self.daemon.switchovers,
            self.daemon.time_source,
        )
        self.daemon.failovers.on_published.append(self.record.take)
        self.daemon.membership.subscribe(self._greet_as)

    async def start(self) -> None:
        """Join the fleet, take the configuration, then take callers."""
        await self.daemon.start_links()
        await self.control.start()
        self.record.start()
        self.leaving_primaries.start()
        self.control.become_ready()
        await self.daemon.start_callers()

    def begin_drain(self, reason: str) -> None:
        """Begin to drain, once; the daemon runs on until it is stopped.

        :param reason: who asked for it, for the log
        """
        if self._draining is None:
            log.info("daemon drains", reason=reason)
            self._draining = asyncio.create_task(self._drain())

    async def drain(self) -> bool:
        """Drain and wait for it.

        :returns: whether everything in flight has ended
        """
        self.begin_drain("a planned stop")
        assert self._draining is not None
        return await self._draining

    async def close(self) -> None:
        """Say goodbye to the fleet and close all parts."""
        if self._draining is not None:
            self._draining.cancel()
            await asyncio.gather(self._draining, return_exceptions=True)
        await self.daemon.callers.close()
        await self.leaving_primaries.close()
        await self.record.close()
        await self.control.close()
        await self.daemon.close()

    async def _drain(self) -> bool:
        self.control.leave()
        return await self.daemon.drain()

    def _greet_as(self, snapshot: members.MembershipSnapshot) -> None:
        self.daemon.links.set_own(snapshot.own)
