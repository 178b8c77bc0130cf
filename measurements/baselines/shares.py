"""Placements in which each daemon has its own admission controllers."""

from measurements import flood_model
from measurements import flood_work

LEASE_SECONDS = 0.1


class FixedShares(flood_model.Placement):
    """Each daemon has a fixed share of each endpoint, at least one slot."""

    def __init__(
        self,
        timeline: flood_model.Timeline,
        site: flood_work.Site,
        create_queue: flood_model.CreateQueue,
    ) -> None:
        """Create a controller for each daemon and endpoint."""
        super().__init__(timeline, site, create_queue)
        self.controllers = [
            [
                self.create_controller(
                    daemon,
                    number,
                    max(1, endpoint.slots // len(site.zones)),
                )
                for number, endpoint in enumerate(site.endpoints)
            ]
            for daemon in range(len(site.zones))
        ]

    def admit(
        self,
        arrival: flood_work.Arrival,
        daemon: int,
        done: flood_model.Callback,
    ) -> None:
        """Admit a statement at the daemon that received it."""
        self.controllers[daemon][arrival.endpoint].offer(arrival, done)

    def kill(self, daemon: int) -> None:
        """Kill a daemon; its share of the slots is lost."""
        self.dead.add(daemon)
        for controller in self.controllers[daemon]:
            controller.alive = False


class LeasedShares(FixedShares):
    """Slots are leased to the daemons in proportion to their demand.

    Shares are recomputed each time the leases expire, so the slots of a
    killed daemon become available again at the next expiry.
    """

    def __init__(
        self,
        timeline: flood_model.Timeline,
        site: flood_work.Site,
        create_queue: flood_model.CreateQueue,
    ) -> None:
        """Grant the first leases."""
        super().__init__(timeline, site, create_queue)
        self._round = 0
        self._renew_leases()

    def _renew_leases(self) -> None:
        self._round += 1
        for number, endpoint in enumerate(self.site.endpoints):
            self._grant(number, endpoint.slots)
        self.timeline.call_in(LEASE_SECONDS, self._renew_leases)

    def _grant(self, endpoint: int, slots: int) -> None:
        daemons = len(self.controllers)
        demands = [
            0 if daemon in self.dead else 1 + row[endpoint].demand
            for daemon, row in enumerate(self.controllers)
        ]
        shares = [0] * daemons
        for _ in range(slots):
            # Break ties in favor of a different daemon in each round.
            chosen = max(
                range(daemons),
                key=lambda daemon: (
                    demands[daemon] / (shares[daemon] + 1),
                    (daemon + self._round) % daemons,
                ),
            )
            shares[chosen] += 1
        for daemon, row in enumerate(self.controllers):
            controller = row[endpoint]
            controller.queue.set_slots(shares[daemon], self.timeline.now)
            if controller.alive:
                controller.advance()
