"""Daemons and a group of endpoint stand-ins inside the test's process."""

import asyncio
import collections.abc
import contextlib
import os
import socket

from fescuestile import members
from fescuestile import plans
from fescuestile import sessions
from fescuestile_client import options as client_options
from fescuestile_client import session as client_session
from fescuestile_daemon import daemon
from fescuestile_daemon import settings
from fescuestile_standins import endpoint_server
from tests import builders

DATABASE = "werkstatt-db"
LISTENING_IP_OFFSET = 100
MAX_DAEMONS = 9
KEYS = sessions.KeyRing(sessions.SigningKey("k1", b"0123456789abcdef"))


def choose_ip(number: int) -> str:
    """Return a loopback IP that is unique to this test process."""
    high, low = divmod(os.getpid() % (100 * 250), 250)
    return f"127.{high + 100}.{low + 1}.{number}"


def list_listening_ips() -> tuple[str, ...]:
    """Return the IPs that daemons 1 to ``MAX_DAEMONS`` listen on."""
    return tuple(
        choose_ip(number + LISTENING_IP_OFFSET)
        for number in range(1, MAX_DAEMONS + 1)
    )


def choose_address(number: int) -> str:
    """Return a free ``IP:port`` for a listener.

    The IP must be one that no outgoing connection binds to, as such a
    connection could take the port.
    """
    ip = choose_ip(number)
    return f"{ip}:{find_free_port(ip)}"


def find_free_port(ip: str) -> int:
    """Return a TCP port of an IP that is free now."""
    with socket.socket() as probe:
        probe.bind((ip, 0))
        port: int = probe.getsockname()[1]
    return port


def build_settings(
    number: int, sections=None, **daemon_changes
) -> settings.Settings:
    """Return the settings of a daemon on loopback addresses."""
    ip = choose_ip(number)
    listening_number = number + LISTENING_IP_OFFSET
    options = {
        "name": f"host-{number}",
        "zone": builders.ZONES[(number - 1) % len(builders.ZONES)],
        "ip": ip,
        "caller_address": choose_address(listening_number),
        "link_address": choose_address(listening_number),
        "operator_address": choose_address(listening_number),
    }
    return settings.Settings.model_validate(
        {
            "daemon": options | daemon_changes,
            "platform": {"addresses": [f"{ip}:1"]},
            "tls": {"plain_text": True},
            **(sections or {}),
        }
    )


def build_group_plan(
    group: collections.abc.Mapping[str, endpoint_server.EndpointServer],
) -> plans.Plan:
    """Return the plan of a group of endpoint stand-ins."""
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
    """Publish the same membership, keys and plan in all daemons."""
    listed = tuple(each.own for each in daemons)
    for each in daemons:
        each.keys.publish(KEYS)
        each.membership.publish(members.MembershipSnapshot(each.own, listed))
        each.plans.publish({DATABASE: builders.build_revision(plan=plan)})


@contextlib.asynccontextmanager
async def serve_daemons(
    count: int, plan: plans.Plan, **sections
) -> collections.abc.AsyncIterator[list[daemon.Daemon]]:
    """Run daemons that have each other as members and serve a plan.

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
    served: daemon.Daemon,
    caller: str = "station-7",
    token: bytes = b"",
    options: client_options.SessionOptions | None = None,
) -> collections.abc.AsyncIterator[client_session.Session]:
    """Open a caller's session at a daemon."""
    session = client_session.Session(
        [served.options.daemon.caller_address], caller, token, options
    )
    async with session:
        yield session
