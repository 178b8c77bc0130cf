"""Watches the primaries and has failed or leaving ones replaced."""

import asyncio
import enum
import random
import time

import structlog

from fescuestile import clock
from fescuestile import endpoint_messages
from fescuestile import failover
from fescuestile import suspicion
from fescuestile_daemon.relay import directory
from fescuestile_daemon.relay import groups
from fescuestile_daemon.relay import members
from fescuestile_daemon.relay import messages
from fescuestile_daemon.relay import options
from fescuestile_daemon.relay import ports
from fescuestile_daemon.relay import takeover

log = structlog.get_logger()

Role = endpoint_messages.Role
# Seconds by which daemons that see the same failure start apart at most.
JITTER_SECONDS = 0.15
# A group without a primary is left alone this long, in seconds: another
# daemon's promotion may be under way.
VACANT_SECONDS = 1.5
# A report counts for a decision this long, in seconds.
ANSWERS_SECONDS = 2.0
# Longest wait for the reports on which a decision rests, in seconds; some
# round trips and the queue of a crowded endpoint.
REFRESH_SECONDS = 0.15
# An endpoint that leaves a question open for this time is out of reach, in
# seconds; slow statements take a part of it.
REACH_SECONDS = 0.6


class Reason(enum.StrEnum):
    """Why a primary is replaced."""

    SILENT = "silent"
    NO_COMMITS = "no commits"
    VACANT = "vacant"
    LEAVING = "leaving"
    LEFT_FENCED = "left fenced"


