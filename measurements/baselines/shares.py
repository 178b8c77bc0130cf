"""Placements in which each daemon admits for itself."""

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
        """Build a gate for each daemon and endpoint."""
        super().__init__(timeline, site, create_queue)
        self.gates = [
            [
                self.create_gate(
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
        done: flood_model.Done,
    ) -> None:
        """Admit a statement at the daemon that it came to."""
        self.gates[daemon][arrival.endpoint].offer(arrival, done)

    def kill(self, daemon: int) -> None:
        """Kill a daemon; its share is lost."""
        self.dead.add(daemon)
        for gate in self.gates[daemon]:
            gate.alive = False


class LeasedShares(FixedShares):
    """An endpoint's slots are leased to daemons by their demand.

    The shares follow the demand at each lease's end; the slots of a killed
    daemon return when their leases end.
    """

    def __init__(
        self,
        timeline: flood_model.Timeline,
        site: flood_work.Site,
        create_queue: flood_model.CreateQueue,
    ) -> None:
        """Give out first leases."""
        super().__init__(timeline, site, create_queue)
        self._turn = 0
        self._renew()

    def _renew(self) -> None:
        self._turn += 1
        for number, endpoint in enumerate(self.site.endpoints):
            self._lease(number, endpoint.slots)
        self.timeline.call_in(LEASE_SECONDS, self._renew)

    def _lease(self, endpoint: int, slots: int) -> None:
        daemons = len(self.gates)
        demands = [
            0 if daemon in self.dead else 1 + row[endpoint].demand
            for daemon, row in enumerate(self.gates)
        ]
        shares = [0] * daemons
        for _ in range(slots):
            # Ties go to another daemon each time.
            chosen = max(
                range(daemons),
                key=lambda daemon: (
                    demands[daemon] / (shares[daemon] + 1),
                    (daemon + self._turn) % daemons,
                ),
            )
            shares[chosen] += 1
        for daemon, row in enumerate(self.gates):
            gate = row[endpoint]
            gate.queue.set_slots(shares[daemon], self.timeline.now)
            if gate.alive:
                gate.advance()
