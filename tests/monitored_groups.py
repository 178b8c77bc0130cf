"""A monitor and a group whose reports a test makes."""

import random
import time

from fescuestile import clock
from fescuestile import endpoint_messages
from fescuestile_daemon.relay.core import messages
from fescuestile_daemon.relay.core import options
from fescuestile_daemon.relay.core import ports
from fescuestile_daemon.relay.groups import directory
from fescuestile_daemon.relay.groups import groups
from fescuestile_daemon.relay.peers import sampling
from fescuestile_daemon.relay.records import member_records
from fescuestile_daemon.relay.takeovers import monitor
from tests import builders
from tests import member_stores

Role = endpoint_messages.Role
NAMES = ("p", "r1", "r2")


class NoDialer(ports.Dialer):
    """Opens no connections."""

    async def dial(self, entry, tenant=""):
        return messages.Outcome(messages.Kind.LOST, detail="no network")


class NoPromoter(ports.Promoter):
    """Grants no lease."""

    async def acquire(self):
        return None

    async def release(self, lease):
        pass

    async def promote(self, group, endpoint, lease):
        return None


class CurrentRegistry(ports.Registry):
    """Answers that nothing has changed.

    :ivar available: whether it answers
    """

    available = True

    async def refresh(self):
        return self.available


def make_entry(name, leaving=False):
    """Return the registry entry of an endpoint."""
    return messages.EndpointEntry(
        name, "g", "127.0.0.1:1", "a", 2, leaving, name == "p", 0
    )


def make_group():
    """Return a group of which all endpoints have answered."""
    new_group = groups.Group(
        "g", NoDialer(), options.RelayOptions(), clock.BootClock()
    )
    for name in NAMES:
        new_group.put_endpoint(make_entry(name), 4).has_answered = True
    return new_group


def make_sampler(boot_clock):
    """Return a sampler that knows no peers."""
    return sampling.PositionSampler("d", "a", lambda name: None, boot_clock)


def make_records(routes, registry, member_store=None, restored=None):
    """Return the records of the members of the groups in a directory."""
    return member_records.MemberRecords(
        member_store or member_stores.MemoryStore(),
        routes,
        registry,
        random.Random(1),
        restored,
    )


def make_monitor(promoter=None, registry=None, watched=(), member_store=None):
    """Return a monitor of some groups.

    :param promoter: by default one that grants no lease
    :param registry: by default one in which nothing has changed
    :param member_store: by default one that holds no record
    """
    relay_options = options.RelayOptions()
    boot_clock = clock.BootClock()
    routes = directory.Directory(NoDialer(), relay_options, boot_clock)
    routes.groups.update({group.name: group for group in watched})
    registry = registry or CurrentRegistry()
    return monitor.Monitor(
        routes,
        promoter or NoPromoter(),
        registry,
        make_records(routes, registry, member_store),
        relay_options,
        boot_clock,
        random.Random(1),
        make_sampler(boot_clock),
    )


def add_report(group, name, index, ago=0.0, role=Role.REPLICA, term=1):
    """Apply a report that was requested so many seconds ago."""
    group._apply_report(
        group.endpoints[name],
        builders.build_log_report(name, index, role, term),
        time.monotonic() - ago,
    )
