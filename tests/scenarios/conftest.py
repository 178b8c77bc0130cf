"""Fixtures of the scenarios: real processes, ended with each scenario."""

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
    """Start processes that end with the scenario."""
    async with launchers.Launcher(tmp_path) as started:
        yield started


@pytest_asyncio.fixture
async def fleet(launcher):
    """Start a deployment piece by piece."""
    return fleets.Fleet(launcher)


@pytest.fixture
def world(tmp_path):
    """Start a world whose processes end with the scenario."""
    started = worlds.World(tmp_path)
    yield started
    started.close()


@given("today's fleet with a declared database")
def start_today(world):
    """Start what one user runs today."""
    world.start_today()


@given("the platform is down")
@when("the platform is down")
def take_platform_down(world):
    """End all calls of the platform."""
    world.run(world.set_faults(down=True))


@when("the platform is back")
def bring_platform_back(world):
    """End all faults of the platform."""
    world.run(world.set_faults())


@when(parsers.parse('daemon "{name}" is killed and started anew'))
def restart_daemon(world, name):
    """Start a daemon in the place of a killed one."""
    world.fleet.daemons[name].process.kill()
    world.run(world.fleet.daemons[name].process.wait_exit())
    world.run(world.restart(name))


@then("a caller's write still succeeds")
def check_write(world):
    """Write through a daemon."""
    world.run(world.write(world.daemons[2], "PUT pump broken"))
