"""Daemons and a group of endpoint stand-ins inside the test's process."""

import asyncio
import collections.abc
import contextlib
import os
import socket

from fescuestile import members
from fescuestile import plans
from fescuestile import sessions
from fescuestile_client import session as client_session
from fescuestile_daemon import daemon
from fescuestile_daemon import settings
from fescuestile_standins import endpoint_server
from tests import builders

DATABASE = "werkstatt-db"
LISTENING_HOSTS = 100
MOST_DAEMONS = 9
KEYS = sessions.KeyRing(sessions.SigningKey("k1", b"0123456789abcdef"))


def choose_host(number: int) -> str:
    """Return a loopback IP that test processes running now don't share."""
    high, low = divmod(os.getpid() % (100 * 250), 250)
    return f"127.{high + 100}.{low + 1}.{number}"


def list_listening_hosts() -> tuple[str, ...]:
    """Return the IPs that the first few daemons listen on."""
    return tuple(
        choose_host(number + LISTENING_HOSTS)
        for number in range(1, MOST_DAEMONS + 1)
    )


def choose_address(number: int) -> str:
    """Return ``IP:port`` on an IP that no outgoing connection binds to."""
    host = choose_host(number)
    return f"{host}:{find_port(host)}"


def find_port(ip: str) -> int:
    """Return a free port of the OS."""
    with socket.socket() as probe:
        probe.bind((ip, 0))
        port: int = probe.getsockname()[1]
    return port


def build_settings(
    number: int, sections=None, **daemon_changes
) -> settings.Settings:
    """Return the settings of a daemon on this machine."""
    host = choose_host(number)
    listening = number + LISTENING_HOSTS
    options = {
        "name": f"host-{number}",
        "zone": builders.ZONES[(number - 1) % len(builders.ZONES)],
        "ip": host,
        "caller_address": choose_address(listening),
        "link_address": choose_address(listening),
        "operator_address": choose_address(listening),
    }
    return settings.Settings.model_validate(
        {
            "daemon": options | daemon_changes,
            "platform": {"addresses": [f"{host}:1"]},
            "tls": {"plain_text": True},
            **(sections or {}),
        }
    )


def build_group_plan(
    group: collections.abc.Mapping[str, endpoint_server.EndpointServer],
) -> plans.Plan:
    """Return the plan of a group of stand-ins."""
    return builders.build_plan(
        DATABASE,
        endpoints=tuple(
            builders.build_endpoint(
                number, name=name, address=endpoint.address
            )
            for number, (name, endpoint) in enumerate(group.items(), 1)
        ),
    )


def publish(
    daemons: collections.abc.Sequence[daemon.Daemon], plan: plans.Plan
) -> None:
    """Give daemons the membership, keys and plan that they share."""
    listed = tuple(each.own for each in daemons)
    for each in daemons:
        each.keys.publish(KEYS)
        each.membership.publish(members.MembershipSnapshot(each.own, listed))
        each.plans.publish({DATABASE: builders.build_revision(plan=plan)})


@contextlib.asynccontextmanager
async def serve_daemons(
    count: int, plan: plans.Plan, **sections
) -> collections.abc.AsyncIterator[list[daemon.Daemon]]:
    """Run daemons that know each other and a plan, ready for work.

    :param sections: further sections of their settings
    """
    daemons = [
        daemon.Daemon(build_settings(n + 1, sections)) for n in range(count)
    ]
    try:
        for each in daemons:
            await each.start()
        publish(daemons, plan)
        yield daemons
    finally:
        await asyncio.gather(*(each.close() for each in daemons))


@contextlib.asynccontextmanager
async def open_session(
    served: daemon.Daemon, caller: str = "station-7", token: bytes = b""
) -> collections.abc.AsyncIterator[client_session.Session]:
    """Open a caller's session on a daemon."""
    session = client_session.Session(
        [served.options.daemon.caller_address], caller, token
    )
    async with session:
        yield session
