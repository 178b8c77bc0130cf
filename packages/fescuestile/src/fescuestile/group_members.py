"""Members of a group: endpoints that may hold acknowledged writes.

An endpoint is a member from when it is first known until others hold what it
may have held, also while its registry entry is missing. What one daemon has
seen ends with its process, so daemons share the members in a record.
"""

import dataclasses
import typing

# A member that is missing for this time is treated as gone: longer than an
# endpoint that crashed takes to come back, and than an outage of the registry
# hides entries.
MISSING_SECONDS = 15.0
# Entries that an outage of the registry hid are back within two seconds.
SETTLE_SECONDS = 2.5


@dataclasses.dataclass(frozen=True, order=True, slots=True)
class Member:
    """One run of an endpoint.

    :ivar name: the endpoint's id
    :ivar started_at: Unix milliseconds of its start; an endpoint that starts
        again is another member, which may hold nothing of before
    """

    name: str
    started_at: int


@dataclasses.dataclass(frozen=True, slots=True)
class Absence:
    """Why a member is not among the endpoints in use.

    :ivar since: monotonic seconds
    :ivar has_left: whether it ended after its notice
    """

    since: float
    has_left: bool


class GroupMembers:
    """The members of one group, as one daemon knows them.

    :ivar recorded: members in the record when it was last read or written,
        None before the first time
    :ivar is_awaited: whether writes wait for a member that is not in it yet
    """

    def __init__(self) -> None:
        """Start without members."""
        self.recorded: frozenset[Member] | None = None
        self.is_awaited = False
        self._known_since: float | None = None
        self._present: dict[str, Member] = {}
        self._absent: dict[Member, Absence] = {}
        self._released: set[Member] = set()
        self._kept: frozenset[Member] = frozenset()
        # Released members that the record has named before.
        self._dropped: set[Member] = set()

    @property
    def is_loaded(self) -> bool:
        """Whether the record has been read."""
        return self.recorded is not None

    @property
    def absent(self) -> int:
        """Number of members that are not among the endpoints in use."""
        return len(self._absent)

    @property
    def ended(self) -> int:
        """Number of absent members whose processes have ended for good."""
        return sum(self._has_ended(member) for member in self._absent)

    @property
    def hidden(self) -> int:
        """Number of absent members whose processes may still run."""
        return self.absent - self.ended

    def _has_ended(self, member: Member) -> bool:
        """Return whether an absent member left or has started again."""
        return self._absent[member].has_left or member.name in self._present

    def count(self) -> int:
        """Return the number of members."""
        return len(self._present) + len(self._absent)

    def is_settled(self, now: float) -> bool:
        """Return whether all endpoints that run have been seen here.

        :param now: monotonic seconds
        """
        since = self._known_since
        return since is not None and now - since > SETTLE_SECONDS

    def add(self, member: Member, now: float) -> None:
        """Add an endpoint in use.

        :param now: monotonic seconds
        """
        if self._known_since is None:
            self._known_since = now
        self._present[member.name] = member
        self._absent.pop(member, None)
        self._released.discard(member)
        self._dropped.discard(member)

    def remove(self, name: str, now: float, has_left: bool) -> None:
        """Record that an endpoint is not in use any more.

        :param now: monotonic seconds
        :param has_left: whether it ended after its notice
        """
        member = self._present.pop(name, None)
        if member is not None:
            self._absent[member] = Absence(now, has_left)

    @property
    def forgotten(self) -> frozenset[Member]:
        """Members that were recorded, and that an older record lacks."""
        return self._kept - (self.recorded or frozenset()) - self._released

    def apply_record(
        self,
        recorded: typing.Iterable[Member],
        now: float,
        may_be_older: bool = False,
    ) -> None:
        """Apply the record that has just been read.

        Members that are unknown here count as missing from now on. Those that
        were recorded before, and are not any more, were released by another
        daemon, or forgotten.

        :param now: monotonic seconds
        :param may_be_older: whether the record may be older than the one
            before, so that it releases no member
        """
        before = self.recorded or frozenset()
        self.recorded = frozenset(recorded)
        if may_be_older:
            self._kept |= before
            self._released |= self._dropped & self.recorded
        else:
            self._kept = frozenset()
            for member in before - self.recorded:
                self._absent.pop(member, None)
            self._dropped |= before - self.recorded
        self._released &= self.recorded | self._kept
        present = set(self._present.values())
        for member in self.recorded - present - self._released:
            self._absent.setdefault(member, Absence(now, has_left=False))

    def put_record(self, recorded: frozenset[Member]) -> None:
        """Put the record that has just been written."""
        self._dropped |= (self.recorded or frozenset()) - recorded
        self.recorded = recorded

    def release(
        self,
        now: float,
        replicated_at: float,
        has_primary: bool,
        primary_has_left: bool,
    ) -> None:
        """Release absent members of which the group needs nothing more.

        Beside a primary that is known these are members that do not come
        back, once a replica has received all that the primary held after
        their end. Without one, nothing better is to come after a while, or
        at once if the primary has left.

        :param now: monotonic seconds
        :param replicated_at: monotonic seconds of the latest position of the
            primary that a replica has reached
        :param has_primary: whether an endpoint in use is the primary
        :param primary_has_left: whether the last primary ended after its
            notice
        """
        for member, absence in list(self._absent.items()):
            is_missing_long = now - absence.since > MISSING_SECONDS
            if replicated_at > absence.since or primary_has_left:
                is_released = is_missing_long or self._has_ended(member)
            else:
                is_released = is_missing_long and not has_primary
            if is_released:
                del self._absent[member]
                self._released.add(member)

    def make_record(self) -> frozenset[Member]:
        """Return what the record should hold, by what is known here."""
        return frozenset(
            {*self._present.values(), *self._absent}
            | ((self.recorded or frozenset()) - self._released)
        )
