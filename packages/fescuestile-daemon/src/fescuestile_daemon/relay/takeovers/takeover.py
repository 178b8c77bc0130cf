"""Replaces a group's primary by a switchover or after a failure."""

import asyncio
import time

import structlog

from fescuestile import clock
from fescuestile import endpoint_messages
from fescuestile import promotion
from fescuestile import promotion_order
from fescuestile_daemon.relay.core import events
from fescuestile_daemon.relay.core import messages
from fescuestile_daemon.relay.core import ports
from fescuestile_daemon.relay.endpoints import endpoint_states
from fescuestile_daemon.relay.groups import groups
from fescuestile_daemon.relay.takeovers import promotion_requests

log = structlog.get_logger()

Role = endpoint_messages.Role
# Longest wait for the reply to a fence or a report: one round trip, and at a
# busy endpoint the time of some statements.
FENCE_TIMEOUT_SECONDS = 0.3
# Rounds of fences before a takeover is abandoned.
FENCE_ATTEMPTS = 3
# Longest wait for a switchover's target to hold the old primary's log;
# replicas lag by some ten milliseconds.
CATCH_UP_TIMEOUT_SECONDS = 1.0
# Interval at which an endpoint is polled for its report.
POLL_SECONDS = 0.03


class Takeover:
    """One replacement of a primary, under a lease."""

    def __init__(
        self,
        group: groups.Group,
        promoter: ports.Promoter,
        promotion_log: ports.PromotionLog,
        lease: promotion.Lease,
        boot_clock: clock.Clock,
    ) -> None:
        """Prepare a takeover of the group.

        :param promoter: requests the promotion
        :param promotion_log: holds the promotion before it is requested
        :param lease: right to request promotions
        """
        self._group = group
        self._log = promotion_log
        self._requests = promotion_requests.PromotionRequests(
            group, promoter, promotion_log, lease
        )
        self._promoter = promoter
        self._lease = lease
        self._clock = boot_clock
        self._fenced: dict[str, messages.Report] = {}

    async def replace_failed(
        self, failed: endpoint_states.EndpointState | None
    ) -> bool:
        """Promote another endpoint after the primary has failed.

        :param failed: the primary, None when the group has none
        :returns: whether the group has a new primary
        """
        group = self._group
        term = promotion.find_next_term(group.list_reports())
        name = failed.name if failed else ""
        if not promotion.may_choose(
            group.make_plan(), name, group.members.absent, group.members.ended
        ):
            log.info(
                "no takeover while members are absent",
                group=group.name,
                failed=name,
                members=sorted(group.endpoints),
                absent=group.members.absent,
                ended=group.members.ended,
            )
            return False
        chosen = recorded = None
        for _ in range(FENCE_ATTEMPTS):
            await self._fence_all(term, name)
            chosen = self._choose(name)
            if chosen is not None and await self._log.record_request(
                group.name, chosen
            ):
                recorded = chosen
            if recorded is not None or not self.holds_lease():
                break
        log.info(
            "endpoints fenced for failover",
            group=group.name,
            term=term,
            failed=name,
            fenced={
                n: f"{r.last} in term {r.term}"
                for n, r in self._fenced.items()
            },
            members=sorted(group.endpoints),
            absent=group.members.absent,
            ended=group.members.ended,
            leaving=group.list_leaving(),
            pending=group.pending_promotion,
            chosen=chosen,
            recorded=recorded is not None,
        )
        if recorded is None:
            await self._unfence()
            return False
        return await self._complete(recorded, failed)

    def _choose(self, failed: str) -> str | None:
        """Return the endpoint to promote, None while that is not safe."""
        group = self._group
        return promotion.choose_promotion(
            group.make_plan(),
            self._list_whole(),
            failed,
            absent=group.members.absent,
            ended=group.members.ended,
            leaving=group.list_leaving(),
            pending=group.pending_promotion,
        )

    def _list_whole(self) -> dict[str, messages.Report]:
        """Return the fenced endpoints whose logs hold all they have shown.

        One that has started again without its log is not the member that its
        registry entry still names, so its log is no evidence.
        """
        endpoints = self._group.endpoints
        return {
            name: report
            for name, report in self._fenced.items()
            if name not in endpoints
            or endpoints[name].run.has_kept_log(report)
        }

    async def _complete(
        self, chosen: str, replaced: endpoint_states.EndpointState | None
    ) -> bool:
        """Request the recorded promotion and lift the fences.

        :returns: whether it has taken effect
        """
        has_effect = await self._requests.run(chosen, self._fenced.values())
        if has_effect:
            await self._finish(chosen, replaced)
        else:
            if has_effect is False:
                await self._log.record_end(self._group.name, is_refused=True)
            await self._unfence()
            if has_effect is None:
                # Whoever drives next decides by the record.
                await self._log.is_current(self._group.name)
        return bool(has_effect)

    async def switch_over(
        self,
        primary: endpoint_states.EndpointState,
        target: endpoint_states.EndpointState,
    ) -> bool:
        """Replace a working primary by another endpoint.

        The primary is fenced first, so that it acknowledges no write that
        the target lacks. If the target does not catch up in time, the old
        primary is promoted again.

        :returns: whether the group has a primary in a new term
        """
        group = self._group
        term = promotion.find_next_term(group.list_reports())
        before = await group.inspect(
            target, messages.Inspect(), FENCE_TIMEOUT_SECONDS
        )
        if before is None or before.role is not Role.REPLICA:
            role = before.role if before else None
            self._log_no_switchover(primary, target, "target", role)
            return False
        if not await self._confirm(primary):
            self._log_no_switchover(primary, target, "confirm", before.role)
            return False
        pending = group.pending_promotion
        if pending not in (
            "",
            target.name,
        ) or not await self._log.record_request(group.name, target.name):
            self._log_no_switchover(primary, target, "record", before.role)
            return False
        final = await self._fence(primary, term, as_primary=True)
        if final is None:
            self._log_no_switchover(primary, target, "fence", None)
            await self._log.record_end(group.name, is_refused=True)
            return False
        # The store may have forgotten the record before the fence was set.
        caught_up = await self._wait_caught_up(
            target, final
        ) and await self._log.is_current(group.name)
        chosen = target.name if caught_up else primary.name
        log.info(
            "primary fenced for switchover",
            group=group.name,
            term=term,
            primary=primary.name,
            target=target.name,
            position=str(final.last),
            caught_up=caught_up,
        )
        # Recording the old primary would replace a pending promotion.
        is_recorded = caught_up or (
            not pending and await self._log.record_request(group.name, chosen)
        )
        has_effect = (
            await self._requests.run(chosen, self._fenced.values())
            if is_recorded
            else False
        )
        if has_effect:
            await self._finish(chosen, primary)
            return True
        if has_effect is False:
            await self._log.record_end(group.name, is_refused=True)
        return await self.replace_failed(primary)

    async def _confirm(self, primary: endpoint_states.EndpointState) -> bool:
        """Return whether no later primary has acknowledged a write."""
        checks = self._group.leadership
        return await checks.wait_confirmed(
            checks.begin_check(),
            primary,
            time.monotonic() + FENCE_TIMEOUT_SECONDS,
        )

    def _log_no_switchover(
        self,
        primary: endpoint_states.EndpointState,
        target: endpoint_states.EndpointState,
        step: str,
        role: Role | None,
    ) -> None:
        """Log why a switchover changed nothing.

        :param step: "target" if the target did not report as a replica,
            "confirm" if a later primary may lead, "record" if the promotion
            could not be recorded or another may still take effect, "fence" if
            the primary did not step down
        :param role: role that the target reported, None for no report
        """
        log.warning(
            "switchover changed nothing",
            group=self._group.name,
            primary=primary.name,
            target=target.name,
            step=step,
            role=role,
        )

    def holds_lease(self) -> bool:
        """Return whether a command could be sent under the lease now."""
        return self._promoter.is_in_force(
            self._lease
        ) and promotion.covers_call(
            self._lease, self._clock.now(), FENCE_TIMEOUT_SECONDS
        )

    async def _fence_all(self, term: int, primary: str) -> None:
        unfenced = [
            endpoint
            for endpoint in self._group.endpoints.values()
            if endpoint.name not in self._fenced
        ]
        fences = [
            asyncio.create_task(
                self._fence(endpoint, term, endpoint.name == primary)
            )
            for endpoint in unfenced
        ]
        # Wait only briefly for a failed primary once all others are fenced.
        waiting = set(fences)
        while waiting:
            done, waiting = await asyncio.wait(
                waiting, return_when=asyncio.FIRST_COMPLETED
            )
            others = self._group.endpoints.keys() - {primary}
            if others and others <= self._fenced.keys():
                await asyncio.wait(waiting or done, timeout=POLL_SECONDS)
                break

    async def _fence(
        self,
        endpoint: endpoint_states.EndpointState,
        term: int,
        as_primary: bool,
    ) -> messages.Report | None:
        if not self.holds_lease():
            return None
        known = endpoint.report
        led_term = 0
        if as_primary and known is not None and known.role is Role.PRIMARY:
            led_term = known.term
        report = await self._group.inspect(
            endpoint, messages.Fence(term, as_primary), FENCE_TIMEOUT_SECONDS
        )
        if report is None or not promotion.counts_as_fenced(
            report, term, led_term
        ):
            return None
        self._fenced[endpoint.name] = report
        return report

    async def _wait_caught_up(
        self, target: endpoint_states.EndpointState, final: messages.Report
    ) -> bool:
        until = time.monotonic() + CATCH_UP_TIMEOUT_SECONDS
        while time.monotonic() < until:
            report = await self._group.inspect(
                target, messages.Inspect(), FENCE_TIMEOUT_SECONDS
            )
            if report is not None and report.term > final.term:
                # A later term has begun, so the fenced primary was outdated.
                return False
            if report is not None and promotion_order.make_log_key(
                report
            ) >= promotion_order.make_log_key(final):
                return True
            await asyncio.sleep(POLL_SECONDS)
        return False

    async def _finish(
        self, chosen: str, replaced: endpoint_states.EndpointState | None
    ) -> None:
        """Make the replaced primary step down, then lift all fences."""
        group = self._group
        log.info(
            "primary replaced",
            group=group.name,
            primary=chosen,
            before=replaced.name if replaced else None,
            term=group.term,
        )
        group.clear_stall()
        if replaced is not None and replaced.name != chosen:
            await self._fence(replaced, group.term, as_primary=True)
        self._fenced.pop(chosen, None)
        await self._unfence()
        await self._log.record_end(group.name)

    async def _unfence(self) -> None:
        """Lift the fences that this takeover set.

        While a promotion may still take effect, its endpoint alone may
        receive writes: any other could hold one that it lacks. Without the
        lease, all is left to the next driver.
        """
        is_lifted = self.holds_lease()
        concerned = {
            name: report
            for name, report in self._fenced.items()
            if not is_lifted or self._group.pending_promotion in ("", name)
        }
        log.info(
            "fences lifted" if is_lifted else "fences left in place",
            group=self._group.name,
            term=self._group.term,
            token=self._lease.token,
            fenced=events.describe_reports(concerned.values()),
        )
        if not is_lifted:
            return
        fenced = [
            endpoint
            for name, endpoint in self._group.endpoints.items()
            if name in concerned
        ]
        await asyncio.gather(
            *(
                self._group.inspect(
                    endpoint, messages.Unfence(), FENCE_TIMEOUT_SECONDS
                )
                for endpoint in fenced
            )
        )
