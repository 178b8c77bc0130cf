"""What a daemon does for a group besides running its own statements."""

import dataclasses
import typing

from fescuestile_daemon.relay.core import messages

if typing.TYPE_CHECKING:
    from fescuestile_daemon.relay.groups import groups


@dataclasses.dataclass(frozen=True, slots=True)
class ConnectionLimit:
    """How this daemon uses the connections of an endpoint.

    :ivar cap: connections that it opens at most
    :ivar is_kept: whether it keeps idle ones
    """

    cap: int
    is_kept: bool


class GroupDuties:
    """Duties of a daemon that does everything for each group itself."""

    def update(self) -> None:
        """Determine the duties again; called before each check."""

    def is_watched(self, group: "groups.Group") -> bool:
        """Return whether it requests reports and replaces the primary."""
        return True

    def samples_alone(self, group: "groups.Group") -> bool:
        """Return whether it asks no other daemon for a fresh position."""
        return False

    def is_served_elsewhere(self, group: "groups.Group") -> bool:
        """Return whether a reachable daemon runs the group's work for it."""
        return False

    def find_connection_limit(
        self, group: "groups.Group", entry: messages.EndpointEntry
    ) -> ConnectionLimit | None:
        """Return the limit for an endpoint, None for the usual one."""
        return None
