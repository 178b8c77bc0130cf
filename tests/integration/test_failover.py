"""Tests of failover with daemons and endpoints inside one process."""

import asyncio
import time

import pytest

from fescuestile import endpoint_messages
from fescuestile import errors
from fescuestile_client import options as client_options
from tests import endpoint_groups
from tests import fleets

Role = endpoint_messages.Role
FAILOVER_SECONDS = 9.0
PATIENT_SECONDS = 60.0


@pytest.fixture
async def group():
    async with endpoint_groups.serve_group() as group:
        yield group


@pytest.fixture
async def daemons(group):
    plan = fleets.build_group_plan(group)
    async with fleets.serve_daemons(3, plan) as daemons:
        await endpoint_groups.wait_until(lambda: are_ready(daemons))
        yield daemons


def are_ready(daemons):
    """Return whether all daemons know the group.

    Daemons that watch the group must also know its primary.
    """
    snapshots = [each.group_snapshots.get(fleets.DATABASE) for each in daemons]
    watching = [
        snapshot
        for each, snapshot in zip(daemons, snapshots, strict=True)
        if fleets.DATABASE in each.owner.groups
    ]
    return all(snapshots) and watching and all(s.primary for s in watching)


async def write(session, text, limit=FAILOVER_SECONDS):
    """Repeat a write with new request ids until it is acknowledged."""
    deadline = time.monotonic() + limit
    while True:
        try:
            return await session.execute(
                fleets.DATABASE, "fault-report", text, timeout=1.0
            )
        except errors.FescuestileError:
            assert time.monotonic() < deadline, (
                f"no write acknowledged in {limit} s"
            )


@pytest.mark.invariant_2
async def test_a_failed_primary_is_replaced_without_losing_writes(
    group, daemons
):
    async with fleets.open_session(daemons[0]) as session:
        first = await write(session, "PUT before yes")
        await group["one"].close()
        second = await write(session, "PUT after yes")
        assert second.position.term > first.position.term
        read = await session.execute(
            fleets.DATABASE, "dispatch", "GET before", read_only=True
        )
        assert read.payload == b"yes"


@pytest.mark.invariant_2
async def test_a_switchover_moves_the_primary_to_its_target(group, daemons):
    async with fleets.open_session(daemons[0]) as session:
        await write(session, "PUT before yes")
        for daemon in daemons:
            target = (
                "two"
                if group["three"].state.role is Role.PRIMARY
                else ("three")
            )
            done = await daemon.switchovers.switch_over_with_retries(
                fleets.DATABASE, target, "change-1"
            )
            assert done.is_ok(), done
            assert done.ok.primary == target
            assert group[target].state.role is Role.PRIMARY
            await write(session, "PUT after yes")
        read = await session.execute(
            fleets.DATABASE, "dispatch", "GET before", read_only=True
        )
        assert read.payload == b"yes"


async def test_a_switchover_to_an_unknown_endpoint_is_refused(daemons):
    refused = await daemons[0].switchovers.switch_over_with_retries(
        fleets.DATABASE, "four", "change-1"
    )
    assert isinstance(refused.error, errors.NotRun)
    assert refused.error.field == "target"


@pytest.mark.invariant_2
async def test_a_restarted_endpoint_votes_once_it_has_caught_up(
    group, daemons
):
    async with fleets.open_session(daemons[0]) as session:
        await write(session, "PUT before yes")
        address = group["two"].address
        await group["two"].close()
        peers = {n: group[n].address for n in ("one", "three")}
        async with endpoint_groups.serve(
            name="two",
            address=address,
            primary="",
            peers=peers,
            quarantine_seconds=0.5,
        ) as restarted:
            assert restarted.report(0).role is Role.REJOINING
            await endpoint_groups.wait_until(
                lambda: restarted.report(0).role is Role.REPLICA
            )
            await group["one"].close()
            await write(session, "PUT after yes")
            read = await session.execute(
                fleets.DATABASE, "dispatch", "GET before", read_only=True
            )
            assert read.payload == b"yes"


@pytest.mark.invariant_2
async def test_a_write_that_no_majority_holds_is_not_acknowledged(
    group, daemons
):
    async with fleets.open_session(daemons[0]) as session:
        await write(session, "PUT before yes")
        await asyncio.gather(group["two"].close(), group["three"].close())
        with pytest.raises(errors.UnknownOutcome):
            await session.execute(
                fleets.DATABASE,
                "fault-report",
                "PUT after yes",
                repeatable=False,
                timeout=1.0,
            )


@pytest.mark.invariant_5
async def test_a_write_that_a_failover_drops_runs_at_the_new_primary(group):
    """Only the old primary held it, so it did not run and is sent again."""
    plan = fleets.build_group_plan(group)
    patient = {"confirm_timeout": f"{PATIENT_SECONDS}s"}
    options = client_options.SessionOptions(settle_unknown=False)
    async with fleets.serve_daemons(1, plan, timing=patient) as daemons:
        await endpoint_groups.wait_until(lambda: are_ready(daemons))
        async with fleets.open_session(daemons[0], options=options) as session:
            before = group["one"].state.log.last
            for name in ("two", "three"):
                group[name].replication_client.stop()
            answer = await session.execute(
                fleets.DATABASE,
                "fault-report",
                "ADD reports 1",
                repeatable=False,
                timeout=PATIENT_SECONDS,
            )
    assert answer.position.term > before.term
    assert (answer.payload, answer.repeated) == (b"1", False)
