"""Store of the records of the groups' members."""

import abc
import collections.abc
import dataclasses

from fescuestile import group_members
from fescuestile import pending_promotions


@dataclasses.dataclass(frozen=True, slots=True)
class StoredMembers:
    """A record and its revision, on which a later write is conditional.

    :ivar members: None if the record is malformed
    :ivar revision: None when there is no record yet
    :ivar pending: promotion that may still take effect
    :ivar replaced_term: highest term whose primary may have been replaced
    :ivar era: era of the store in which it was read, 0 for none; its revision
        is comparable within it only
    :ivar settled_era: latest era in which it was known to lack no promotion
        of an earlier one
    """

    members: frozenset[group_members.Member] | None
    revision: int | None
    pending: pending_promotions.PendingPromotion | None = None
    replaced_term: int = 0
    era: int = 0
    settled_era: int = 0


NO_RECORD = StoredMembers(frozenset(), None)


class MemberStore(abc.ABC):
    """Store of the records."""

    @property
    def era(self) -> int:
        """Latest era in which the store has answered, 0 for none."""
        return 0

    @abc.abstractmethod
    async def read(self, group: str) -> StoredMembers:
        """Return the record of a group.

        :raises PlatformUnavailable: the store did not answer
        """

    @abc.abstractmethod
    async def list_all(
        self, allow_stale: bool = False
    ) -> collections.abc.Mapping[str, StoredMembers]:
        """Return the records of all groups that have one, by group.

        :param allow_stale: whether they may be seconds old
        :raises PlatformUnavailable: the store did not answer
        """

    @abc.abstractmethod
    async def write(
        self, group: str, wanted: StoredMembers
    ) -> StoredMembers | None:
        """Write a record if its revision is still that of the wanted one.

        Its era must be that of the read, too.

        :param wanted: with the revision None to create the record
        :returns: the record as it was written, None when the revision has
            changed
        :raises PlatformRefused: nothing was written
        :raises PlatformUnavailable: no answer; it may have been written
        """
