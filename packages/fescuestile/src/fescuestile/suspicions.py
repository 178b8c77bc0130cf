"""Daemons that are suspected or dead, and since when."""

import dataclasses

from fescuestile import members

TOMBSTONE_SECONDS = 7200.0


@dataclasses.dataclass
class Suspicions:
    """Timers of suspected and dead daemons.

    :ivar timeout: seconds from suspicion to death
    :ivar zone: zone whose daemons are judged here
    """

    timeout: float
    zone: str
    _suspected_at: dict[str, float] = dataclasses.field(default_factory=dict)
    _dead_at: dict[str, float] = dataclasses.field(default_factory=dict)

    def track(self, member: members.Member, now: float) -> None:
        """Take a daemon's new state."""
        self.clear(member.id)
        self._dead_at.pop(member.id, None)
        if member.state is members.MemberState.SUSPECT:
            self.suspect(member, now)
        elif member.state is members.MemberState.DEAD:
            self._dead_at[member.id] = now

    def suspect(self, member: members.Member, now: float) -> None:
        """Start the timer of a daemon, unless it runs."""
        if member.zone == self.zone:
            self._suspected_at.setdefault(member.id, now)

    def clear(self, member_id: str) -> None:
        """Stop the timer of a daemon."""
        self._suspected_at.pop(member_id, None)

    def list_expired(self, now: float) -> list[str]:
        """Return the daemons whose suspicion has lasted long enough."""
        return [
            member_id
            for member_id, since in self._suspected_at.items()
            if now - since >= self.timeout
        ]

    def take_forgotten(self, now: float) -> list[str]:
        """Return the daemons whose tombstones may be dropped."""
        forgotten = [
            member_id
            for member_id, since in self._dead_at.items()
            if now - since >= TOMBSTONE_SECONDS
        ]
        for member_id in forgotten:
            del self._dead_at[member_id]
        return forgotten

    def restart(self, now: float) -> None:
        """Start all timers anew, after a pause of this process."""
        self._suspected_at = dict.fromkeys(self._suspected_at, now)
