"""Placement of admission queues at the endpoints' owners."""

from fescuestile import members
from fescuestile import ownership
from measurements import flood_model
from measurements import flood_work

# Time until the endpoints of a killed daemon have new owners.
REASSIGNMENT_SECONDS = 3.0


class OwnerPlacement(flood_model.Placement):
    """One queue for each endpoint, at its owner; other daemons forward.

    This is the placement that the daemons implement.
    """

    def __init__(
        self,
        timeline: flood_model.Timeline,
        site: flood_work.Site,
        create_queue: flood_model.CreateQueue,
    ) -> None:
        """Find the owners and create their admission controllers."""
        super().__init__(timeline, site, create_queue)
        self._owners = [
            self._find_owner(number) for number in range(len(site.endpoints))
        ]
        self._admissions = [
            self.create_controller(owner, number, site.endpoints[number].slots)
            for number, owner in enumerate(self._owners)
        ]

    def admit(
        self,
        arrival: flood_work.Arrival,
        daemon: int,
        done: flood_model.Callback,
    ) -> None:
        """Admit a statement at the owner, one hop there and one back."""
        owner = self._owners[arrival.endpoint]
        admission = self._admissions[arrival.endpoint]
        zone, owner_zone = self.site.zones[daemon], self.site.zones[owner]
        if self.is_partitioned(zone, owner_zone):
            return
        if owner == daemon:
            admission.offer(arrival, done)
            return
        hop = self.get_hop_seconds(zone, owner_zone)
        self.timeline.call_in(
            hop,
            lambda: admission.offer(
                arrival, lambda: self.timeline.call_in(hop, done)
            ),
        )

    def kill(self, daemon: int) -> None:
        """Kill a daemon; its endpoints are reassigned after a delay."""
        self.dead.add(daemon)
        for number, owner in enumerate(self._owners):
            if owner == daemon:
                self._admissions[number].alive = False
        self.timeline.call_in(REASSIGNMENT_SECONDS, self._reassign)

    def _reassign(self) -> None:
        for number, owner in enumerate(self._owners):
            if owner in self.dead:
                self._owners[number] = self._find_owner(number)
                self._admissions[number] = self.create_controller(
                    self._owners[number],
                    number,
                    self.site.endpoints[number].slots,
                )

    def _find_owner(self, endpoint: int) -> int:
        daemons = tuple(
            members.Member(str(number), zone, "", "")
            for number, zone in enumerate(self.site.zones)
            if number not in self.dead
        )
        snapshot = members.MembershipSnapshot(daemons[0], daemons)
        owner = ownership.find_owner(self.site.endpoints[endpoint], snapshot)
        assert owner is not None
        return int(owner.id)
