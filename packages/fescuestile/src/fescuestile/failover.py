"""State machine of a failover: fence, choose, promote, follow, publish.

A transition maps the driver's state, an event and the time to the next
state and the actions to carry out. Every action may be repeated. Endpoints
refuse the commands of a driver that was paused if its term has been
superseded. When a driver stops in the middle, any other daemon repeats the
failover under a higher term.
"""

import dataclasses
import random
import types
import typing

from fescuestile import endpoint_messages
from fescuestile import failover_steps as steps
from fescuestile import plans
from fescuestile import promotion_order

# Times the driver's index.
START_DELAY_SECONDS = 0.3
MAX_JITTER_SECONDS = 0.1
RESEND_INTERVAL_SECONDS = 0.15
STEP_TIMEOUT_SECONDS = 0.6
REFUSED_FENCE_TIMEOUT_SECONDS = 0.15
GRANT_WAIT_SECONDS = 0.1
# A switchover waits for its target's grant for most of the step timeout,
# since writes are stopped meanwhile and the operator chose the target.
TARGET_GRANT_WAIT_SECONDS = 0.5
RETRY_SECONDS = 0.3
FOLLOW_TIMEOUT_SECONDS = 1.0
CATCH_UP_TIMEOUT_SECONDS = 5.0
# Grants older than this are not used. An endpoint that lost its promises
# counts again only after this time and the time in which endpoints accept a
# promotion have passed.
GRANT_LIFETIME_SECONDS = 2.0

Verdict = endpoint_messages.Verdict
Role = endpoint_messages.Role
Report = endpoint_messages.Report


