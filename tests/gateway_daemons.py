"""Daemons that forward to each other without a network."""

import asyncio
import collections

import cbor2

from fescuestile import clock
from fescuestile import position_sharing
from fescuestile import positions
from fescuestile import routes
from fescuestile import tenants
from fescuestile_daemon.relay.core import events
from fescuestile_daemon.relay.core import messages
from fescuestile_daemon.relay.core import options
from fescuestile_daemon.relay.core import ports
from fescuestile_daemon.relay.groups import directory
from fescuestile_daemon.relay.peers import forwarding
from fescuestile_daemon.relay.peers import gateway_table
from fescuestile_daemon.relay.peers import links
from fescuestile_daemon.relay.peers import serving
from fescuestile_daemon.relay.peers import versions
from fescuestile_daemon.relay.statements import sessions
from tests import monitored_groups

Consistency = routes.Consistency
Kind = messages.Kind
GROUP = "g"
DATABASE = "orders"
KEY = "secret-key"
TENANT = "acme"
# Time after which a link without an answer is dead.
DEAD_SECONDS = 0.25


def make_table(version, keys=(KEY,), consistency=Consistency.BOUNDED):
    """Return a configuration with one route and one tenant."""
    route = routes.Route(DATABASE, GROUP, consistency, 1.0, 2.0, 0.2, 0)
    return routes.RouteTable(
        version,
        {DATABASE: route},
        {GROUP: routes.GroupLimits(70)},
        3.0,
        tenants.TenantTable([(tenants.Tenant(TENANT), keys)]),
    )


class Local(sessions.Executor):
    """Stands for the statements that a daemon runs at endpoints.

    :ivar ran: verbs of the statements that it ran
    :ivar open: transactions that are open at an endpoint
    :ivar outcome: answer to each statement
    :ivar seconds: time that each takes
    """

    def __init__(self, routes_in_force):
        self._directory = routes_in_force
        self.ran = []
        self.open = []
        self.tenants = set()
        self.outcome = Kind.DONE
        self.seconds = 0.0

    def find_route(self, database):
        return self._directory.find_route(database)

    def find_tenant(self, route, key_hash):
        return self._directory.find_tenant(route, key_hash)

    def find_group(self, route):
        return self._directory.find_group(route)

    @property
    def idle_transaction(self):
        return self._directory.idle_transaction

    async def run_single(self, session, route, arrival):
        self.ran.append(arrival.statement.verb)
        self.tenants.add(session.tenant)
        await asyncio.sleep(self.seconds)
        if arrival.statement.writes:
            session.last_write = positions.Position(1, 7)
        return messages.Outcome(self.outcome, rows=["x"], receipt="r")

    async def run_in_transaction(self, session, transaction, arrival):
        if transaction not in self.open:
            self.open.append(transaction)
        self.ran.append(arrival.statement.verb)
        await asyncio.sleep(self.seconds)
        if arrival.statement.verb is messages.Verb.COMMIT:
            self.open.remove(transaction)
        return messages.Outcome(self.outcome)

    def abandon(self, transaction):
        if transaction in self.open:
            self.open.remove(transaction)


class Links(links.PeerLinks):
    """Links of one daemon in the network of a test."""

    def __init__(self, network, name):
        self._network = network
        self._name = name

    def set_handler(self, handler):
        self._network.handlers[self._name] = handler

    def get_peers(self):
        return tuple(
            peer for peer in self._network.peers if peer.name != self._name
        )

    def is_reachable(self, peer):
        return peer not in self._network.known_down

    async def call(self, peer, request, timeout):
        return await self._network.carry(self._name, peer, request, timeout)


