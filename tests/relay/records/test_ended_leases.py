"""Nothing is sent under a lease of a former era of the store."""

import pytest

from fescuestile import clock
from fescuestile import endpoint_messages
from fescuestile import promotion
from fescuestile_daemon.relay.records import leases
from fescuestile_platform import http
from fescuestile_platform import promotions
from tests import lease_stores
from tests import monitored_groups
from tests.relay.takeovers import test_takeover

Role = endpoint_messages.Role


class World(test_takeover.World):
    """A group whose driver hears of a new era while it works.

    :ivar has_ended: whether the lease has ended
    :ivar commands: number of messages to and from the endpoints
    """

    def __init__(self):
        super().__init__()
        self.has_ended = False
        self.commands = 0

    async def delay(self, endpoint):
        self.commands += 1
        await super().delay(endpoint)

    async def promote(self, group, endpoint, lease):
        self.has_ended = True
        return False

    def is_in_force(self, lease):
        return not self.has_ended


async def test_no_endpoint_is_fenced_under_an_ended_lease():
    """Guards against ONE: others act under a later lease."""
    world = World()
    world.has_ended = True
    assert not await world.replace()
    assert world.commands == 0


async def test_fences_are_left_to_the_next_driver():
    """Guards against ONE: it may have fenced them for a promotion."""
    world = World()
    await world.inspect_all()
    world.endpoints["p"].reachable = False
    assert not await world.replace()
    assert [world.endpoints[name].fence_term for name in ("r1", "r2")] == [
        2,
        2,
    ]


async def test_left_fences_are_lifted_while_the_lease_lasts():
    group = monitored_groups.make_group()
    sent = []

    async def inspect(endpoint, command, seconds):
        sent.append(endpoint.name)

    group.inspect = inspect
    for name in ("r1", "r2"):
        monitored_groups.add_report(group, name, 6, role=Role.FENCED, term=2)
    monitor = monitored_groups.make_monitor(watched=[group])
    await monitor._unfence(group, lambda: not sent)
    assert sent == ["r1"]


class RecordingHttp(http.HttpClient):
    """Accepts all calls."""

    def __init__(self):
        super().__init__("127.0.0.1:1")
        self.calls = []

    async def call(self, method, path, seconds, body=None, headers=None):
        self.calls.append(path)
        return http.Response(200, {})


@pytest.mark.parametrize("era", [1, 2])
async def test_no_promotion_is_requested_under_an_ended_lease(era):
    manual = clock.ManualClock()
    manager = leases.LeaseManager(lease_stores.MemoryStore(), "d", manual)
    manager.record_era(1)
    lease = promotion.Lease("d", 5, manual.now() + 3.0, era=1)
    client = RecordingHttp()
    promoter = promotions.PlatformPromoter(manager, client, manual)
    manager.record_era(era)
    accepted = await promoter.promote("g", "r1", lease)
    assert accepted is (era == 1)
    assert len(client.calls) == (era == 1)
