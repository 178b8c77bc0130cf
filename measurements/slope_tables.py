"""Slope measurements of tables of members, plans and hosts, and of frames."""

import collections.abc
import dataclasses
import functools
import random
import tracemalloc

from fescuestile import codec
from fescuestile import configuration
from fescuestile import gossip
from fescuestile import gossip_messages
from fescuestile import membership
from fescuestile import platform_messages
from fescuestile import ports
from fescuestile import roster
from measurements import base
from measurements import builders
from measurements import slopes

ZONES = 27
BYTES_PER_KIBIBYTE = 1024
SOURCE = "host-0001-4a032ee1"
PLATFORM_CODEC = codec.Codec((platform_messages.HostsListed,))
GOSSIP_CODEC = codec.Codec(gossip_messages.CLASSES)

Entries = tuple[gossip_messages.Entry, ...]


def build_member_entries(count: int) -> Entries:
    """Return the entries of members in 27 zones."""
    return tuple(
        roster.encode_entry(gossip_messages.MemberRecord(member))
        for member in builders.build_members(count, ZONES)
    )


def build_plan_entries(count: int) -> Entries:
    """Return the entries of plans in 27 zones."""
    return tuple(
        configuration.encode_entry(revision)
        for revision in builders.build_revisions(count, ZONES).values()
    )


def count_encoded_bytes(entries: Entries) -> float:
    """Return the bytes of a Push frame with some entries."""
    return float(len(GOSSIP_CODEC.encode(gossip_messages.Push(entries))))


def build_node(entries: Entries) -> membership.Membership:
    """Return the membership of a daemon that has merged some entries."""
    own_member = builders.build_members(1)[0]
    node = membership.Membership(
        dataclasses.replace(own_member, id="own"), random.Random(1)
    )
    node.receive(SOURCE, gossip_messages.Push(entries), 1.0)
    return node


def measure_memory(build: collections.abc.Callable[[], object]) -> float:
    """Return the KiB that a built object uses."""
    tracemalloc.start()
    before, _ = tracemalloc.get_traced_memory()
    built = build()
    after, _ = tracemalloc.get_traced_memory()
    tracemalloc.stop()
    assert built is not None
    return (after - before) / BYTES_PER_KIBIBYTE


class MemberTable(slopes.SlopeMeasurement):
    """Memory and processor time of all members at one daemon."""

    name = "slope_members"
    description = "Table of all members at one daemon, by members."
    size_name = "members"
    sizes = (4, 400, 1000, 2500)

    def measure(self, size: int, seed: int) -> slopes.QuantityValues:
        """Merge the entries of all members, then a change of one."""
        entries = build_member_entries(size)
        node = build_node(entries)
        changed = dataclasses.replace(entries[-1], version=1, rank=1)
        cpu_seconds = min(
            slopes.measure_cpu(
                functools.partial(change_member, node, changed, number)
            )
            for number in range(1, 1 + slopes.REPEATS)
        )
        return {
            "memory KiB": measure_memory(
                lambda: build_node(build_member_entries(size))
            ),
            "CPU µs per change": cpu_seconds * slopes.MICROSECONDS_PER_SECOND,
            "bytes of all entries": count_encoded_bytes(entries),
        }


def change_member(
    node: membership.Membership, entry: gossip_messages.Entry, version: int
) -> None:
    """Let a daemon receive a new version of a member's entry."""
    newer = dataclasses.replace(entry, version=version)
    node.receive(SOURCE, gossip_messages.Push((newer,)), 1.0)


class PlanTable(slopes.SlopeMeasurement):
    """Memory and bytes of all plans in the gossip of one daemon."""

    name = "slope_plans"
    description = "Plan entries in the gossip of one daemon, by plans."
    size_name = "plans"
    sizes = (3, 500, 1000, 2000, 4000)

    def measure(self, size: int, seed: int) -> slopes.QuantityValues:
        """Merge the entries of all plans and list them for anti-entropy."""
        entries = build_plan_entries(size)
        listed = tuple(
            gossip_messages.KeyVersion(entry.key, entry.version, entry.rank)
            for entry in entries
        )
        buckets = tuple(range(gossip.BUCKETS))
        reply = gossip_messages.SyncReply(buckets, listed, True)
        return {
            "memory KiB": measure_memory(
                lambda: build_node(build_plan_entries(size))
            ),
            "bytes of all entries": count_encoded_bytes(entries),
            "bytes to list all": float(len(GOSSIP_CODEC.encode(reply))),
        }


class HostList(slopes.SlopeMeasurement):
    """Bytes of the platform's host list, by hosts."""

    name = "slope_hosts"
    description = "Frame of the platform's host list, by hosts."
    size_name = "hosts"
    sizes = (16, 1000, 4000, 14500)

    def measure(self, size: int, seed: int) -> slopes.QuantityValues:
        """Encode a host list as the platform sends it."""
        hosts = tuple(
            ports.HostEntry(
                name=f"werkstatt-db-{number:04}-1",
                zone=f"zone-{number % ZONES:02}",
                address=f"10.{number >> 8}.{number & 255}.10:7200",
                role="endpoint",
                leaving=False,
            )
            for number in range(size)
        )
        message = platform_messages.HostsListed(1, 2, hosts)
        return {"bytes": float(len(PLATFORM_CODEC.encode(message)))}


def create_measurements() -> tuple[base.Measurement, ...]:
    """Return the measurements of this module."""
    return (MemberTable(), PlanTable(), HostList())
