"""Owner of an endpoint with forwarding: the placement that is ours."""

from fescuestile import members
from fescuestile import ownership
from measurements import flood_model
from measurements import flood_work

# Time in which a killed daemon's endpoints are taken up.
TAKE_UP_SECONDS = 3.0


class OwnerPlacement(flood_model.Placement):
    """One queue for each endpoint, at its owner; others forward."""

    def __init__(
        self,
        timeline: flood_model.Timeline,
        site: flood_work.Site,
        create_queue: flood_model.CreateQueue,
    ) -> None:
        """Find the owners and build their gates."""
        super().__init__(timeline, site, create_queue)
        self._owners = [
            self._find_owner(number) for number in range(len(site.endpoints))
        ]
        self._gates = [
            self.create_gate(owner, number, site.endpoints[number].slots)
            for number, owner in enumerate(self._owners)
        ]

    def admit(
        self,
        arrival: flood_work.Arrival,
        daemon: int,
        done: flood_model.Done,
    ) -> None:
        """Forward a statement to the owner, one hop there and back."""
        owner = self._owners[arrival.endpoint]
        gate = self._gates[arrival.endpoint]
        one, other = self.site.zones[daemon], self.site.zones[owner]
        if self.is_cut(one, other):
            return
        if owner == daemon:
            gate.offer(arrival, done)
            return
        hop = self.measure_hop(one, other)
        self.timeline.call_in(
            hop,
            lambda: gate.offer(
                arrival, lambda: self.timeline.call_in(hop, done)
            ),
        )

    def kill(self, daemon: int) -> None:
        """Kill a daemon; what it owned is taken up after a while."""
        self.dead.add(daemon)
        for number, owner in enumerate(self._owners):
            if owner == daemon:
                self._gates[number].alive = False
        self.timeline.call_in(TAKE_UP_SECONDS, self._take_up)

    def _take_up(self) -> None:
        for number, owner in enumerate(self._owners):
            if owner in self.dead:
                self._owners[number] = self._find_owner(number)
                self._gates[number] = self.create_gate(
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
