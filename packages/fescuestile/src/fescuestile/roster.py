"""Members by zone, and the codec of ``member/`` entries."""

import collections
import dataclasses

import cbor2
import expression
import pydantic

from fescuestile import errors
from fescuestile import gossip
from fescuestile import gossip_messages
from fescuestile import members
from fescuestile import rendezvous

STEP = "read member entry"
PREFIX = "member/"
BRIDGES_PER_ZONE = 3
WATCHERS_PER_ZONE = 2

RANK_BY_STATE = {
    members.MemberState.ALIVE: 0,
    members.MemberState.SUSPECT: 1,
    members.MemberState.LEAVING: 2,
    members.MemberState.JOINING: 3,
    members.MemberState.DEAD: gossip_messages.TOMBSTONE_RANK,
}
STATE_BY_RANK = {rank: state for state, rank in RANK_BY_STATE.items()}
SERVING_STATES = (members.MemberState.ALIVE, members.MemberState.SUSPECT)

_ADAPTER = pydantic.TypeAdapter(gossip_messages.MemberRecord)


def encode_entry(
    record: gossip_messages.MemberRecord,
) -> gossip_messages.Entry:
    """Encode a member record as a gossip entry."""
    member = record.member
    return gossip_messages.Entry(
        key=PREFIX + member.id,
        version=member.incarnation,
        rank=RANK_BY_STATE[member.state],
        value=cbor2.dumps(_ADAPTER.dump_python(record)),
    )


def decode_entry(
    entry: gossip_messages.Entry,
) -> expression.Result[gossip_messages.MemberRecord, errors.InvalidInput]:
    """Decode the member record of a gossip entry.

    State and incarnation follow from the entry's rank and version, whatever
    the encoded record holds.

    :returns: InvalidInput for a malformed entry
    """
    try:
        record = _ADAPTER.validate_python(cbor2.loads(entry.value))
        state = STATE_BY_RANK[entry.rank]
    except (cbor2.CBORDecodeError, pydantic.ValidationError, KeyError) as e:
        return expression.Error(
            errors.InvalidInput(str(e), STEP, field=entry.key)
        )
    if entry.key != PREFIX + record.member.id:
        return expression.Error(
            errors.InvalidInput(
                "member id does not match the entry key",
                STEP,
                field=entry.key,
            )
        )
    member = dataclasses.replace(
        record.member, state=state, incarnation=entry.version
    )
    return expression.Ok(dataclasses.replace(record, member=member))


class Roster:
    """Members by zone; chooses the bridges and watchers of zones."""

    def __init__(self, own: members.Member) -> None:
        self._own = own
        self._records: dict[str, gossip_messages.MemberRecord] = {}
        self._zones: dict[str, dict[str, gossip_messages.MemberRecord]] = (
            collections.defaultdict(dict)
        )
        self._bridges: dict[str, tuple[str, ...]] = {}
        self._topology: gossip.Topology | None = None

    def get(self, member_id: str) -> members.Member | None:
        """Return a member by id, None for an unknown id."""
        record = self._records.get(member_id)
        return record.member if record else None

    def list_others(self) -> list[str]:
        """Return the ids of all other members."""
        return [name for name in self._records if name != self._own.id]

    def update(self, record: gossip_messages.MemberRecord) -> None:
        """Add a member or replace its record."""
        member = record.member
        self._records[member.id] = record
        self._zones[member.zone][member.id] = record
        self._bridges.pop(member.zone, None)
        self._topology = None

    def remove(self, member_id: str) -> None:
        """Remove a member, if it is known."""
        record = self._records.pop(member_id, None)
        if record is None:
            return
        zone = record.member.zone
        del self._zones[zone][member_id]
        self._bridges.pop(zone, None)
        self._topology = None

    def list_zone(
        self, zone: str, states: tuple[members.MemberState, ...]
    ) -> list[members.Member]:
        """Return the members of a zone that are in given states."""
        return [
            record.member
            for record in self._zones[zone].values()
            if record.member.state in states
        ]

    def list_eligible(self, zone: str) -> list[str]:
        """Return the daemons of a zone that can be bridges or watchers.

        These are the serving ones; joining ones only while none serves.
        """
        eligible = self.list_zone(zone, SERVING_STATES) or self.list_zone(
            zone, (members.MemberState.JOINING,)
        )
        return [member.id for member in eligible]

    def find_bridges(self, zone: str) -> tuple[str, ...]:
        """Return the ids of a zone's bridges, by rendezvous hashing."""
        if zone not in self._bridges:
            self._bridges[zone] = rendezvous.choose(
                f"bridge/{zone}", self.list_eligible(zone), BRIDGES_PER_ZONE
            )
        return self._bridges[zone]

    def is_watcher(self) -> bool:
        """Return whether this daemon is a watcher of its zone."""
        chosen = rendezvous.choose(
            f"watch/{self._own.zone}",
            self.list_eligible(self._own.zone),
            WATCHERS_PER_ZONE,
        )
        return self._own.id in chosen

    def find_topology(self) -> gossip.Topology:
        """Return the gossip peers of this daemon."""
        if self._topology is None:
            self._topology = self._build_topology()
        return self._topology

    def list_unreachable(self) -> frozenset[str]:
        """Return the zones that all bridges of the own zone cannot reach."""
        reported = [
            set(self._records[bridge].unreachable)
            for bridge in self.find_bridges(self._own.zone)
        ]
        return (
            frozenset(set.intersection(*reported)) if reported else frozenset()
        )

    def list_members(self) -> tuple[members.Member, ...]:
        """Return all members; those in unreachable zones are marked so."""
        unreachable = self.list_unreachable()
        return tuple(
            dataclasses.replace(
                record.member, state=members.MemberState.UNREACHABLE
            )
            if record.member.zone in unreachable
            and record.member.state in SERVING_STATES
            else record.member
            for record in self._records.values()
        )

    def _build_topology(self) -> gossip.Topology:
        present = (
            *SERVING_STATES,
            members.MemberState.LEAVING,
            members.MemberState.JOINING,
        )
        neighbours = tuple(
            member.id
            for member in self.list_zone(self._own.zone, present)
            if member.id != self._own.id
        )
        bridges = {
            zone: self.find_bridges(zone)
            for zone in self._zones
            if zone != self._own.zone and self.find_bridges(zone)
        }
        is_bridge = self._own.id in self.find_bridges(self._own.zone)
        return gossip.Topology(neighbours, bridges, is_bridge)