class FailoverRules:
    """Transitions of the drivers of one group.

    :ivar plan: the group's plan
    :ivar leaving: endpoints that accept no new work
    """

    def __init__(self, plan: plans.Plan, source: random.Random) -> None:
        """Initialize with the group's plan and a source of jitter."""
        self.plan = plan
        self.leaving: frozenset[str] = frozenset()
        self._random = source

    def advance(
        self, driver: steps.Driver, event: steps.Event, now: float
    ) -> steps.Transition:
        """Return the next state and the actions to carry out.

        :param now: monotonic seconds
        """
        match event:
            case steps.PrimarySuspected():
                return self._on_primary_suspected(driver, event, now)
            case steps.SuspicionCleared():
                return self._on_suspicion_cleared(driver)
            case steps.SwitchoverRequested():
                return self._on_switchover_requested(driver, event, now)
            case steps.TargetCaughtUp():
                return self._on_target_caught_up(driver, now)
            case steps.ReportReceived():
                return self._on_report(driver, event.report, now)
            case steps.FenceReplied():
                return self._on_fence_reply(driver, event, now)
            case steps.PromoteReplied():
                return self._on_promote_reply(driver, event, now)
            case steps.FollowReplied():
                return self._on_follow_reply(driver, event)
            case steps.Ticked():
                return self._on_tick(driver, now)

    def _on_primary_suspected(
        self, driver: steps.Driver, event: steps.PrimarySuspected, now: float
    ) -> steps.Transition:
        if driver.step is not steps.Step.IDLE:
            return driver, ()
        jitter = self._random.uniform(0, MAX_JITTER_SECONDS)
        wait = event.driver_index * START_DELAY_SECONDS + jitter
        driver = dataclasses.replace(driver, failed_primary=event.primary)
        return self._start_waiting(driver, wait, now), ()

    def _start_waiting(
        self, driver: steps.Driver, wait: float, now: float
    ) -> steps.Driver:
        return dataclasses.replace(
            driver, step=steps.Step.WAITING, started_at=now, wait=wait
        )

    def _on_suspicion_cleared(self, driver: steps.Driver) -> steps.Transition:
        if driver.step is not steps.Step.WAITING:
            return driver, ()
        return _reset_to_idle(driver), ()

    def _on_switchover_requested(
        self,
        driver: steps.Driver,
        event: steps.SwitchoverRequested,
        now: float,
    ) -> steps.Transition:
        if driver.step not in (steps.Step.IDLE, steps.Step.WAITING):
            refusal = steps.Abandon(
                driver.term, "a failover is under way", target=event.target
            )
            return driver, (refusal,)
        return (
            dataclasses.replace(
                driver,
                step=steps.Step.CATCHING_UP,
                target=event.target,
                started_at=now,
                wait=CATCH_UP_TIMEOUT_SECONDS,
            ),
            (),
        )

    def _on_target_caught_up(
        self, driver: steps.Driver, now: float
    ) -> steps.Transition:
        if driver.step is not steps.Step.CATCHING_UP:
            return driver, ()
        return self.start_fencing(driver, now)

    def _on_report(
        self, driver: steps.Driver, report: Report, now: float
    ) -> steps.Transition:
        if report.term <= driver.highest:
            return driver, ()
        driver = dataclasses.replace(driver, highest=report.term)
        if driver.step is steps.Step.WAITING:
            wait = RETRY_SECONDS + self._random.uniform(0, MAX_JITTER_SECONDS)
            return self._start_waiting(driver, wait, now), ()
        if driver.step in (
            steps.Step.FENCING,
            steps.Step.PROMOTING,
            steps.Step.FOLLOWING,
        ):
            return self._abandon(driver, "a higher term was promised", now)
        return driver, ()

    def start_fencing(
        self, driver: steps.Driver, now: float
    ) -> steps.Transition:
        """Choose the next term and request its promise of all endpoints."""
        term = driver.highest + 1
        driver = dataclasses.replace(
            driver,
            step=steps.Step.FENCING,
            term=term,
            highest=term,
            grants=types.MappingProxyType({}),
            fence_refused=False,
            chosen="",
            followers=frozenset(),
            started_at=now,
            sent_at=now,
        )
        return driver, self._list_commands(driver)

    def _on_fence_reply(
        self, driver: steps.Driver, event: steps.FenceReplied, now: float
    ) -> steps.Transition:
        report = event.report
        if driver.step is not steps.Step.FENCING or event.term != driver.term:
            return driver, ()
        if report.verdict is not Verdict.DONE:
            driver = dataclasses.replace(driver, fence_refused=True)
            return self._on_report(driver, report, now)
        grants = {**driver.grants, report.endpoint: report}
        driver = dataclasses.replace(
            driver, grants=types.MappingProxyType(grants)
        )
        if not self._is_fenced(driver) or self._may_improve_choice(driver):
            return driver, ()
        return self._promote(driver, now)

    def _promote(self, driver: steps.Driver, now: float) -> steps.Transition:
        if now - driver.started_at > GRANT_LIFETIME_SECONDS:
            return self._abandon(driver, "the grants have expired", now)
        driver = dataclasses.replace(
            driver,
            step=steps.Step.PROMOTING,
            chosen=self._choose(driver),
            started_at=now,
            sent_at=now,
        )
        return driver, self._list_commands(driver)

    def _choose(self, driver: steps.Driver) -> str:
        return promotion_order.choose_endpoint(
            self.plan,
            driver.grants,
            driver.target,
            driver.failed_primary,
            self.leaving,
        )

    def _may_improve_choice(self, driver: steps.Driver) -> bool:
        """Return whether a further grant may lead to a better choice."""
        if len(driver.grants) >= len(self.plan.endpoints):
            return False
        chosen = self._choose(driver)
        if driver.target:
            return chosen != driver.target
        return chosen in self.leaving or (
            bool(driver.failed_primary)
            and driver.failed_primary in driver.grants
        )

    def _may_promote(self, driver: steps.Driver) -> bool:
        fencing = driver.step is steps.Step.FENCING
        return fencing and self._is_fenced(driver)

    def _is_fenced(self, driver: steps.Driver) -> bool:
        known = self.plan.endpoint_by_name
        return len(driver.grants.keys() & known.keys()) >= self.plan.majority

    def _on_promote_reply(
        self, driver: steps.Driver, event: steps.PromoteReplied, now: float
    ) -> steps.Transition:
        if (
            driver.step is not steps.Step.PROMOTING
            or event.term != driver.term
        ):
            return driver, ()
        if event.report.verdict is not Verdict.DONE:
            return self._abandon(driver, "the promotion was refused", now)
        driver = dataclasses.replace(
            driver, step=steps.Step.FOLLOWING, started_at=now, sent_at=now
        )
        published = steps.Publish(driver.term, driver.chosen, driver.target)
        return driver, (published, *self._list_commands(driver))

    def _on_follow_reply(
        self, driver: steps.Driver, event: steps.FollowReplied
    ) -> steps.Transition:
        if (
            driver.step is not steps.Step.FOLLOWING
            or event.term != driver.term
        ):
            return driver, ()
        if event.report.verdict is not Verdict.DONE:
            return driver, ()
        followers = driver.followers | {event.report.endpoint}
        driver = dataclasses.replace(driver, followers=followers)
        if self._list_commands(driver):
            return driver, ()
        return _reset_to_idle(driver), ()

    def _on_tick(self, driver: steps.Driver, now: float) -> steps.Transition:
        elapsed = now - driver.started_at
        match driver.step:
            case steps.Step.IDLE:
                return driver, ()
            case steps.Step.WAITING:
                if elapsed >= driver.wait:
                    return self.start_fencing(driver, now)
                return driver, ()
            case steps.Step.CATCHING_UP:
                if elapsed >= driver.wait:
                    return self._abandon(
                        driver, "the target did not catch up in time", now
                    )
                return driver, ()
            case steps.Step.FOLLOWING:
                if elapsed >= FOLLOW_TIMEOUT_SECONDS:
                    return _reset_to_idle(driver), ()
            case steps.Step.FENCING | steps.Step.PROMOTING:
                late = elapsed >= _find_grant_wait(driver)
                if late and self._may_promote(driver):
                    return self._promote(driver, now)
                if elapsed >= _find_timeout(driver):
                    reason = f"{driver.step} timed out"
                    return self._abandon(driver, reason, now)
        if now - driver.sent_at < RESEND_INTERVAL_SECONDS:
            return driver, ()
        driver = dataclasses.replace(driver, sent_at=now)
        return driver, self._list_commands(driver)

    def _abandon(
        self, driver: steps.Driver, reason: str, now: float
    ) -> steps.Transition:
        """End the attempt; a failover is retried under a higher term."""
        in_doubt = driver.step is steps.Step.PROMOTING
        action = steps.Abandon(driver.term, reason, in_doubt, driver.target)
        if driver.target:
            return _reset_to_idle(driver), (action,)
        wait = RETRY_SECONDS + self._random.uniform(0, RETRY_SECONDS)
        return self._start_waiting(driver, wait, now), (action,)

    def _list_commands(self, driver: steps.Driver) -> tuple[steps.Action, ...]:
        """Return the commands of the step that have no reply yet."""
        names = self.plan.endpoint_by_name
        term = driver.term
        if driver.step is steps.Step.FENCING:
            return tuple(
                steps.SendFence(name, term, self.plan.endpoints_revision)
                for name in names
                if name not in driver.grants
            )
        if driver.step is steps.Step.PROMOTING:
            return (steps.SendPromote(driver.chosen, term),)
        return tuple(
            steps.SendFollow(name, term, driver.chosen)
            for name in names
            if name != driver.chosen and name not in driver.followers
        )


