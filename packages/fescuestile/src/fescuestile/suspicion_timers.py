"""Timers of suspected daemons and of tombstones."""

import dataclasses

from fescuestile import members

TOMBSTONE_SECONDS = 7200.0


@dataclasses.dataclass
class SuspicionTimers:
    """Since when daemons are suspected or dead.

    :ivar timeout: seconds from suspicion until a daemon is declared dead
    :ivar zone: own zone; only its daemons are declared dead here
    """

    timeout: float
    zone: str
    _suspected_at: dict[str, float] = dataclasses.field(default_factory=dict)
    _dead_at: dict[str, float] = dataclasses.field(default_factory=dict)

    def update(self, member: members.Member, now: float) -> None:
        """Start and stop a daemon's timers according to its new state."""
        self.stop(member.id)
        self._dead_at.pop(member.id, None)
        if member.state is members.MemberState.SUSPECT:
            self.start(member, now)
        elif member.state is members.MemberState.DEAD:
            self._dead_at[member.id] = now

    def start(self, member: members.Member, now: float) -> None:
        """Start the suspicion timer of a daemon, unless it is running."""
        if member.zone == self.zone:
            self._suspected_at.setdefault(member.id, now)

    def stop(self, member_id: str) -> None:
        """Stop the suspicion timer of a daemon."""
        self._suspected_at.pop(member_id, None)

    def list_expired(self, now: float) -> list[str]:
        """Return the daemons whose suspicion has timed out."""
        return [
            member_id
            for member_id, since in self._suspected_at.items()
            if now - since >= self.timeout
        ]

    def pop_expired_tombstones(self, now: float) -> list[str]:
        """Remove and return the daemons whose tombstones have expired."""
        expired = [
            member_id
            for member_id, since in self._dead_at.items()
            if now - since >= TOMBSTONE_SECONDS
        ]
        for member_id in expired:
            del self._dead_at[member_id]
        return expired

    def restart_all(self, now: float) -> None:
        """Restart the suspicion timers after a pause of this process."""
        self._suspected_at = dict.fromkeys(self._suspected_at, now)
