"""Documents of the configuration that fail while they are put in force."""

import asyncio
import typing

import pytest

from fescuestile import routes
from fescuestile_platform import configuration_applier
from fescuestile_platform import configurations
from tests.platform.standins import world as worlds


class FailingDirectory:
    """Directory that cannot take a version for the first time.

    :ivar failing: that version
    """

    def __init__(self, failing):
        self.table = routes.RouteTable(
            version=1, routes={}, groups={}, idle_transaction=3.0
        )
        self.failing = failing

    def put_routes(self, table):
        if table.version == self.failing:
            self.failing = 0
            raise RuntimeError("no room")
        self.table = table
        return True


@pytest.fixture
def applier():
    made: typing.Any = FailingDirectory(2)
    return configuration_applier.ConfigurationApplier(made)


def make_spec(version):
    return worlds.make_configuration(["g0", "g1"], version)


async def test_a_version_that_failed_may_come_again(applier):
    """Guards against a daemon that ignores a version until it restarts."""
    with pytest.raises(RuntimeError):
        await applier.put(make_spec(2))
    await applier.put(make_spec(2))
    assert applier.version == 2


async def test_a_failure_does_not_drop_the_next_version(applier, monkeypatch):
    """Guards against old keys that stay after the store sent newer ones."""
    monkeypatch.setattr(configurations, "STEP_PARTS", 1)
    applier.begin(make_spec(2))
    await asyncio.sleep(0)
    applier.begin(make_spec(3))
    await applier.wait()
    assert applier.version == 3
