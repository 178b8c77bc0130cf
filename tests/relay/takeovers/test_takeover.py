"""Tests of single takeovers against simulated endpoints."""

import asyncio
import dataclasses
import time

import pytest
import structlog

from fescuestile import clock
from fescuestile import endpoint_messages
from fescuestile import group_members
from fescuestile import pending_promotions
from fescuestile import promotion
from fescuestile_daemon.relay.core import messages
from fescuestile_daemon.relay.core import ports
from fescuestile_daemon.relay.takeovers import promotion_requests
from fescuestile_daemon.relay.takeovers import takeover
from tests import fences

Role = endpoint_messages.Role
NAMES = ("p", "r1", "r2")

LEASE_SECONDS = 60.0


class World(fences.Dialer, ports.Promoter):
    """A group of three endpoints and its promoter."""

    def __init__(self):
        self.endpoints = {
            name: fences.Endpoint(name, log=[(1, 5)]) for name in NAMES
        }
        self.endpoints["p"].role = Role.PRIMARY
        self.promoted: list[str] = []
        self.sends_requests = True
        self.accepts_requests: bool | None = True
        self.takes_effect = True
        self.time_source: clock.Clock = clock.BootClock()
        self.group = fences.make_group(self)

    async def delay(self, endpoint):
        await asyncio.sleep(0 if endpoint.reachable else 3600)

    async def acquire(self):
        return promotion.Lease("d", 1, self.time_source.now() + LEASE_SECONDS)

    async def release(self, lease):
        pass

    async def promote(self, group, endpoint, lease):
        if not self.sends_requests:
            return False
        self.promoted.append(endpoint)
        if self.takes_effect:
            self.make_primary(endpoint)
        return self.accepts_requests

    def make_primary(self, name):
        """Make an endpoint the primary of the next term with its own log."""
        term = max(e.term for e in self.endpoints.values()) + 1
        for each in self.endpoints.values():
            if each.name == name:
                each.role, each.term, each.fence_term = Role.PRIMARY, term, 0
            elif each.role is Role.REPLICA and each.reachable:
                each.term, each.fence_term = term, 0

    def mark_leaving(self, name):
        entry = self.group.endpoints[name].entry
        self.group.put_endpoint(dataclasses.replace(entry, leaving=True), 4)

    async def inspect_all(self):
        for endpoint in self.group.endpoints.values():
            await self.group.inspect(endpoint, messages.Inspect(), 0.05)

    async def make_takeover(self):
        return takeover.Takeover(
            self.group,
            self,
            fences.LocalLog(self.group),
            await self.acquire(),
            self.time_source,
        )

    async def replace(self, name="p"):
        replacement = await self.make_takeover()
        return await replacement.replace_failed(self.group.endpoints[name])


class LeaseEndClock(clock.Clock):
    """Stands still until a promotion is requested, then ends the lease."""

    def __init__(self, world):
        self._world = world

    def now(self):
        return LEASE_SECONDS if self._world.promoted else 0.0


@pytest.fixture
def world():
    return World()


async def test_a_failed_primary_is_replaced_by_the_longest_log(world):
    await world.inspect_all()
    world.endpoints["p"].reachable = False
    world.endpoints["r2"].log.append((1, 6))
    assert await world.replace()
    assert world.promoted == ["r2"]


async def test_failover_prefers_an_endpoint_that_stays(world):
    """Guards against work at an endpoint that was promoted while leaving.

    Both replicas hold the same log.
    """
    await world.inspect_all()
    world.mark_leaving("r2")
    world.endpoints["p"].reachable = False
    assert await world.replace()
    assert world.promoted == ["r1"]


async def test_the_longest_log_is_promoted_even_if_it_leaves(world):
    """Guards against losing a write that only a leaving endpoint holds."""
    await world.inspect_all()
    world.mark_leaving("r2")
    world.endpoints["p"].reachable = False
    world.endpoints["r2"].log.append((1, 6))
    assert await world.replace()
    assert world.promoted == ["r2"]


async def test_a_driver_with_an_outdated_term_promotes_nobody(world):
    """Another takeover ended first; its primary acknowledged a write."""
    await world.inspect_all()
    world.make_primary("r1")
    world.endpoints["r1"].log.append((2, 7))
    assert not await world.replace()
    assert world.promoted == []
    assert not any(each.fence_term for each in world.endpoints.values())


async def test_a_replica_that_refuses_the_fence_does_not_count(world):
    """The later primary is unreachable, its replica is not."""
    await world.inspect_all()
    world.make_primary("r1")
    world.endpoints["r1"].log.append((2, 7))
    world.endpoints["r1"].reachable = False
    assert not await world.replace()
    assert world.promoted == []


