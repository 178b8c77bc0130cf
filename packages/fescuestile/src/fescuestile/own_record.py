"""What a daemon says of itself."""

import dataclasses

from fescuestile import gossip_messages
from fescuestile import members


class OwnRecord:
    """The own record; each change has a higher incarnation."""

    def __init__(self, own: members.Member) -> None:
        self.record = gossip_messages.MemberRecord(own)

    @property
    def member(self) -> members.Member:
        """The own daemon."""
        return self.record.member

    def set_state(self, state: members.MemberState) -> None:
        """Say a new state."""
        self._change(dataclasses.replace(self.member, state=state))

    def set_unreachable(self, zones: tuple[str, ...]) -> None:
        """Say which zones this bridge hears nothing from."""
        self._change(self.member, zones)

    def refute(self, incarnation: int) -> None:
        """Repeat the own state above what others said of it."""
        above = max(incarnation, self.member.incarnation)
        self._change(dataclasses.replace(self.member, incarnation=above))

    def _change(
        self,
        member: members.Member,
        unreachable: tuple[str, ...] | None = None,
    ) -> None:
        self.record = gossip_messages.MemberRecord(
            dataclasses.replace(member, incarnation=member.incarnation + 1),
            self.record.unreachable if unreachable is None else unreachable,
        )
