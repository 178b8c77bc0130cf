"""Simulated group of which a zone is cut off with one daemon for a while.

The registry drops the members of the zone. The daemon in it keeps its copies
of the registry and the record, and reaches no other members.
"""

import asyncio

from tests import late_orders

CUT_SHARE = 0.5
# Up to four times as long as until a missing member is released.
CUT_SECONDS = (10.0, 60.0)


class CutWorld(late_orders.LateWorld):
    """A group whose members on one side are cut off at times."""

    def __init__(self, seed, hides_unrecorded=False):
        super().__init__(seed, hides_unrecorded)
        self._zone = None
        self._cut_until = 0.0

    async def change(self):
        """Change members, and cut off or rejoin a zone."""
        await super().change()
        now = asyncio.get_running_loop().time()
        inside = self.daemons[0]
        if self._zone is None and self.random.random() < CUT_SHARE:
            newest = max(self.endpoints.values(), key=lambda e: e.term)
            self._zone = self.side[newest.name]
            self._cut_until = now + self.random.uniform(*CUT_SECONDS)
            inside.is_cut_off = True
            self.record(f"side {self._zone} cut off")
        elif self._zone is not None and now >= self._cut_until:
            self._zone = None
            inside.is_cut_off = False
            inside.read_registry()
            self.record("cut off no more")
        if self._zone is not None:
            self._separate()

    def _separate(self):
        zone = {
            name for name in self.endpoints if self.side[name] == self._zone
        }
        self.linked = False
        # The registry never names nobody.
        self.hidden = zone if zone < self.endpoints.keys() else set()
        for daemon in self.daemons:
            daemon.vantage.unreachable = (
                set(self.endpoints) - zone if daemon.is_cut_off else set(zone)
            )
            daemon.read_registry()

    def change_links(self):
        """Change links, but not across the cut."""
        if self._zone is None:
            super().change_links()
