"""Requests a recorded promotion and waits for its effect."""

import asyncio
import time
import typing

import structlog

from fescuestile import endpoint_messages
from fescuestile import promotion
from fescuestile_daemon.relay.core import events
from fescuestile_daemon.relay.core import messages
from fescuestile_daemon.relay.core import ports
from fescuestile_daemon.relay.groups import groups

log = structlog.get_logger()

Role = endpoint_messages.Role
# Longest wait for a promotion to be accepted and to take effect; the platform
# takes up to a second.
PROMOTION_TIMEOUT_SECONDS = 3.0
# Interval at which the endpoint is polled for its report.
POLL_SECONDS = 0.03
# Pause before a request without an answer is repeated.
REPEAT_SECONDS = 0.2
# Longest wait for a report: one round trip, and at a busy endpoint the time of
# some statements.
REPORT_TIMEOUT_SECONDS = 0.3


class PromotionRequests:
    """Requests promotions in one group under a lease."""

    def __init__(
        self,
        group: groups.Group,
        promoter: ports.Promoter,
        promotion_log: ports.PromotionLog,
        lease: promotion.Lease,
    ) -> None:
        """Initialize for a group.

        :param promoter: requests the promotion
        :param promotion_log: holds the promotion before it is requested
        :param lease: right to request promotions
        """
        self._group = group
        self._promoter = promoter
        self._log = promotion_log
        self._lease = lease

    async def run(
        self, endpoint: str, fenced: typing.Iterable[messages.Report]
    ) -> bool | None:
        """Request a promotion and wait until it has taken effect.

        A request without an answer is repeated.

        :param endpoint: name of the endpoint, which the record holds already
        :param fenced: reports on which the choice rests, for the log
        :returns: False when it was refused, None when it may still take
            effect
        """
        started_at = time.monotonic()
        until = started_at + PROMOTION_TIMEOUT_SECONDS
        self._group.events.record_request(endpoint)
        accepted = await self._request(endpoint)
        is_repeated = False
        while accepted is None and time.monotonic() < until:
            if await self._is_primary(endpoint):
                return True
            if not await self._log.record_request(self._group.name, endpoint):
                break
            is_repeated = True
            await asyncio.sleep(REPEAT_SECONDS)
            accepted = await self._request(endpoint)
        log.info(
            "promotion requested",
            group=self._group.name,
            endpoint=endpoint,
            token=self._lease.token,
            accepted=accepted,
            repeated=is_repeated,
        )
        if accepted is False:
            return None if is_repeated else False
        while time.monotonic() < until:
            if await self._is_primary(endpoint):
                return True
            await asyncio.sleep(POLL_SECONDS)
        log.warning(
            "promotion has not taken effect",
            group=self._group.name,
            endpoint=endpoint,
            term=self._group.term,
            token=self._lease.token,
            accepted=accepted,
            seconds=round(time.monotonic() - started_at, 3),
            fenced=events.describe_reports(fenced),
        )
        return None

    async def _request(self, endpoint: str) -> bool | None:
        return await self._promoter.promote(
            self._group.name, endpoint, self._lease
        )

    async def _is_primary(self, name: str) -> bool:
        endpoint = self._group.endpoints.get(name)
        if endpoint is None:
            return False
        report = await self._group.inspect(
            endpoint, messages.Inspect(), REPORT_TIMEOUT_SECONDS
        )
        return report is not None and report.role is Role.PRIMARY
