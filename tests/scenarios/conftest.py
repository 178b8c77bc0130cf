"""Fixtures and steps that several scenario files share.

Each scenario runs real processes, which end with it.
"""

import pytest
import pytest_asyncio
from pytest_bdd import given
from pytest_bdd import parsers
from pytest_bdd import then
from pytest_bdd import when

from fescuestile_standins import fleet as fleets
from fescuestile_standins import launcher as launchers
from tests.scenarios import worlds


@pytest_asyncio.fixture
async def launcher(tmp_path):
    """Return a launcher whose processes end with the scenario."""
    async with launchers.Launcher(tmp_path) as started:
        yield started


@pytest_asyncio.fixture
async def fleet(launcher):
    """Return a deployment in which nothing is started yet."""
    return fleets.Fleet(launcher)


@pytest.fixture
def world(tmp_path):
    """Return a world whose processes end with the scenario."""
    started = worlds.World(tmp_path)
    yield started
    started.close()


@given("today's fleet with a declared database")
def start_fleet(world):
    """Start the platform, one database group and four daemons."""
    world.start_fleet()


@given("the platform is down")
@when("the platform is down")
def take_platform_down(world):
    """Make every call to the platform fail."""
    world.run(world.set_faults(down=True))


@when("the platform is back")
def restore_platform(world):
    """Clear all faults of the platform."""
    world.run(world.set_faults())


@when(parsers.parse('daemon "{name}" is killed and started anew'))
def restart_daemon(world, name):
    """Kill a daemon and start it again with the same settings."""
    world.fleet.daemons[name].process.kill()
    world.run(world.fleet.daemons[name].process.wait_exit())
    world.run(world.restart(name))


@then("a caller's write still succeeds")
def check_write(world):
    """Check that a write through a running daemon succeeds."""
    world.run(world.write(world.daemons[2], "PUT pump broken"))
