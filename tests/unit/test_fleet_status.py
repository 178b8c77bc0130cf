"""What a daemon tells operators about the fleet."""

import asyncio
import unittest.mock

from fescuestile import clock
from fescuestile import groups
from fescuestile import members
from fescuestile_daemon import fleet_status
from fescuestile_daemon import published
from fescuestile_daemon import snapshot_store
from tests import builders

DATABASE = "werkstatt-db"


def make_status(group_snapshots):
    """Return the fleet status of a daemon without others."""
    own = builders.build_member()
    return fleet_status.FleetStatus(
        published.Published(members.MembershipSnapshot(own, (own,))),
        group_snapshots,
        unittest.mock.Mock(),
        clock.ManualClock(),
        unittest.mock.Mock(),
    )


async def list_revisions(status):
    """Return the revisions that the daemon reports to be in force."""
    (daemon,) = await status.list_daemons("")
    return dict(daemon.revisions)


async def test_a_plan_that_callers_cannot_use_yet_is_not_in_force():
    """Guards against "unknown database" after a declaration is answered.

    The callers' snapshot of the group is published by another actor.
    """
    group_snapshots = snapshot_store.SnapshotStore(asyncio.get_running_loop())
    first = builders.build_revision(1)
    second = builders.build_revision(2)
    status = make_status(group_snapshots)
    assert await list_revisions(status) == {}
    tracker = groups.GroupTracker(first)
    group_snapshots.publish(tracker.take_snapshot())
    assert await list_revisions(status) == {DATABASE: 1}
    tracker.set_revision(second)
    group_snapshots.publish(tracker.take_snapshot())
    assert await list_revisions(status) == {DATABASE: 2}
