"""Monitors the primaries and starts takeovers of failed or leaving ones."""

import asyncio
import collections.abc
import enum
import random
import time

import structlog

from fescuestile import clock
from fescuestile import endpoint_messages
from fescuestile import failure_detection
from fescuestile import promotion
from fescuestile_daemon.relay.core import messages
from fescuestile_daemon.relay.core import options
from fescuestile_daemon.relay.core import ports
from fescuestile_daemon.relay.endpoints import endpoint_states
from fescuestile_daemon.relay.groups import directory
from fescuestile_daemon.relay.groups import groups
from fescuestile_daemon.relay.groups import reachability
from fescuestile_daemon.relay.groups import report_requests
from fescuestile_daemon.relay.peers import sampling
from fescuestile_daemon.relay.records import member_records
from fescuestile_daemon.relay.takeovers import successors
from fescuestile_daemon.relay.takeovers import takeover

log = structlog.get_logger()

Role = endpoint_messages.Role
# Upper bound of the random delay before a takeover, so that daemons that
# detect the same failure do not all start at once.
START_JITTER_SECONDS = 0.15
# No takeover starts before a group has been without a primary, or with a
# fenced endpoint, for this time: another daemon's promotion may be under way.
SETTLE_SECONDS = 1.5
# Longest wait for the reports on which a decision rests: several round trips
# and the queue of a saturated endpoint.
REFRESH_TIMEOUT_SECONDS = 0.15


class Reason(enum.StrEnum):
    """Why a primary is replaced."""

    SILENT = "silent"
    NO_COMMITS = "no commits"
    NO_PRIMARY = "vacant"
    LEAVING = "leaving"
    LEFT_FENCED = "left fenced"


