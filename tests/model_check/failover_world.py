"""Model of a failover: three endpoints, two drivers and one daemon.

It runs the real failover rules. A step delivers one message, writes once,
crashes an endpoint or loses a reply. Pauses and processes that stop for
good need no step of their own: the next step of such a process comes late
or never. A crash is therefore a restart that loses the endpoint's state.

The daemon samples each report at once and keeps the best ones of each term,
so that it acknowledges every write that a slower daemon could acknowledge.
"""

import copy
import dataclasses
import random
import typing

from fescuestile import confirmation
from fescuestile import endpoint_messages
from fescuestile import failover
from fescuestile import failover_steps
from fescuestile import positions
from fescuestile_standins import endpoint_log
from fescuestile_standins import endpoint_state
from tests.model_check import failover_parts

Role = endpoint_messages.Role
_ACTIVE = (failover_steps.Step.FENCING, failover_steps.Step.PROMOTING)
SENDS = (
    failover_steps.SendFence,
    failover_steps.SendPromote,
    failover_steps.SendFollow,
)


@dataclasses.dataclass
class World:
    """State of the model; steps work on copies.

    :ivar remaining: steps that may still be made
    :ivar sends: commands under way, by driver
    :ivar trackers: confirmed positions, by the term of the reports
    :ivar replaced: writes reported as replaced, so that they may be repeated
    :ivar elected: highest term with a primary so far
    :ivar keys: cached keys of the endpoints
    """

    build: failover_parts.Build
    remaining: failover_parts.Scope
    rules: failover.FailoverRules
    endpoints: dict[str, endpoint_state.EndpointState]
    drivers: dict[str, failover_steps.Driver]
    sends: dict[str, frozenset[failover_steps.Action]]
    trackers: dict[int, confirmation.ConfirmationTracker]
    written: tuple[positions.Position, ...] = ()
    acknowledged: frozenset[positions.Position] = frozenset()
    replaced: frozenset[positions.Position] = frozenset()
    elected: int = 1
    violation: str | None = None
    keys: dict[str, typing.Hashable] = dataclasses.field(default_factory=dict)

    def copy(self, *changed: str, **spent: int) -> typing.Self:
        """Return a copy of the state.

        :param changed: endpoints to copy, since the next step changes them
        :param spent: number of steps to subtract, by kind
        """
        left = self.remaining
        for name, number in spent.items():
            left = dataclasses.replace(
                left, **{name: getattr(left, name) - number}
            )
        world = object.__new__(type(self))
        world.__dict__.update(self.__dict__)
        world.remaining = left
        world.endpoints = self.endpoints.copy()
        world.drivers = self.drivers.copy()
        world.sends = self.sends.copy()
        world.trackers = self.trackers.copy()
        world.keys = self.keys.copy()
        for name in changed:
            world.endpoints[name] = self.endpoints[name].copy()
            world.keys.pop(name, None)
        return world

    def make_key(self) -> typing.Hashable:
        for name, endpoint in self.endpoints.items():
            if name not in self.keys:
                self.keys[name] = _make_endpoint_key(endpoint)
        drivers = tuple(
            (
                d.step,
                d.term,
                d.highest,
                d.chosen,
                d.failed_primary,
                _list_grants(d),
            )
            for d in self.drivers.values()
        )
        return (
            tuple(self.keys[name] for name in self.endpoints),
            drivers,
            tuple(self.sends.values()),
            self._list_evidence(),
            self.remaining,
            self.written,
            self.acknowledged,
            self.replaced,
            self.elected,
        )

    def _list_evidence(self) -> typing.Hashable:
        if self.acknowledged.issuperset(self.written):
            return ()
        return tuple(
            (term, name, report.last)
            for term, tracker in self.trackers.items()
            for name, report in sorted(tracker._reports.items())
        )

    def find_violation(self) -> str | None:
        if self.violation:
            return self.violation
        primary = self.find_primary()
        if primary.term < self.elected:
            return None
        held = _list_entries(primary)
        for position in self.acknowledged:
            if position not in held:
                return f"{primary.name} lost acknowledged {position}"
        for position in self.replaced:
            if position in held or position in self.acknowledged:
                return f"{primary.name} holds {position}, reported replaced"
        return None

    def find_primary(self) -> endpoint_state.EndpointState:
        """Return the primary of the highest term, whether or not it runs."""
        primaries = [
            e for e in self.endpoints.values() if e.role is Role.PRIMARY
        ]
        return max(primaries, key=lambda e: e.term, default=_NO_PRIMARY)

    def list_steps(self) -> typing.Iterator[tuple[str, "World"]]:
        yield from self._list_writes()
        yield from self._list_replications()
        yield from self._list_starts()
        yield from self._list_deliveries()
        yield from self._list_crashes()
        yield from self._list_rejoins()

    def _list_writes(self) -> typing.Iterator[tuple[str, "World"]]:
        if not self.remaining.writes:
            return
        for name, endpoint in self.endpoints.items():
            if endpoint.role is Role.PRIMARY:
                world = self.copy(name, writes=1)
                position = world.endpoints[name].write({}, [])
                world.written += (position,)
                world.sample(name)
                yield f"{name} writes {position}", world

    def _list_replications(self) -> typing.Iterator[tuple[str, "World"]]:
        """Replicate entries, also from a primary of an earlier term."""
        for source, primary in self.endpoints.items():
            if primary.role is not Role.PRIMARY:
                continue
            for name, replica in self.endpoints.items():
                if name == source or replica.primary != source:
                    continue
                history = primary.log.history
                after = endpoint_log.find_common_index(
                    history, replica.log.history
                )
                if replica.log.history == history and (
                    replica.role is not Role.FENCED
                ):
                    continue
                world = self.copy(name)
                entries = primary.log.list_after(after, self.remaining.batch)
                if world.endpoints[name].accept(primary.term, after, entries):
                    world.sample(name)
                    yield f"{source} replicates {after + 1} to {name}", world

    def sample(self, name: str) -> None:
        """Apply an endpoint's report and acknowledge confirmed writes."""
        report = self.endpoints[name].report()
        tracker = self.trackers.get(report.term)
        if tracker is None:
            tracker = self.make_tracker()
        tracker = copy.copy(tracker)
        tracker._reports = dict(tracker._reports)
        tracker.observe(report)
        self.trackers[report.term] = tracker
        for position in set(self.written) - self.acknowledged:
            state = tracker.find_state(position)
            if state is confirmation.WriteState.CONFIRMED:
                self._acknowledge(position)
            elif state is confirmation.WriteState.LOST:
                self.replaced |= {position}

    def make_tracker(self) -> confirmation.ConfirmationTracker:
        plan = failover_parts.make_plan(self.build.confirm_majority)
        return self.build.tracker(plan)

    def _acknowledge(self, position: positions.Position) -> None:
        self.acknowledged |= {position}
        primary = self.find_primary()
        superseded = primary.term > position.term
        if superseded and position not in _list_entries(primary):
            self.violation = f"replaced primary acknowledged {position}"

    def _list_starts(self) -> typing.Iterator[tuple[str, "World"]]:
        """Start an attempt with the driver's highest known term or the latest.

        The first driver starts first; the reverse order is symmetrical.
        """
        if not self.remaining.attempts:
            return
        newest = max(e.term for e in self.endpoints.values())
        for id_, driver in self.drivers.items():
            if driver.step not in (
                failover_steps.Step.IDLE,
                failover_steps.Step.WAITING,
            ):
                continue
            for highest in {driver.highest, newest}:
                world = self.copy(attempts=1)
                failed_primary = (
                    self.find_primary().name if self.remaining.avoids else ""
                )
                known = dataclasses.replace(
                    driver, highest=highest, failed_primary=failed_primary
                )
                started, actions = self.rules.start_fencing(known, 0.0)
                world.drivers[id_] = started
                world.sends[id_] = frozenset(actions)
                yield f"{id_} starts term {started.term}", world
            if not driver.term:
                return

    def _list_deliveries(self) -> typing.Iterator[tuple[str, "World"]]:
        for id_, sends in self.sends.items():
            yield from self._list_timeouts(id_)
            for action in sends:
                if isinstance(action, failover_steps.SendFollow):
                    yield self._deliver(id_, action, action.endpoint, True)
                elif isinstance(
                    action,
                    failover_steps.SendFence | failover_steps.SendPromote,
                ):
                    yield self._deliver(id_, action, action.endpoint, True)
                    if self.remaining.losses:
                        yield self._deliver(
                            id_, action, action.endpoint, False
                        )

    def _list_timeouts(self, id_: str) -> typing.Iterator[tuple[str, "World"]]:
        """Let a driver's wait for a better grant time out."""
        driver, actions = self.rules.advance(
            self.drivers[id_],
            failover_steps.Ticked(),
            failover.GRANT_WAIT_SECONDS,
        )
        if driver.step is not self.drivers[id_].step:
            world = self.copy()
            world.drivers[id_] = driver
            world.sends[id_] = frozenset(actions)
            yield f"{id_} stops waiting for better grants", world

    def _deliver(
        self,
        id_: str,
        action: failover_steps.Action,
        name: str,
        answered: bool,
    ) -> tuple[str, "World"]:
        world = self.copy(name, losses=0 if answered else 1)
        event = failover_parts.perform(world.endpoints[name], action, id_)
        world.elected = max(world.elected, world.find_primary().term)
        world.sample(name)
        label = f"{name} gets {type(action).__name__} of {id_}"
        if not answered:
            return f"{label}, answer lost", world
        driver, actions = self.rules.advance(self.drivers[id_], event, 0.0)
        world.drivers[id_] = driver
        sends = world.sends[id_] - {action}
        if driver.step is not self.drivers[id_].step:
            sends = frozenset(a for a in actions if isinstance(a, SENDS))
        world.sends[id_] = sends
        if not world.remaining.crashes:
            world._drop_refused()
        return label, world

    def _drop_refused(self) -> None:
        """Drop follow commands that will always be refused."""
        for id_, sends in self.sends.items():
            self.sends[id_] = frozenset(
                send
                for send in sends
                if not isinstance(send, failover_steps.SendFollow)
                or send.term >= self.endpoints[send.endpoint].term
            )

    def _list_crashes(self) -> typing.Iterator[tuple[str, "World"]]:
        if not self.remaining.crashes:
            return
        for name in self.remaining.crashing:
            endpoint = self.endpoints[name]
            if endpoint.term == 1 and endpoint.log.last.index == 1:
                continue  # It has no state to lose.
            world = self.copy(crashes=1)
            world.endpoints[name] = self.build.endpoint(name)
            world.keys.pop(name, None)
            yield f"{name} restarts without its state", world

    def _list_rejoins(self) -> typing.Iterator[tuple[str, "World"]]:
        for name, endpoint in self.endpoints.items():
            if endpoint.role is not Role.REJOINING:
                continue
            reports = {n: e.report() for n, e in self.endpoints.items()}
            for send in failover.find_missing_follows(
                self.rules.plan, reports
            ):
                if send.endpoint == name:
                    world = self.copy(name)
                    world.endpoints[name].follow(send.term, send.primary)
                    yield f"{name} follows {send.primary}", world
            others = [r for n, r in reports.items() if n != name]
            if self.build.may_rejoin(
                reports[name], others, len(self.endpoints)
            ):
                world = self.copy(name)
                world.endpoints[name].rejoin()
                world._expire_grants(name)
                world.sample(name)
                yield f"{name} has rejoined", world

    def _expire_grants(self, name: str) -> None:
        """Drop the endpoint's earlier grants.

        They expire during its quarantine.
        """
        for id_, driver in self.drivers.items():
            if name in driver.grants:
                idle = failover_steps.Step.IDLE
                self.drivers[id_] = dataclasses.replace(driver, step=idle)
                self.sends[id_] = frozenset(
                    send
                    for send in self.sends[id_]
                    if isinstance(send, failover_steps.SendFollow)
                )


