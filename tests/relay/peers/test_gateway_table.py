"""Only gateways watch a group and keep connections to it."""

import time

import pytest

from fescuestile_daemon.relay.groups import group_duties
from fescuestile_daemon.relay.takeovers import monitor
from tests import gateway_daemons
from tests import monitored_groups
from tests import tenant_endpoints


@pytest.mark.parametrize("daemons", [30, 100, 300])
def test_watchers_do_not_grow_with_the_daemons(daemons):
    """Deployment U: 2.6 status reports an operation by 88 daemons."""
    fleet = gateway_daemons.Fleet(daemons)
    watching = [
        d for d in fleet.daemons.values() if d.table.is_watched(d.group)
    ]
    assert len(watching) == 3


def test_connections_of_all_daemons_fit_an_endpoint():
    fleet = gateway_daemons.Fleet(12)
    pools = [
        d.group.endpoints["p"].pool
        for d in fleet.daemons.values()
        if d.table.is_gateway(d.group)
    ]
    assert sorted(pool.cap for pool in pools) == [10, 10, 42]
    assert all(pool.is_retaining for pool in pools)


def test_a_daemon_with_recent_work_watches_the_group():
    """Guards against a failed primary that nobody replaces.

    When all gateways are gone, the daemons that serve their callers by
    themselves, and the next candidates, have recent work.
    """
    fleet = gateway_daemons.Fleet()
    daemon = next(
        d for d in fleet.daemons.values() if not d.table.is_gateway(d.group)
    )
    assert not daemon.table.is_watched(daemon.group)
    daemon.group.used_at = time.monotonic()
    assert daemon.table.is_watched(daemon.group)


def test_the_next_candidate_watches_when_the_gateway_is_unreachable():
    fleet = gateway_daemons.Fleet()
    first, second, *_ = fleet.list_candidates()
    fleet.network.known_down.add(first.peer.name)
    second.table.update()
    assert second.table.is_watched(second.group)
    assert second.group.endpoints["p"].pool.cap == 42


def test_a_group_behind_a_reachable_gateway_is_not_isolated():
    fleet = gateway_daemons.Fleet()
    sender = fleet.find_sender()
    assert sender.table.is_served_elsewhere(sender.group)
    fleet.network.known_down.update(
        d.peer.name for d in fleet.list_candidates()
    )
    assert not sender.table.is_served_elsewhere(sender.group)


class Duties(group_duties.GroupDuties):
    """Watches the groups or not, as a test says."""

    watches = True

    def is_watched(self, group):
        return self.watches


def find_reason(group_monitor, group):
    return group_monitor._find_reason(group, time.monotonic(), 60.0)


async def test_old_observations_do_not_suspect_a_primary():
    """Guards against a needless takeover by a daemon that watches again."""
    group = monitored_groups.make_group()
    group_monitor = monitored_groups.make_monitor(watched=[group])
    duties = group_monitor._directory.duties = Duties()
    duties.watches = False
    group_monitor._check_groups()
    primary = group.endpoints["p"]
    primary.unanswered_since = primary.refused_since = time.monotonic() - 9
    group.stalled_since = time.monotonic() - 9
    assert not group_monitor._requests._tasks
    assert find_reason(group_monitor, group) is monitor.Reason.SILENT
    group_monitor._seen_since["g", "vacant"] = time.monotonic() - 9
    duties.watches = True
    assert group_monitor._update_watch(group)
    assert find_reason(group_monitor, group) is None
    assert not group_monitor._seen_since
    group_monitor._check_groups()
    assert group_monitor._requests._tasks
    await group_monitor.close(0.0)


def test_a_gateway_uses_all_slots_of_an_endpoint():
    """Guards against one slot because the gateways' connections look scarce.

    Together they open 62 of 70, above the share from which daemons that
    connect directly use one slot each.
    """
    fleet = gateway_daemons.Fleet(12)
    gateway = fleet.list_candidates()[0]
    endpoint = gateway.group.endpoints["p"]
    endpoint.record_connection_usage(62 / 70)
    assert endpoint.admission.queue.limit == 4


async def test_a_former_gateway_closes_what_it_may_not_hold():
    """Guards against two gateways' connections at an endpoint for seconds.

    The next gateway may open as many; one may stay for status reports.
    """
    shared = tenant_endpoints.make_pool(
        tenant_endpoints.TenantEndpoint(), cap=10
    )
    shared.is_retaining = True
    used = [await tenant_endpoints.acquire(shared, "") for _ in range(10)]
    for connection in used[1:]:
        shared.release(connection)
    shared.is_retaining = False
    shared.cap = 2
    shared.trim()
    assert shared.open == 3
    assert not used[0].closed