async def test_a_demoted_primary_does_not_count_as_fenced(world):
    """Both the later primary and its replica are unreachable."""
    await world.inspect_all()
    world.make_primary("r1")
    world.endpoints["p"].role = Role.REPLICA
    world.endpoints["p"].term = 2
    world.endpoints["r1"].reachable = False
    world.endpoints["r2"].reachable = False
    assert not await world.replace()
    assert world.promoted == []


async def test_no_endpoint_is_fenced_while_absent_members_rule_a_choice_out(
    world,
):
    """Guards against a group that loses a primary which others reach."""
    await world.inspect_all()
    now = time.monotonic()
    for name in ("r3", "r4"):
        world.group.members.add(group_members.Member(name, 0), now)
        world.group.members.remove(name, now, has_left=False)
    world.endpoints["p"].log.append((1, 6))
    assert not await world.replace()
    assert world.endpoints["p"].role is Role.PRIMARY


async def test_no_fence_is_left_when_no_promotion_could_be_requested(world):
    """Guards against a chosen endpoint that stays fenced."""
    await world.inspect_all()
    world.endpoints["p"].reachable = False
    world.sends_requests = False
    assert not await world.replace()
    assert not any(each.fence_term for each in world.endpoints.values())


@pytest.fixture
def brief_timeout(monkeypatch):
    monkeypatch.setattr(promotion_requests, "PROMOTION_TIMEOUT_SECONDS", 0.1)


async def replace_logged(world):
    """Replace the primary by r2 and return the log lines."""
    await world.inspect_all()
    world.endpoints["r2"].log.append((1, 6))
    world.endpoints["p"].reachable = False
    with structlog.testing.capture_logs() as lines:
        await world.replace()
    return {line["event"]: line for line in lines}


@pytest.mark.parametrize("accepted", [True, None])
@pytest.mark.usefixtures("brief_timeout")
async def test_a_promotion_that_takes_no_effect_is_logged(world, accepted):
    world.takes_effect = False
    world.accepts_requests = accepted
    lines = await replace_logged(world)
    line = lines["promotion has not taken effect"]
    assert (line["group"], line["endpoint"]) == ("g", "r2")
    assert (line["term"], line["token"]) == (2, 1)
    assert line["accepted"] is accepted
    assert line["seconds"] >= 0.1
    assert line["fenced"].keys() == {"r1", "r2"}
    assert lines["fences lifted"]["fenced"].keys() == {"r2"}
    assert world.endpoints["r1"].fence_term
    assert not world.endpoints["r2"].fence_term


async def test_a_refused_promotion_can_not_take_effect_later(world):
    world.sends_requests = False
    lines = await replace_logged(world)
    assert "promotion has not taken effect" not in lines
    assert lines["fences lifted"]["fenced"].keys() == {"r1", "r2"}


async def test_a_promotion_is_logged_with_the_fences_that_it_ends(world):
    lines = await replace_logged(world)
    line = lines["endpoint leads a new term"]
    assert (line["endpoint"], line["term"], line["led_term"]) == ("r2", 2, 1)
    assert 0 <= line["requested_seconds"] < 60
    assert lines["fences lifted"]["fenced"].keys() == {"r1"}
    assert "promotion has not taken effect" not in lines


@pytest.mark.usefixtures("brief_timeout")
async def test_fences_that_outlive_the_lease_are_logged(world):
    world.takes_effect = False
    world.time_source = LeaseEndClock(world)
    line = (await replace_logged(world))["fences left in place"]
    assert (line["group"], line["term"], line["token"]) == ("g", 2, 1)
    assert line["fenced"].keys() == {"r1", "r2"}


@pytest.mark.parametrize("is_fenced", [False, True])
async def test_a_switchover_replaces_no_pending_promotion(world, is_fenced):
    """Guards against LOST: the promotion of its target takes effect later.

    The target does not catch up, so the old primary would be promoted again;
    its record replaces that of the pending promotion.
    """
    await world.inspect_all()
    world.group.promotions.put(
        pending_promotions.PendingPromotion("r1", 1, "x"), time.monotonic()
    )
    world.endpoints["p"].log.append((1, 6))
    world.endpoints["r2"].fence_term = 2 if is_fenced else 0
    replacement = await world.make_takeover()
    endpoints = world.group.endpoints
    await replacement.switch_over(endpoints["p"], endpoints["r1"])
    assert "p" not in world.promoted
