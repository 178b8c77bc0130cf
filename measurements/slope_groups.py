"""Slope measurements of the groups actor and of its GroupState frames."""

import asyncio
import collections.abc
import functools
import tracemalloc

from fescuestile import codec
from fescuestile import link_messages
from fescuestile import plans
from fescuestile_daemon import groups_actor
from fescuestile_daemon import snapshot_store
from measurements import base
from measurements import builders
from measurements import slopes

MEMBERS = 2500
ZONES = 27
REPORT_ROUNDS = 20
FRAMES = 300
BYTES_PER_MEBIBYTE = 1024 * 1024


def create_actor(zones: int) -> groups_actor.GroupsActor:
    """Return an actor whose messages are handled in this thread."""
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
    """Let an actor handle two messages."""
    actor.on_receive(first)
    actor.on_receive(second)


class GroupsByDatabases(slopes.SlopeMeasurement):
    """Cost of all plans at one of 2,500 daemons in 27 zones."""

    name = "slope_groups"
    description = "Plans and a membership change at a daemon, by databases."
    size_name = "databases"
    sizes = (3, 500, 1000, 2000, 4000)

    def measure(self, size: int, seed: int) -> slopes.QuantityValues:
        """Apply all plans, apply them again, and change the membership."""
        tracemalloc.start()
        revisions = builders.build_revisions(size, ZONES)
        actor = create_actor(ZONES)
        plans_changed = groups_actor.PlansChanged(revisions)
        actor.on_receive(plans_changed)
        plan_bytes, _ = tracemalloc.get_traced_memory()
        tracemalloc.stop()
        smaller, larger = (
            groups_actor.MembershipChanged(
                builders.build_membership(count, ZONES)
            )
            for count in (MEMBERS - 1, MEMBERS)
        )
        load_seconds = slopes.measure_least_cpu(
            lambda: create_actor(ZONES).on_receive(plans_changed)
        )
        membership_seconds = slopes.measure_least_cpu(
            functools.partial(receive_both, actor, smaller, larger)
        )
        plan_seconds = slopes.measure_least_cpu(
            lambda: actor.on_receive(groups_actor.PlansChanged(revisions))
        )
        return {
            "memory MiB": plan_bytes / BYTES_PER_MEBIBYTE,
            "CPU ms to take all plans": load_seconds
            * slopes.MILLISECONDS_PER_SECOND,
            "CPU ms per plan change": plan_seconds
            * slopes.MILLISECONDS_PER_SECOND,
            "CPU ms per membership change": membership_seconds
            / 2
            * slopes.MILLISECONDS_PER_SECOND,
        }


class ReportsByEndpoints(slopes.SlopeMeasurement):
    """Cost of one report per watched endpoint at the actor."""

    name = "slope_reports"
    description = "A report of each watched endpoint, by endpoints."
    size_name = "endpoints watched"
    sizes = (9, 30, 90, 300)

    def measure(self, size: int, seed: int) -> slopes.QuantityValues:
        """Apply several rounds of reports; the fastest one counts."""
        databases = size // builders.ENDPOINTS_PER_DATABASE
        revisions = builders.build_revisions(databases, ZONES)
        actor = create_actor(ZONES)
        actor.on_receive(groups_actor.PlansChanged(revisions))
        batches = [
            make_batch(revisions.values(), round_number)
            for round_number in range(1, REPORT_ROUNDS + 1)
        ]
        cpu_seconds = min(
            slopes.measure_cpu(functools.partial(actor.on_receive, batch))
            for batch in batches
        )
        return {
            "CPU µs per round of reports": cpu_seconds
            * slopes.MICROSECONDS_PER_SECOND
        }


def make_batch(
    revisions: collections.abc.Iterable[plans.PlanRevision], round_number: int
) -> groups_actor.ObservationBatch:
    """Return one report of each endpoint.

    The first endpoint of each group is its primary.
    """
    return groups_actor.ObservationBatch(
        tuple(
            groups_actor.Observation(
                revision.plan.database,
                builders.build_report(endpoint, round_number, index == 0),
                float(round_number),
            )
            for revision in revisions
            for index, endpoint in enumerate(revision.plan.endpoints)
        )
    )


class PushByEndpoints(slopes.SlopeMeasurement):
    """Size and cost of one GroupState frame, by endpoints of its group."""

    name = "slope_state_push"
    description = "One GroupState frame, by endpoints of the group."
    size_name = "endpoints of the group"
    sizes = (1, 3, 5, 9, 15)

    def measure(self, size: int, seed: int) -> slopes.QuantityValues:
        """Encode and decode the state of one group."""
        frame_codec = codec.Codec(link_messages.CLASSES)
        message = make_state(size)
        encoded = frame_codec.encode(message)
        encode_seconds = slopes.measure_least_cpu(
            lambda: [frame_codec.encode(message) for _ in range(FRAMES)]
        )
        decode_seconds = slopes.measure_least_cpu(
            lambda: [frame_codec.decode(encoded) for _ in range(FRAMES)]
        )
        return {
            "bytes per push": float(len(encoded)),
            "CPU µs to encode": encode_seconds
            / FRAMES
            * slopes.MICROSECONDS_PER_SECOND,
            "CPU µs to decode": decode_seconds
            / FRAMES
            * slopes.MICROSECONDS_PER_SECOND,
        }


def make_state(endpoints: int) -> link_messages.GroupState:
    """Return the state of a group of a given number of endpoints."""
    plan = builders.build_plan(0, ZONES)
    group_endpoints = [plan.endpoints[n % 3] for n in range(endpoints)]
    return link_messages.GroupState(
        database=plan.database,
        owner="host-0000-4a032ee1",
        reports=tuple(
            link_messages.AgedReport(
                builders.build_report(endpoint, 10_000_000 + n, n == 0), 0.01
            )
            for n, endpoint in enumerate(group_endpoints)
        ),
        owned=(link_messages.OwnedEndpoint(group_endpoints[0].name, 0.004),),
    )


def create_measurements() -> tuple[base.Measurement, ...]:
    """Return the measurements of this module."""
    return (GroupsByDatabases(), ReportsByEndpoints(), PushByEndpoints())