def _find_grant_wait(driver: steps.Driver) -> float:
    """Return the seconds to wait for better grants beyond a majority."""
    if driver.target and driver.target not in driver.grants:
        return TARGET_GRANT_WAIT_SECONDS
    return GRANT_WAIT_SECONDS


def _find_timeout(driver: steps.Driver) -> float:
    """Return the timeout of the step; it is short if two drivers compete."""
    if driver.step is steps.Step.FENCING and driver.fence_refused:
        return REFUSED_FENCE_TIMEOUT_SECONDS
    return STEP_TIMEOUT_SECONDS


def _reset_to_idle(driver: steps.Driver) -> steps.Driver:
    return dataclasses.replace(
        driver, step=steps.Step.IDLE, target="", failed_primary="", chosen=""
    )


def has_caught_up(primary: Report, target: Report) -> bool:
    """Return whether the target's log covers the primary's log."""
    return target.role is Role.REPLICA and target.history.covers(primary.last)


def find_missing_follows(
    plan: plans.Plan, reports: typing.Mapping[str, Report]
) -> tuple[steps.SendFollow, ...]:
    """Return follow commands for endpoints that do not follow the primary.

    These are an old primary that came back and endpoints that were
    unreachable during the failover. None are returned while an endpoint
    has promised a higher term: a failover may be under way.

    :param reports: latest report of each endpoint, by name
    """
    primaries = [r for r in reports.values() if r.role is Role.PRIMARY]
    if not primaries:
        return ()
    primary = max(primaries, key=_find_term)
    if any(report.term > primary.term for report in reports.values()):
        return ()
    return tuple(
        steps.SendFollow(name, primary.term, primary.endpoint)
        for name, report in reports.items()
        if name in plan.endpoint_by_name
        and name != primary.endpoint
        and (report.term, report.primary) != (primary.term, primary.endpoint)
    )


def find_missing_record(
    plan: plans.Plan, reports: typing.Mapping[str, Report]
) -> tuple[steps.SendRecord, ...]:
    """Return a command for the primary if its log lacks the plan's endpoints.

    :param reports: latest report of each endpoint, by name
    """
    primaries = [r for r in reports.values() if r.role is Role.PRIMARY]
    primary = max(primaries, key=_find_term, default=None)
    revision = plan.endpoints_revision
    if primary is None or primary.revision >= revision:
        return ()
    return (steps.SendRecord(primary.endpoint, primary.term, revision),)


def _find_term(report: Report) -> int:
    return report.term
