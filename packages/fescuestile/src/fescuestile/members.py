"""Members of the cluster: the daemons, their states and a snapshot."""

import dataclasses
import enum
import functools
import random


class MemberState(enum.StrEnum):
    """State of a daemon in the membership."""

    # Has no configuration yet.
    JOINING = "joining"
    ALIVE = "alive"
    SUSPECT = "suspect"
    LEAVING = "leaving"
    DEAD = "dead"
    # Its zone is out of reach, so that its actual state is unknown.
    UNREACHABLE = "unreachable"


@dataclasses.dataclass(frozen=True, slots=True)
class Member:
    """One daemon.

    :ivar id: unique name of the process, new at each start
    :ivar zone: availability zone
    :ivar link_address: ``IP:port`` for links from other daemons
    :ivar caller_address: ``IP:port`` for callers
    :ivar state: latest state published by the daemon or its zone
    :ivar incarnation: raised by the daemon with each change of its record
        and with each refuted suspicion
    """

    id: str
    zone: str
    link_address: str
    caller_address: str
    state: MemberState = MemberState.ALIVE
    incarnation: int = 0


@dataclasses.dataclass(frozen=True)
class MembershipSnapshot:
    """Members known to one daemon at one time.

    :ivar own: the daemon itself
    :ivar members: all daemons, itself included
    """

    own: Member
    members: tuple[Member, ...]

    @functools.cached_property
    def by_id(self) -> dict[str, Member]:
        """Daemons by id."""
        return {member.id: member for member in self.members}

    def sample_alternatives(
        self, count: int, random_source: random.Random
    ) -> tuple[Member, ...]:
        """Return a random sample of the daemons that a session can move to.

        Those of the own zone come first. The sample is random so that the
        sessions of a daemon that ends spread over several others.

        :param count: how many to return at most
        :param random_source: draws the sample
        """
        others = [
            member
            for member in self.list_serving()
            if member.id != self.own.id
        ]
        near = [member for member in others if member.zone == self.own.zone]
        far = [member for member in others if member.zone != self.own.zone]
        drawn = random_source.sample(near, min(count, len(near)))
        drawn += random_source.sample(far, min(count - len(drawn), len(far)))
        return tuple(drawn)

    def list_serving(self) -> tuple[Member, ...]:
        """Return the daemons that accept new work."""
        return tuple(
            member
            for member in self.members
            if member.state in (MemberState.ALIVE, MemberState.SUSPECT)
        )
