"""A takeover whose lease expired before its promotion was recorded."""

import pytest

from fescuestile import clock
from fescuestile_daemon.relay.core import messages
from fescuestile_daemon.relay.records import leases
from fescuestile_daemon.relay.takeovers import takeover
from fescuestile_platform import promotions
from tests import fences
from tests import lease_stores
from tests.relay.records import test_ended_leases
from tests.relay.takeovers import test_takeover


class SlowLog(fences.LocalLog):
    """Records a request once the lease has expired.

    Another driver lifts the fences meanwhile, and a second takeover of this
    daemon acquires the lease again.
    """

    def __init__(self, world, managers, time_source):
        super().__init__(world.group)
        self._world = world
        self._own, self._other = managers
        self._clock = time_source

    async def record_request(self, group, endpoint):
        assert await self._other.acquire() is None
        self._clock.advance(leases.WAIT_SECONDS + 0.1)
        assert await self._other.acquire() is not None
        for known in self._world.group.endpoints.values():
            if known.name != "p":
                await self._world.group.inspect(
                    known, messages.Unfence(), 0.05
                )
        await self._other.release()
        assert await self._own.acquire() is not None
        return await super().record_request(group, endpoint)


@pytest.fixture
def manual():
    return clock.ManualClock()


async def test_fences_of_an_expired_lease_lead_to_no_promotion(manual):
    """Guards against LOST: writes were acknowledged since they were lifted.

    The lease of the daemon is in force, but it is a later one.
    """
    world = test_takeover.World()
    await world.inspect_all()
    world.endpoints["p"].reachable = False
    store = lease_stores.MemoryStore()
    own = leases.LeaseManager(store, "d", manual)
    other = leases.LeaseManager(store, "e", manual)
    client = test_ended_leases.RecordingHttp()
    promoter = promotions.PlatformPromoter(own, client, manual)
    lease = await own.acquire()
    assert lease is not None
    replacement = takeover.Takeover(
        world.group,
        promoter,
        SlowLog(world, (own, other), manual),
        lease,
        manual,
    )
    assert not await replacement.replace_failed(world.group.endpoints["p"])
    assert client.calls == []
