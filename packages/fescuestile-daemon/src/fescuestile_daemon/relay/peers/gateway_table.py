"""Gateways in force, as this daemon sees them."""

import time
import typing

import structlog

from fescuestile import gateways
from fescuestile import position_sharing
from fescuestile_daemon.relay.core import messages
from fescuestile_daemon.relay.core import options
from fescuestile_daemon.relay.groups import directory
from fescuestile_daemon.relay.groups import group_duties
from fescuestile_daemon.relay.groups import groups
from fescuestile_daemon.relay.groups import report_requests

log = structlog.get_logger()


class PeerView(typing.Protocol):
    """What the links know of the registered daemons."""

    def get_peers(self) -> tuple[position_sharing.Peer, ...]:
        """Return the other registered daemons."""

    def is_reachable(self, peer: str) -> bool:
        """Return False for a while after a failure or a leaving notice."""


class GatewayTable(group_duties.GroupDuties):
    """Finds the gateways of the groups and what this daemon does for them."""

    def __init__(
        self,
        name: str,
        zone: str,
        routes: directory.Directory,
        relay_options: options.RelayOptions,
    ) -> None:
        """Start without peers, so that each group is served directly.

        :param name: name of this daemon among its peers
        :param zone: its availability zone
        :param routes: holds the groups and the configuration
        """
        self._name = name
        self._zone = zone
        self._directory = routes
        self._options = relay_options
        self._links: PeerView | None = None
        self._own_peer: position_sharing.Peer | None = None
        self._peers: tuple[position_sharing.Peer, ...] = ()
        self._peer_zones: frozenset[str] = frozenset()
        self._ranked: dict[tuple[str, str], tuple[str, ...]] = {}
        self._in_use: set[str] = set()
        # Zones whose endpoints this daemon serves, by group; as of the latest
        # update, because finding them for each statement is too much work.
        self._own: dict[str, frozenset[str]] = {}

    def set_links(self, links: PeerView, own: position_sharing.Peer) -> None:
        """Use the peers that some links know.

        :param own: this daemon as it is registered
        """
        self._links = links
        self._own_peer = own

    def is_in_use(self, group: groups.Group) -> bool:
        """Return whether a group is served through gateways."""
        return group.name in self._in_use

    def update(self) -> None:
        """Determine which groups are served through gateways, and by whom."""
        self._read_peers()
        table = self._directory.table
        for group in list(self._directory.groups.values()):
            limits = table.groups.get(group.name)
            in_use = (
                limits is not None
                and len(self._peers) > 1
                and gateways.needs_gateways(
                    len(self._peers),
                    limits.connections,
                    bool(table.tenant_table),
                    group.name in self._in_use,
                )
            )
            before = self.is_in_use(group), self._list_own(group)
            (self._in_use.add if in_use else self._in_use.discard)(group.name)
            zones = self._find_own(group) if in_use else frozenset()
            if zones:
                self._own[group.name] = zones
            else:
                self._own.pop(group.name, None)
            if before == (in_use, zones):
                continue
            log.info(
                "gateways of the group changed",
                group=group.name,
                in_use=in_use,
                own_zones=sorted(zones),
                daemons=len(self._peers),
            )
            self._directory.apply_limits(group)

    def _read_peers(self) -> None:
        if self._links is None or self._own_peer is None:
            return
        peers = (self._own_peer, *self._links.get_peers())
        if peers != self._peers:
            self._ranked.clear()
            self._peer_zones = frozenset(peer.zone for peer in peers)
            self._peers = peers

    def list_candidates(
        self, group: groups.Group, needs_primary: bool
    ) -> tuple[str, ...]:
        """Return the daemons to run some work, the gateway first.

        Only daemons that can be reached are listed, this one among them.

        :param needs_primary: whether only the primary can do the work
        :returns: empty if this daemon is to run it anyway
        """
        if not self.is_in_use(group):
            return ()
        zones = frozenset(e.entry.zone for e in group.endpoints.values())
        zone = (
            gateways.choose_primary_zone(
                group.name, self._find_primary_zone(group), zones
            )
            if needs_primary
            else gateways.choose_read_zone(group.name, self._zone, zones)
        )
        return self._list_reachable(group.name, zone) if zone else ()

    def _find_primary_zone(self, group: groups.Group) -> str:
        """Return the zone of the primary by the registry, empty for none.

        Reports are left out: only some daemons have them, and all must
        choose the same gateway.
        """
        claimed = [
            endpoint.entry
            for endpoint in group.endpoints.values()
            if endpoint.entry.claims_primary
        ]
        if not claimed:
            return ""
        return max(claimed, key=lambda e: (e.started_at, e.id)).zone

    def _list_reachable(self, group: str, zone: str) -> tuple[str, ...]:
        return tuple(filter(self._is_reachable, self._rank(group, zone)))

    def _find_first(self, group: str, zone: str) -> str | None:
        ranked = self._rank(group, zone)
        return next(filter(self._is_reachable, ranked), None)

    def _rank(self, group: str, zone: str) -> tuple[str, ...]:
        ranked = self._ranked.get((group, zone))
        if ranked is None:
            ranked = self._ranked[group, zone] = gateways.rank_candidates(
                group,
                gateways.choose_daemon_zone(group, zone, self._peer_zones),
                self._peers,
            )
        return ranked

    def _is_reachable(self, name: str) -> bool:
        return name == self._name or (
            self._links is not None and self._links.is_reachable(name)
        )

    def is_gateway(self, group: groups.Group) -> bool:
        """Return whether this daemon is the gateway of a zone's endpoint."""
        return bool(self._list_own(group))

    def _list_own(self, group: groups.Group) -> frozenset[str]:
        return self._own.get(group.name, frozenset())

    def _find_own(self, group: groups.Group) -> frozenset[str]:
        """Return the zones with an endpoint that this daemon serves."""
        return frozenset(
            zone
            for zone in {e.entry.zone for e in group.endpoints.values()}
            if self._find_first(group.name, zone) == self._name
        )

    # Duties

    def is_watched(self, group: groups.Group) -> bool:
        """Return whether it requests reports and replaces the primary.

        A daemon that has just run statements for a group watches it, so that
        a failed primary is also replaced when the gateways are gone.
        """
        return (
            not self.is_in_use(group)
            or self.is_gateway(group)
            or time.monotonic() - group.used_at
            <= report_requests.UNUSED_SECONDS
        )

    def samples_alone(self, group: groups.Group) -> bool:
        """Return whether it asks no other daemon for a fresh position.

        The daemon that it would ask may have no connections to the group.
        """
        return self.is_in_use(group)

    def is_served_elsewhere(self, group: groups.Group) -> bool:
        """Return whether a reachable daemon runs the group's work for it."""
        candidates = self.list_candidates(group, needs_primary=True)
        return bool(candidates) and candidates[0] != self._name

    def find_connection_limit(
        self, group: groups.Group, entry: messages.EndpointEntry
    ) -> group_duties.ConnectionLimit | None:
        """Return the limit for an endpoint, None for the usual one."""
        limits = self._directory.table.groups.get(group.name)
        if limits is None or not self.is_in_use(group):
            return None
        least = self._options.min_connections
        if not self.is_gateway(group):
            return group_duties.ConnectionLimit(least, is_kept=False)
        share = (
            self._options.gateway_share
            if entry.zone in self._list_own(group)
            else self._options.remote_gateway_share
        )
        cap = max(least, int(limits.connections * share))
        return group_duties.ConnectionLimit(cap, is_kept=True)
