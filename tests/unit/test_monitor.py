"""When a primary is replaced, by what its group showed."""

import asyncio
import random
import time

import pytest

from fescuestile import clock
from fescuestile import endpoint_messages
from fescuestile_daemon.relay import directory
from fescuestile_daemon.relay import groups
from fescuestile_daemon.relay import messages
from fescuestile_daemon.relay import monitor
from fescuestile_daemon.relay import options
from fescuestile_daemon.relay import ports
from tests import builders

Role = endpoint_messages.Role
Reason = monitor.Reason
NAMES = ("p", "r1", "r2")


class NoDialer(ports.Dialer):
    async def dial(self, entry):
        return messages.Outcome(messages.Kind.LOST, detail="no network")


class NoPromoter(ports.Promoter):
    async def acquire(self):
        return None

    async def release(self, lease):
        pass

    async def promote(self, group, endpoint, lease):
        return None


def make_entry(name, leaving=False):
    return messages.EndpointEntry(
        name, "g", "127.0.0.1:1", "a", 2, leaving, name == "p", 0
    )


@pytest.fixture
def group():
    made = groups.Group(
        "g", NoDialer(), options.RelayOptions(), clock.BootClock()
    )
    for name in NAMES:
        made.put_member(make_entry(name), 4).has_answered = True
    return made


@pytest.fixture
def watch():
    relay_options = options.RelayOptions()
    boot_clock = clock.BootClock()
    return monitor.Monitor(
        directory.Directory(NoDialer(), relay_options, boot_clock),
        NoPromoter(),
        relay_options,
        boot_clock,
        random.Random(1),
    )


def report(group, name, index, ago=0.0, role=Role.REPLICA, term=1):
    """Take a report that was asked for so many seconds ago."""
    group._apply_report(
        group.members[name],
        builders.build_log_report(name, index, role, term),
        time.monotonic() - ago,
    )


def stall(group, seconds):
    """Let the primary hold what no replica has received for a while."""
    report(group, "r1", 5, ago=seconds + 0.1)
    report(group, "r2", 5, ago=seconds + 0.1)
    report(group, "p", 7, ago=seconds, role=Role.PRIMARY)
    group.stalled_since = time.monotonic() - seconds


def find(watch, group, unpaused=60.0):
    return watch._find_reason(group, time.monotonic(), unpaused)


async def test_nothing_is_done_about_a_group_that_works(group, watch):
    report(group, "p", 7, role=Role.PRIMARY)
    report(group, "r1", 7)
    assert find(watch, group) is None


async def test_a_primary_that_its_replicas_do_not_follow(group, watch):
    stall(group, 1.5)
    report(group, "r1", 5)
    report(group, "r2", 5)
    assert find(watch, group) is Reason.NO_COMMITS


async def test_replicas_that_were_not_asked_again_prove_no_stall(group, watch):
    stall(group, 1.5)
    assert find(watch, group) is None


async def test_replicas_fenced_by_another_driver_prove_no_stall(group, watch):
    stall(group, 1.5)
    report(group, "r1", 5, role=Role.FENCED, term=2)
    report(group, "r2", 5, role=Role.FENCED, term=2)
    assert find(watch, group) is None


async def test_a_replica_that_follows_ends_the_stall(group, watch):
    stall(group, 1.5)
    report(group, "r1", 7)
    report(group, "r2", 5)
    assert find(watch, group) is None


async def test_an_open_question_is_silence(group, watch):
    report(group, "p", 7, role=Role.PRIMARY)
    group.members["p"].waiting_since = time.monotonic() - 1.1
    assert find(watch, group) is Reason.SILENT


async def test_no_question_is_no_silence(group, watch):
    report(group, "p", 7, ago=2.5, role=Role.PRIMARY)
    group.members["p"].answered_at -= 60
    assert find(watch, group) is None


async def test_a_daemon_that_reaches_nobody_blames_nobody(group, watch):
    report(group, "p", 7, role=Role.PRIMARY)
    for name in NAMES:
        group.members[name].waiting_since = time.monotonic() - 1.1
    assert find(watch, group) is None


async def test_a_refused_connection_is_proof_sooner(group, watch):
    report(group, "p", 7, role=Role.PRIMARY)
    refusal = messages.Outcome(messages.Kind.LOST, refused=True)
    group.members["p"].note_dialled(refusal)
    assert find(watch, group) is None
    group.members["p"].refused_since -= 0.7
    assert find(watch, group) is Reason.SILENT


async def test_a_leaving_primary_is_handed_over(group, watch):
    report(group, "p", 7, role=Role.PRIMARY)
    report(group, "r1", 7)
    group.put_member(make_entry("p", leaving=True), 4)
    assert find(watch, group) is Reason.LEAVING


async def test_a_primary_that_never_answered_is_left_alone(group, watch):
    report(group, "p", 7, role=Role.PRIMARY)
    group.members["p"].has_answered = False
    group.members["p"].waiting_since = time.monotonic() - 9.0
    assert find(watch, group) is None


def test_a_later_primary_is_not_blamed_for_the_stall_of_the_one_before(group):
    stall(group, 1.5)
    report(group, "r1", 6, role=Role.PRIMARY, term=2)
    report(group, "r2", 5, term=2)
    report(group, "p", 5, term=2)
    assert not group.is_stalled(time.monotonic(), unpaused=60.0)


class SlowPromoter(NoPromoter):
    """Its store answers nothing."""

    def __init__(self):
        self.asked = 0

    async def acquire(self):
        self.asked += 1
        await asyncio.sleep(3600)


def make_watch(group, promoter):
    relay_options = options.RelayOptions()
    boot_clock = clock.BootClock()
    held = directory.Directory(NoDialer(), relay_options, boot_clock)
    held.groups[group.name] = group
    return monitor.Monitor(
        held, promoter, relay_options, boot_clock, random.Random(1)
    )


async def fail_primary(group, watch):
    """Let the primary be silent while the others answer, and look."""
    watch._check_groups()
    await asyncio.sleep(0.25)
    for endpoint in group.members.values():
        endpoint.restart_silence()
    report(group, "p", 5, role=Role.PRIMARY)
    group.members["p"].waiting_since = time.monotonic() - 1.5
    watch._check_groups()
    await asyncio.sleep(0.25)


async def test_a_replacement_that_hangs_holds_no_stop_up(group):
    promoter = SlowPromoter()
    watch = make_watch(group, promoter)
    await fail_primary(group, watch)
    assert promoter.asked == 1
    began = time.monotonic()
    await watch.close(0.2)
    assert time.monotonic() - began < 0.5


async def test_a_stopping_daemon_begins_no_replacement(group):
    promoter = SlowPromoter()
    watch = make_watch(group, promoter)
    watch.stop_takeovers()
    await fail_primary(group, watch)
    assert promoter.asked == 0
    await watch.close(0.0)
