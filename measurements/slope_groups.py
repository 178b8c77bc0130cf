"""Slopes of the groups actor: plans, membership changes, reports."""

import asyncio
import collections.abc
import functools
import tracemalloc

from fescuestile import codec
from fescuestile import link_messages
from fescuestile import plans
from fescuestile_daemon import groups_actor
from fescuestile_daemon import snapshot_store
from measurements import builders
from measurements import frame
from measurements import slopes

MEMBERS = 2500
ZONES = 27
REPORT_ROUNDS = 20
FRAMES = 300
BYTES_PER_MEBIBYTE = 1024 * 1024


def create_actor(zones: int) -> groups_actor.GroupsActor:
    """Return an actor that is called in this thread."""
    loop = asyncio.new_event_loop()
    loop.close()
    return groups_actor.GroupsActor(
        snapshot_store.SnapshotStore(loop),
        builders.build_membership(MEMBERS, zones),
        lambda assignment: None,
    )


def receive_both(
    actor: groups_actor.GroupsActor, first: object, second: object
) -> None:
    """Hand two messages to an actor."""
    actor.on_receive(first)
    actor.on_receive(second)


class GroupsByDatabases(slopes.SlopeMeasurement):
    """What all plans cost a daemon among 2,500 daemons in 27 zones."""

    name = "slope_groups"
    description = "Plans and a membership change at a daemon, by databases."
    size_name = "databases"
    sizes = (3, 500, 1000, 2000, 4000)

    def measure(self, size: int, seed: int) -> slopes.Values:
        """Take plans, then a changed membership."""
        tracemalloc.start()
        revisions = builders.build_revisions(size, ZONES)
        actor = create_actor(ZONES)
        taking = groups_actor.PlansChanged(revisions)
        actor.on_receive(taking)
        held, _ = tracemalloc.get_traced_memory()
        tracemalloc.stop()
        smaller, larger = (
            groups_actor.MembershipChanged(
                builders.build_membership(count, ZONES)
            )
            for count in (MEMBERS - 1, MEMBERS)
        )
        take = slopes.measure_best(
            lambda: create_actor(ZONES).on_receive(taking)
        )
        change = slopes.measure_best(
            functools.partial(receive_both, actor, smaller, larger)
        )
        one = slopes.measure_best(
            lambda: actor.on_receive(groups_actor.PlansChanged(revisions))
        )
        return {
            "memory MiB": held / BYTES_PER_MEBIBYTE,
            "CPU ms to take all plans": take * slopes.MILLISECONDS,
            "CPU ms per plan change": one * slopes.MILLISECONDS,
            "CPU ms per membership change": change / 2 * slopes.MILLISECONDS,
        }


class ReportsByEndpoints(slopes.SlopeMeasurement):
    """What a round of reports costs the actor, by endpoints watched."""

    name = "slope_reports"
    description = "A report of each watched endpoint, by endpoints."
    size_name = "endpoints watched"
    sizes = (9, 30, 90, 300)

    def measure(self, size: int, seed: int) -> slopes.Values:
        """Let each endpoint report some times."""
        databases = size // builders.ENDPOINTS_PER_DATABASE
        revisions = builders.build_revisions(databases, ZONES)
        actor = create_actor(ZONES)
        actor.on_receive(groups_actor.PlansChanged(revisions))
        batches = [
            make_batch(revisions.values(), round_number)
            for round_number in range(1, REPORT_ROUNDS + 1)
        ]
        spent = min(
            slopes.measure_once(functools.partial(actor.on_receive, batch))
            for batch in batches
        )
        return {"CPU µs per round of reports": spent * slopes.MICROSECONDS}


def make_batch(
    revisions: collections.abc.Iterable[plans.PlanRevision], index: int
) -> groups_actor.ObservationBatch:
    """Return one report of each endpoint; the first one is primary."""
    return groups_actor.ObservationBatch(
        tuple(
            groups_actor.Observation(
                revision.plan.database,
                builders.build_report(endpoint, index, place == 0),
                float(index),
            )
            for revision in revisions
            for place, endpoint in enumerate(revision.plan.endpoints)
        )
    )


class PushByEndpoints(slopes.SlopeMeasurement):
    """What one push of a group's state costs, by its endpoints."""

    name = "slope_state_push"
    description = "One GroupState frame, by endpoints of the group."
    size_name = "endpoints of the group"
    sizes = (1, 3, 5, 9, 15)

    def measure(self, size: int, seed: int) -> slopes.Values:
        """Encode and decode the frame of a group."""
        frames = codec.Codec(link_messages.CLASSES)
        message = make_state(size)
        encoded = frames.encode(message)
        encode = slopes.measure_best(
            lambda: [frames.encode(message) for _ in range(FRAMES)]
        )
        decode = slopes.measure_best(
            lambda: [frames.decode(encoded) for _ in range(FRAMES)]
        )
        return {
            "bytes per push": float(len(encoded)),
            "CPU µs to encode": encode / FRAMES * slopes.MICROSECONDS,
            "CPU µs to decode": decode / FRAMES * slopes.MICROSECONDS,
        }


def make_state(endpoints: int) -> link_messages.GroupState:
    """Return the state of a group with some endpoints."""
    plan = builders.build_plan(0, ZONES)
    chosen = [plan.endpoints[n % 3] for n in range(endpoints)]
    return link_messages.GroupState(
        database=plan.database,
        owner="host-0000-4a032ee1",
        reports=tuple(
            link_messages.AgedReport(
                builders.build_report(endpoint, 10_000_000 + n, n == 0), 0.01
            )
            for n, endpoint in enumerate(chosen)
        ),
        owned=(link_messages.OwnedEndpoint(chosen[0].name, 0.004),),
    )


def create_measurements() -> tuple[frame.Measurement, ...]:
    """Return the measurements of this module."""
    return (GroupsByDatabases(), ReportsByEndpoints(), PushByEndpoints())
