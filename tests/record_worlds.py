"""Builders of daemons whose store may come back from an older copy."""

import time

from fescuestile import clock
from fescuestile import endpoint_messages
from fescuestile_daemon.relay.core import options
from fescuestile_daemon.relay.groups import directory
from tests import member_stores
from tests import monitored_groups

Role = endpoint_messages.Role
make_members = member_stores.make_members
ALL = make_members("p", "r1", "r2")


class World:
    """Daemons of one store, which is in its third era."""

    def __init__(self, monkeypatch):
        self.store = member_stores.MemoryStore()
        self.store.era = 3
        self.now = 100.0
        monkeypatch.setattr(time, "monotonic", lambda: self.now)

    def put(self, *names, pending=None, replaced_term=0):
        """Write a record that is settled in the present era."""
        self.store.put("g", make_members(*names), pending)
        self.store.records["g"] = member_stores.replace(
            self.store.records["g"],
            replaced_term=replaced_term,
            settled_era=self.store.era,
        )

    def start_daemon(self, *names, restored=None):
        """Return a group in use and its records, as a daemon starts.

        :param restored: lists the daemons; unknown ones may run by default
        """
        routes = directory.Directory(
            monitored_groups.NoDialer(),
            options.RelayOptions(),
            clock.BootClock(),
        )
        routes.put_endpoints(
            {name: monitored_groups.make_entry(name) for name in names}, True
        )
        records = monitored_groups.make_records(
            routes, monitored_groups.CurrentRegistry(), self.store, restored
        )
        return routes.groups["g"], records

    async def start_loaded(self, *names, restored=None):
        """Return those of a daemon that has read the record."""
        group, records = self.start_daemon(*names, restored=restored)
        await records.update()
        assert group.members.is_loaded
        return group, records

    def go_back(self, *names):
        """Let the store come back from a copy with these members."""
        older = self.store.copy()
        older["g"] = member_stores.replace(
            older["g"], members=make_members(*names), pending=None, revision=1
        )
        self.store.restore(older)

    async def run(self, records, seconds):
        for _ in range(int(seconds * 5)):
            self.now += 0.2
            await records.update()


def report(group, role=Role.REPLICA, primary="p"):
    """Let all endpoints report.

    :param role: role of the replicas
    """
    for name in group.endpoints:
        is_primary = name == primary
        monitored_groups.add_report(
            group, name, 6, role=Role.PRIMARY if is_primary else role
        )