class Network:
    """Carries requests between daemons.

    :ivar known_down: daemons that are known to be down
    :ivar faults: by daemon, what happens to requests to it: "dead" (not
        sent), "frozen" (sent, not run), "lost" (run, not answered)
    """

    def __init__(self):
        self.peers = []
        self.handlers = {}
        self.known_down = set()
        self.faults = {}
        self.calls: collections.Counter[str] = collections.Counter()

    async def carry(self, sender, name, request, timeout):
        """Let a daemon serve a request."""
        fault = self.faults.get(name)
        self.calls[name] += 1
        if fault == "dead":
            self.known_down.add(name)
            return links.LinkFailure(False, "refused")
        if fault == "frozen":
            await asyncio.sleep(DEAD_SECONDS)
            self.known_down.add(name)
            return links.LinkFailure(True, "link lost")
        handler = self.handlers[name]
        decoded = cbor2.loads(cbor2.dumps(request))
        try:
            async with asyncio.timeout(timeout):
                answer = await handler.handle(sender, decoded)
        except TimeoutError:
            return links.LinkFailure(True, "no answer in time")
        if fault == "lost":
            handler.disconnect(sender)
            return links.LinkFailure(True, "link lost")
        return cbor2.loads(cbor2.dumps(answer))


class Caller(ports.Caller):
    """Collects the answers to a caller."""

    def __init__(self):
        self.answers: asyncio.Queue[messages.Outcome] = asyncio.Queue()

    def answer(self, outcome):
        self.answers.put_nowait(outcome)

    def close(self):
        pass


class Daemon:
    """One daemon with its view of the group and the configuration."""

    def __init__(self, network, name, zone):
        relay_options = options.RelayOptions()
        self.clock = clock.BootClock()
        self.directory = directory.Directory(
            monitored_groups.NoDialer(), relay_options, self.clock
        )
        self.recorder = events.Recorder()
        self.local = Local(self.directory)
        self.table = gateway_table.GatewayTable(
            name, zone, self.directory, relay_options
        )
        self.directory.duties = self.table
        self.versions = versions.ConfigurationVersions(self.directory)
        self.forwarding = forwarding.ForwardingExecutor(
            self.local, self.table, self.versions, self.recorder, name
        )
        self.server = self.make_server()
        self.links = Links(network, name)
        self.links.set_handler(self.server)
        self.peer = position_sharing.Peer(name, zone, f"{name}:1")
        network.peers.append(self.peer)
        self.directory.put_routes(make_table(1))
        self.directory.put_endpoints(
            {
                id: messages.EndpointEntry(
                    id, GROUP, "127.0.0.1:1", zone, 4, False, id == "p", 0
                )
                for id, zone in (("p", "a"), ("r1", "b"), ("r2", "c"))
            },
            keep_missing=False,
        )

    @property
    def group(self):
        return self.directory.groups[GROUP]

    def make_server(self):
        """Return a server without transactions, as after a restart."""
        return serving.StatementServer(
            self.local,
            self.directory,
            self.versions,
            self.clock,
            self.recorder,
        )

    def start(self):
        """Use the links, once all daemons are there."""
        self.table.set_links(self.links, self.peer)
        self.forwarding.set_links(self.links)
        self.table.update()

    def open_session(self):
        """Return a caller with a session of its own."""
        return CallerSession(self)


class CallerSession:
    """Runs the statements of one caller."""

    def __init__(self, daemon):
        self._caller = Caller()
        self.session = sessions.Session(
            DATABASE,
            self._caller,
            daemon.forwarding,
            daemon.clock,
            tenants.hash_key(KEY),
        )

    async def __call__(self, verb, **fields):
        """Run a statement and return its outcome."""
        fields.setdefault("writes", verb is messages.Verb.WRITE)
        self.session.receive(messages.Statement("1", verb, "text", **fields))
        return await self._caller.answers.get()


class Fleet:
    """Daemons of three zones."""

    def __init__(self, daemons=9):
        self.network = Network()
        self.daemons = {
            f"d{i}": Daemon(self.network, f"d{i}", "abc"[i % 3])
            for i in range(daemons)
        }
        for daemon in self.daemons.values():
            daemon.start()

    def list_candidates(self, zone="a", needs_primary=True):
        """Return the daemons that may serve a zone, in order."""
        daemon = next(d for d in self.daemons.values() if d.peer.zone == zone)
        names = daemon.table.list_candidates(daemon.group, needs_primary)
        return [self.daemons[name] for name in names]

    def find_sender(self, zone="b"):
        """Return the daemon of a zone that is its last candidate."""
        return self.list_candidates(zone, needs_primary=False)[-1]

    def sum_ran(self):
        """Return how many statements ran at all daemons."""
        return sum(len(d.local.ran) for d in self.daemons.values())