_NO_PRIMARY = endpoint_state.EndpointState("nobody")


def _list_entries(
    endpoint: endpoint_state.EndpointState,
) -> tuple[positions.Position, ...]:
    return tuple(entry.position for entry in endpoint.log)


def _make_endpoint_key(e: endpoint_state.EndpointState) -> typing.Hashable:
    entries = tuple((entry.position, entry.revision) for entry in e.log)
    return (e.role, e.term, e.driver, e.primary, entries)


def _list_grants(driver: failover_steps.Driver) -> typing.Hashable:
    if driver.step is not failover_steps.Step.FENCING:
        return ()
    return frozenset((n, r.last) for n, r in driver.grants.items())


def make_world(
    build: failover_parts.Build,
    scope: failover_parts.Scope,
    drivers: tuple[str, ...] = ("d1", "d2"),
) -> World:
    """Return a new group whose first primary is ``a``.

    All endpoints hold the first entry.
    """
    endpoints = {name: build.endpoint(name) for name in failover_parts.NAMES}
    for endpoint in endpoints.values():
        endpoint.bootstrap("a")
        endpoint.accept(1, 0, endpoints["a"].log.list_after(0))
    return World(
        build=build,
        remaining=scope,
        rules=build.rules(
            failover_parts.make_plan(build.driver_majority), random.Random(1)
        ),
        endpoints=endpoints,
        drivers={
            id_: failover_steps.Driver(id_, highest=1) for id_ in drivers
        },
        sends={id_: frozenset() for id_ in drivers},
        trackers={},
    )
