"""Leaving marks of hosts and endpoints, from the platform's host list.

Watchers turn the list into gossip entries. A mark takes effect at once. It
is cleared only after the list has been without it for CLEAR_AFTER_SECONDS,
because the list lags and watchers see versions of it of different age.
"""

import dataclasses
import typing

import cbor2
import pydantic

from fescuestile import gossip_messages
from fescuestile import members
from fescuestile import ports

PREFIX = "leaving/"
CLEAR_AFTER_SECONDS = 10.0
DAEMON_ROLE = "daemon"

_ADAPTER = pydantic.TypeAdapter(ports.HostEntry)


def decode_entry(entry: gossip_messages.Entry) -> ports.HostEntry | None:
    """Decode the host of a gossip entry, None for a malformed entry."""
    try:
        host = _ADAPTER.validate_python(cbor2.loads(entry.value))
    except (cbor2.CBORDecodeError, ValueError):
        return None
    return host if entry.key == PREFIX + host.name else None


def encode_entry(host: ports.HostEntry, version: int) -> gossip_messages.Entry:
    """Encode a host as a gossip entry.

    Of two entries of the same version, the one that is leaving takes
    precedence.
    """
    return gossip_messages.Entry(
        key=PREFIX + host.name,
        version=version,
        rank=int(host.leaving),
        value=cbor2.dumps(_ADAPTER.dump_python(host)),
    )


class LeavingMarks:
    """Leaving marks in force, and their reconciliation with the host list."""

    def __init__(self) -> None:
        self._held: dict[str, gossip_messages.Entry] = {}
        self._hosts: dict[str, ports.HostEntry] = {}
        self._unmarked_since: dict[str, float] = {}

    def apply(self, entry: gossip_messages.Entry) -> bool:
        """Apply a gossip entry.

        :returns: whether it took precedence over the one held
        """
        host = decode_entry(entry)
        held = self._held.get(entry.key)
        if host is None or (held and held.precedence >= entry.precedence):
            return False
        self._held[entry.key] = entry
        self._hosts[host.name] = host
        self._unmarked_since.pop(host.name, None)
        return True

    def reconcile(
        self, hosts: typing.Iterable[ports.HostEntry], now: float
    ) -> list[gossip_messages.Entry]:
        """Return the entries that bring the marks in line with a list.

        :param hosts: the host list, just read
        """
        return [
            encode_entry(host, self._find_version(host.name) + 1)
            for host in hosts
            if self._needs_change(host, now)
        ]

    def list_endpoints(self) -> frozenset[str]:
        """Return the names of the endpoints that are leaving."""
        return frozenset(
            host.name
            for host in self._hosts.values()
            if host.leaving and host.role != DAEMON_ROLE
        )

    def list_daemons(self) -> frozenset[str]:
        """Return the link addresses of the daemons that are leaving."""
        return frozenset(
            host.address
            for host in self._hosts.values()
            if host.leaving and host.role == DAEMON_ROLE
        )

    def _needs_change(self, host: ports.HostEntry, now: float) -> bool:
        held = self._hosts.get(host.name)
        marked = held is not None and held.leaving
        if host.leaving or not marked:
            self._unmarked_since.pop(host.name, None)
            return host.leaving and not marked
        since = self._unmarked_since.setdefault(host.name, now)
        return now - since >= CLEAR_AFTER_SECONDS

    def _find_version(self, name: str) -> int:
        held = self._held.get(PREFIX + name)
        return held.version if held else 0


def mark_members(
    snapshot: members.MembershipSnapshot, addresses: frozenset[str]
) -> members.MembershipSnapshot:
    """Return a snapshot in which the daemons of leaving hosts are leaving.

    :param addresses: link addresses of the leaving daemons
    """
    if not addresses:
        return snapshot

    def mark(member: members.Member) -> members.Member:
        serving = member.state in (
            members.MemberState.ALIVE,
            members.MemberState.SUSPECT,
        )
        if not serving or member.link_address not in addresses:
            return member
        return dataclasses.replace(member, state=members.MemberState.LEAVING)

    return members.MembershipSnapshot(
        mark(snapshot.own), tuple(mark(m) for m in snapshot.members)
    )
