"""The record that a daemon publishes about itself."""

import dataclasses

from fescuestile import gossip_messages
from fescuestile import members


class OwnRecord:
    """Own member record; each change raises the incarnation."""

    def __init__(self, own: members.Member) -> None:
        self.record = gossip_messages.MemberRecord(own)

    @property
    def member(self) -> members.Member:
        """The own daemon as published."""
        return self.record.member

    def set_state(self, state: members.MemberState) -> None:
        """Publish a new state."""
        self._change(dataclasses.replace(self.member, state=state))

    def set_unreachable(self, zones: tuple[str, ...]) -> None:
        """Publish the zones that this bridge cannot reach."""
        self._change(self.member, zones)

    def refute(self, incarnation: int) -> None:
        """Publish the own state again, above an entry of other daemons.

        :param incarnation: incarnation of that entry
        """
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