class Monitor:
    """Looks at all groups a few times a second."""

    def __init__(
        self,
        routes: directory.Directory,
        promoter: ports.Promoter,
        relay_options: options.RelayOptions,
        boot_clock: clock.Clock,
        source: random.Random,
    ) -> None:
        """Take what is watched and who orders promotions."""
        self._directory = routes
        self._promoter = promoter
        self._options = relay_options
        self._clock = boot_clock
        self._random = source
        self._pauses = suspicion.OwnPauses(boot_clock.now())
        self._task: asyncio.Task[None] | None = None
        self._drives: dict[str, asyncio.Task[None]] = {}
        self._probes: dict[str, asyncio.Task[None]] = {}
        self._retired = False
        self._since: dict[tuple[str, Reason], float] = {}

    async def start(self) -> None:
        """Start to watch."""
        self._task = asyncio.create_task(self._run())

    def retire(self) -> None:
        """Begin no more replacements: this daemon is about to end."""
        self._retired = True

    async def close(self, seconds: float) -> None:
        """Stop; a replacement under way has some time to end.

        :param seconds: longest wait for it
        """
        self.retire()
        if self._task is not None:
            self._task.cancel()
        for task in self._probes.values():
            task.cancel()
        drives = list(self._drives.values())
        if drives and seconds > 0:
            await asyncio.wait(drives, timeout=seconds)
        for drive in drives:
            drive.cancel()

    async def _run(self) -> None:
        while True:
            await asyncio.sleep(self._options.monitor_interval)
            try:
                self._look()
            except Exception:
                # One bad look must not end the watch.
                log.exception("monitor failed")

    def _look(self) -> None:
        now = time.monotonic()
        boot_now = self._clock.now()
        self._pauses.note_running(boot_now)
        awake = self._pauses.bound(60.0, boot_now)
        if awake < self._options.monitor_interval:
            self._restart_silences()
        self._directory.expire()
        for group in self._directory.groups.values():
            for member in group.members.values():
                member.pool.trim()
                self._probe(group, member, now)
            group.proofs.sample()
            group.expire_expected()
            reason = self._find_reason(group, now, awake)
            if reason is None or self._retired:
                continue
            if group.name not in self._drives:
                self._drives[group.name] = asyncio.create_task(
                    self._drive(group, reason)
                )

    def _restart_silences(self) -> None:
        log.info("this daemon was paused")
        for group in self._directory.groups.values():
            group.clear_stall()
            for member in group.members.values():
                member.restart_silence()

    def _probe(
        self, group: groups.Group, member: members.Member, now: float
    ) -> None:
        """Ask an endpoint that has not answered lately."""
        if member.name in self._probes or not self._is_due(group, member, now):
            return
        if member.measure_silence(now) > REACH_SECONDS:
            # Its connections may have gone silent while new ones work.
            member.pool.drop_idle()
        task = asyncio.create_task(self._inspect(group, member))
        self._probes[member.name] = task

    def _is_due(
        self, group: groups.Group, member: members.Member, now: float
    ) -> bool:
        """Tell whether an endpoint is to be asked for a report."""
        relay_options = self._options
        unreported = now - member.reported_at
        if member.gate.pace.seconds or group.is_silent(now):
            return unreported > relay_options.crowded_inspect
        if group.find_primary() is member:
            quiet = now - max(member.answered_at, member.reported_at)
            return (
                quiet > relay_options.idle_inspect
                or unreported > relay_options.idle_inspect_replica
            )
        stalled = group.stalled_since
        if stalled is not None and now - stalled > relay_options.idle_inspect:
            return unreported > relay_options.commit_silence / 4
        return unreported > relay_options.idle_inspect_replica

    async def _inspect(
        self, group: groups.Group, member: members.Member
    ) -> None:
        try:
            await group.inspect(
                member, messages.Inspect(), self._options.inspect_timeout
            )
        finally:
            self._probes.pop(member.name, None)

    def _find_reason(
        self, group: groups.Group, now: float, awake: float
    ) -> Reason | None:
        """Return why the group's primary should be replaced."""
        if not group.members:
            return None
        primary = group.find_primary()
        if primary is None:
            seen = any(m.has_answered for m in group.members.values())
            return self._hold(group, Reason.VACANT, VACANT_SECONDS, now, seen)
        self._since.pop((group.name, Reason.VACANT), None)
        silent = (
            primary.measure_silence(now) > self._options.primary_silence
            or primary.measure_refusal(now) > self._options.primary_refusal
        )
        if primary.has_answered and silent:
            return Reason.SILENT if self._reaches_others(group, now) else None
        if group.is_stalled(now, awake):
            return Reason.NO_COMMITS
        if primary.entry.leaving and self._find_target(group, primary):
            return Reason.LEAVING
        fenced = any(
            member.report is not None
            and member.report.role is Role.FENCED
            and now - member.reported_at < ANSWERS_SECONDS
            for member in group.members.values()
        )
        return self._hold(
            group, Reason.LEFT_FENCED, VACANT_SECONDS, now, fenced
        )

    def _hold(
        self,
        group: groups.Group,
        reason: Reason,
        seconds: float,
        now: float,
        seen: bool,
    ) -> Reason | None:
        """Return a reason that has been seen for so many seconds."""
        key = (group.name, reason)
        if not seen:
            self._since.pop(key, None)
            return None
        since = self._since.setdefault(key, now)
        return reason if now - since > seconds else None

    def _reaches_others(self, group: groups.Group, now: float) -> bool:
        """Tell whether a majority answers, so that the fault isn't here."""
        answering = sum(
            member.has_answered and member.measure_silence(now) < REACH_SECONDS
            for member in group.members.values()
        )
        return answering >= group.make_plan().majority

    def _find_target(
        self, group: groups.Group, primary: members.Member
    ) -> members.Member | None:
        """Return the replica that a leaving primary hands over to."""
        now = time.monotonic()
        able = [
            member
            for member in group.list_candidates()
            if member is not primary
            and member.report is not None
            and member.report.role is Role.REPLICA
            and now - member.answered_at < ANSWERS_SECONDS
        ]
        return max(
            able,
            key=lambda m: failover.rank_log(m.report) if m.report else (0, 0),
            default=None,
        )

    async def _drive(self, group: groups.Group, reason: Reason) -> None:
        try:
            await asyncio.sleep(self._random.uniform(0, JITTER_SECONDS))
            lease = await self._promoter.acquire()
            if lease is None:
                await asyncio.sleep(self._options.primary_silence / 2)
                return
            # Another driver may have been quicker.
            await group.refresh(REFRESH_SECONDS)
            now = time.monotonic()
            awake = self._pauses.bound(60.0, self._clock.now())
            reason_now = self._find_reason(group, now, awake)
            primary = group.find_primary()
            log.info(
                "primary suspected",
                group=group.name,
                reason=reason,
                still=reason_now,
                primary=primary.name if primary else None,
                silence=primary.measure_silence(now) if primary else None,
                token=lease.token,
            )
            if reason_now is not None:
                drive = takeover.Takeover(
                    group, self._promoter, lease, self._clock
                )
                await self._replace(group, drive, reason_now, primary)
            await self._promoter.release(lease)
        except Exception:
            log.exception("takeover failed", group=group.name)
        finally:
            self._drives.pop(group.name, None)

    async def _replace(
        self,
        group: groups.Group,
        drive: takeover.Takeover,
        reason: Reason,
        primary: members.Member | None,
    ) -> None:
        if reason is Reason.LEFT_FENCED:
            await self._unfence(group)
        elif reason is Reason.LEAVING and primary is not None:
            target = self._find_target(group, primary)
            if target is not None:
                await drive.switch_over(primary, target)
        else:
            replaced = await drive.replace_failed(primary)
            group.clear_stall()
            if not replaced:
                await asyncio.sleep(self._options.monitor_interval)

    async def _unfence(self, group: groups.Group) -> None:
        """Finish what a driver left that died before its promotion."""
        for member in list(group.members.values()):
            report = member.report
            if report is not None and report.role is Role.FENCED:
                await group.inspect(
                    member,
                    messages.Unfence(),
                    self._options.inspect_timeout,
                )