class Monitor:
    """Checks all groups at an interval of ``monitor_interval``."""

    def __init__(
        self,
        routes: directory.Directory,
        promoter: ports.Promoter,
        registry: ports.Registry,
        records: member_records.MemberRecords,
        relay_options: options.RelayOptions,
        boot_clock: clock.Clock,
        source: random.Random,
        sampler: sampling.PositionSampler,
    ) -> None:
        """Watch the groups of ``routes`` once started.

        :param promoter: requests promotions for takeovers
        :param sampler: finds the fresh positions that reads need
        :param registry: read again before each takeover
        :param records: likewise
        :param source: draws the delays before takeovers
        """
        self._directory = routes
        self._promoter = promoter
        self._registry = registry
        self._records = records
        self._options = relay_options
        self._clock = boot_clock
        self._random = source
        self._sampler = sampler
        self._requests = report_requests.ReportRequests(relay_options)
        self._pauses = failure_detection.PauseDetector(boot_clock.now())
        self._task: asyncio.Task[None] | None = None
        self._takeovers: dict[str, asyncio.Task[None]] = {}
        self._stopping = False
        self._seen_since: dict[tuple[str, Reason], float] = {}
        self._without_target: set[str] = set()
        self._unwatched: set[str] = set()

    async def start(self) -> None:
        """Start the periodic checks."""
        self._task = asyncio.create_task(self._run())

    def stop_takeovers(self) -> None:
        """Start no more takeovers, because this daemon is about to exit."""
        self._stopping = True

    async def close(self, seconds: float) -> None:
        """Stop the checks and cancel takeovers that do not end in time.

        :param seconds: longest wait for takeovers under way
        """
        self.stop_takeovers()
        if self._task is not None:
            self._task.cancel()
        self._requests.close()
        takeovers = list(self._takeovers.values())
        if takeovers and seconds > 0:
            await asyncio.wait(takeovers, timeout=seconds)
        for takeover_task in takeovers:
            takeover_task.cancel()

    async def _run(self) -> None:
        while True:
            await asyncio.sleep(self._options.monitor_interval)
            try:
                self._check_groups()
            except Exception:
                # A failed check must not end the monitoring.
                log.exception("monitoring check of the groups failed")

    def _check_groups(self) -> None:
        now = time.monotonic()
        boot_now = self._clock.now()
        self._pauses.record_running(boot_now)
        unpaused = self._pauses.exclude_pauses(60.0, boot_now)
        if unpaused < self._options.monitor_interval:
            self._reset_failure_detection()
        self._directory.expire()
        self._directory.duties.update()
        for group in self._directory.groups.values():
            is_watched = self._update_watch(group)
            for endpoint in group.endpoints.values():
                endpoint.pool.trim()
                endpoint.refuse_late_work()
                if is_watched:
                    self._requests.send_due(group, endpoint, now)
            if not is_watched:
                continue
            self._sample(group)
            group.release_members()
            reason = self._find_reason(group, now, unpaused)
            if reason is None or self._stopping:
                continue
            if group.name not in self._takeovers:
                self._takeovers[group.name] = asyncio.create_task(
                    self._run_takeover(group, reason)
                )

    def _update_watch(self, group: groups.Group) -> bool:
        """Return whether this daemon watches a group.

        Requests that it left open when it stopped to watch, and what it saw
        then, are no reason to suspect the primary now.
        """
        if not self._directory.duties.is_watched(group):
            self._unwatched.add(group.name)
            return False
        if group.name in self._unwatched:
            self._unwatched.discard(group.name)
            self._restart_detection(group)
            for reason in Reason:
                self._seen_since.pop((group.name, reason), None)
        return True

    def _sample(self, group: groups.Group) -> None:
        if not group.leadership.needs_sample():
            return
        if self._directory.duties.samples_alone(group):
            group.leadership.begin_check()
        else:
            self._sampler.sample(group)

    def _restart_detection(self, group: groups.Group) -> None:
        group.clear_stall()
        for endpoint in group.endpoints.values():
            endpoint.reset_failure_detection()

    def _reset_failure_detection(self) -> None:
        log.info("daemon was paused, failure detection restarted")
        for group in self._directory.groups.values():
            self._restart_detection(group)

    def _find_reason(
        self, group: groups.Group, now: float, unpaused: float
    ) -> Reason | None:
        """Return why the group's primary should be replaced, if it should."""
        if not group.endpoints:
            return None
        primary = group.find_primary()
        if primary is None:
            holds = any(e.has_answered for e in group.endpoints.values())
            return self._debounce(
                group, Reason.NO_PRIMARY, SETTLE_SECONDS, now, holds
            )
        self._seen_since.pop((group.name, Reason.NO_PRIMARY), None)
        unresponsive = (
            primary.measure_unanswered(now) > self._options.primary_timeout
            or primary.measure_refusal(now) > self._options.refusal_timeout
        )
        if primary.has_answered and unresponsive:
            return (
                Reason.SILENT
                if reachability.reaches_majority(
                    group, report_requests.UNREACHABLE_SECONDS
                )
                else None
            )
        if reachability.find_unheard_primary(group, now) is primary:
            return Reason.SILENT
        if group.is_stalled(now, unpaused) and successors.has_successor(
            group, primary
        ):
            return Reason.NO_COMMITS
        if primary.entry.leaving:
            target = successors.find_target(group, primary)
            self._log_target(group, primary, target)
            if target is not None:
                return Reason.LEAVING
        fenced = any(
            now - endpoint.reported_at < successors.REPORT_VALID_SECONDS
            for endpoint in _list_left_fenced(group)
        )
        return self._debounce(
            group, Reason.LEFT_FENCED, SETTLE_SECONDS, now, fenced
        )

    def _debounce(
        self,
        group: groups.Group,
        reason: Reason,
        seconds: float,
        now: float,
        holds: bool,
    ) -> Reason | None:
        """Return the reason once it has held for more than so many seconds.

        :param holds: whether the reason holds now
        """
        key = (group.name, reason)
        if not holds:
            self._seen_since.pop(key, None)
            return None
        since = self._seen_since.setdefault(key, now)
        return reason if now - since > seconds else None

    def _log_target(
        self,
        group: groups.Group,
        primary: endpoint_states.EndpointState,
        target: endpoint_states.EndpointState | None,
    ) -> None:
        """Log once that a leaving primary cannot be switched over."""
        if target is not None:
            self._without_target.discard(primary.name)
            return
        if primary.name in self._without_target:
            return
        self._without_target.add(primary.name)
        now = time.monotonic()
        others = [e for e in group.endpoints.values() if e is not primary]
        log.warning(
            "leaving primary has no replacement",
            group=group.name,
            primary=primary.name,
            leaving=group.list_leaving(),
            roles={e.name: e.report and e.report.role for e in others},
            unanswered={
                e.name: round(e.measure_unanswered(now), 3) for e in others
            },
        )

    async def _run_takeover(self, group: groups.Group, reason: Reason) -> None:
        try:
            await asyncio.sleep(self._random.uniform(0, START_JITTER_SECONDS))
            if (
                reason is not Reason.LEFT_FENCED
                and not await self._promoter.is_reachable()
            ):
                # Fences without a promotion only stop the group, and another
                # daemon may be able to request one.
                log.info(
                    "takeover left to other daemons",
                    group=group.name,
                    reason=reason,
                )
                await asyncio.sleep(self._options.primary_timeout / 2)
                return
            lease = await self._promoter.acquire()
            if lease is None:
                await asyncio.sleep(self._options.primary_timeout / 2)
                return
            # Another daemon may have replaced the primary meanwhile, also by
            # an endpoint that is not known here yet.
            if all(
                await asyncio.gather(
                    self._registry.refresh(), self._records.load(group)
                )
            ):
                await group.refresh(REFRESH_TIMEOUT_SECONDS)
                await self._take_over(group, reason, lease)
            await self._promoter.release(lease)
        except Exception:
            log.exception(
                "takeover failed with an unexpected error", group=group.name
            )
        finally:
            self._takeovers.pop(group.name, None)

    async def _take_over(
        self, group: groups.Group, reason: Reason, lease: promotion.Lease
    ) -> None:
        """Replace the primary if there still is a reason.

        :param reason: reason before the lease was acquired
        """
        now = time.monotonic()
        unpaused = self._pauses.exclude_pauses(60.0, self._clock.now())
        reason_now = self._find_reason(group, now, unpaused)
        primary = group.find_primary()
        log.info(
            "primary suspected",
            group=group.name,
            reason=reason,
            still=reason_now,
            primary=primary.name if primary else None,
            silence=primary.measure_unanswered(now) if primary else None,
            token=lease.token,
        )
        if reason_now is not None:
            replacement = takeover.Takeover(
                group, self._promoter, self._records, lease, self._clock
            )
            await self._replace(group, replacement, reason_now, primary)

    async def _replace(
        self,
        group: groups.Group,
        replacement: takeover.Takeover,
        reason: Reason,
        primary: endpoint_states.EndpointState | None,
    ) -> None:
        if reason is Reason.LEFT_FENCED:
            await self._unfence(group, replacement.holds_lease)
        elif reason is Reason.LEAVING and primary is not None:
            target = successors.find_target(group, primary)
            if target is None or not await replacement.switch_over(
                primary, target
            ):
                await asyncio.sleep(self._options.monitor_interval)
        else:
            replaced = await replacement.replace_failed(primary)
            group.clear_stall()
            if not replaced:
                await asyncio.sleep(self._options.monitor_interval)

    async def _unfence(
        self,
        group: groups.Group,
        may_send: collections.abc.Callable[[], bool] = lambda: True,
    ) -> None:
        """Lift the fences of a driver that died before its promotion.

        :param may_send: asked before each command
        """
        for endpoint in _list_left_fenced(group):
            if not may_send():
                return
            await group.inspect(
                endpoint, messages.Unfence(), self._options.inspect_timeout
            )


def _list_left_fenced(
    group: groups.Group,
) -> list[endpoint_states.EndpointState]:
    """Return the fenced endpoints that may receive writes again.

    While a promotion may still take effect, that is its endpoint alone.
    """
    return [
        endpoint
        for endpoint in group.endpoints.values()
        if endpoint.report is not None
        and endpoint.report.role is Role.FENCED
        and group.pending_promotion in ("", endpoint.name)
    ]
