"""Simulated group whose promotions may take effect seconds late.

An order takes effect also after its driver gave up or died, and after another
endpoint was promoted. Links change and daemons lift fences meanwhile.
"""

import asyncio

from fescuestile import endpoint_messages
from fescuestile_daemon.relay.takeovers import monitor
from tests import changing_group

Role = endpoint_messages.Role
PROMPT_SECONDS = (0.1, 0.6)
LATE_SECONDS = (0.6, 10.0)
# Longest time until an order without an answer is known to have none.
ANSWER_SECONDS = (0.1, 1.0)
# Time between two takeovers; most orders take effect meanwhile.
PAUSE_SECONDS = (2.0, 12.0)
STEP_SECONDS = 0.25
REFRESH_SECONDS = 0.15
CALM_WRITE_SECONDS = 0.2


class LateWorld(changing_group.World):
    """A group whose promoter is slow.

    :ivar silent: replicas that receive nothing
    """

    # Some drivers die after their request, others give up.
    lifetimes = (0.2, 0.6, 5.0)
    # Most of its time is calm.
    read_interval = 1.0
    store_faults = 0.1

    def __init__(self, seed, hides_unrecorded=False):
        super().__init__(seed, hides_unrecorded)
        self.silent = set()
        self._fenced_since = {}

    # Promoter

    async def promote(self, group, endpoint, lease):
        """Accept an order, or leave it without an answer."""
        if endpoint not in self.endpoints:
            return False
        delays = self.random.choice((PROMPT_SECONDS, LATE_SECONDS))
        answers = self.random.random() < 0.7
        executes = answers or self.random.random() < 0.7
        self.record(f"{endpoint} ordered, {answers=}, {executes=}")
        if executes:
            asyncio.get_running_loop().call_later(
                self.random.uniform(*delays), self._make_primary, endpoint
            )
        if answers:
            return True
        await asyncio.sleep(self.random.uniform(*ANSWER_SECONDS))
        return None

    def leads(self, endpoint):
        """Return whether an endpoint is the present primary."""
        newest = max(e.term for e in self.endpoints.values())
        return endpoint.role is Role.PRIMARY and endpoint.term == newest

    # Replication

    def reach(self, one, other):
        """Return whether two endpoints reach each other."""
        if self.silent & {one.name, other.name}:
            return False
        return super().reach(one, other)

    # Time between takeovers

    async def replace(self, daemon):
        """Replace a primary; a replica that nobody recorded may join."""
        joining = None
        if self.hides_unrecorded and len(self.endpoints) < (
            changing_group.MAX_SIZE
        ):
            joining = asyncio.get_running_loop().call_later(
                self.random.uniform(0.0, 1.0), self._join
            )
        await super().replace(daemon)
        if joining is not None:
            joining.cancel()

    async def pass_time(self):
        """Let orders take effect while links and fences change."""
        await super().pass_time()
        self.write_interval = CALM_WRITE_SECONDS
        loop = asyncio.get_running_loop()
        until = loop.time() + self.random.uniform(*PAUSE_SECONDS)
        while loop.time() < until:
            self.change_links()
            daemon = self.random.choice(self.daemons)
            daemon.read_registry()
            await self._lift_left_fences(daemon)
            await asyncio.sleep(STEP_SECONDS)
        self.write_interval = type(self).write_interval

    def change_links(self):
        """Change links, what daemons reach and what replicas receive."""
        draw = self.random.random()
        if draw < 0.4:
            self.random.choice(self.daemons).vantage.unreachable = set()
        elif draw < 0.45:
            self.linked = not self.linked
        elif draw < 0.55:
            self.silent = {
                name
                for name, each in self.endpoints.items()
                if each.role is Role.REPLICA and self.random.random() < 0.2
            }

    def _join(self):
        """Start a replica that daemons learn of now or after a while."""
        self.add_endpoint()
        for daemon in self.daemons:
            if self.random.random() < 0.5:
                daemon.read_registry()

    async def _lift_left_fences(self, daemon):
        """Lift fences that have been there for a while beside a primary."""
        group = daemon.group
        await group.refresh(REFRESH_SECONDS)
        is_fenced = any(
            endpoint.report and endpoint.report.role is Role.FENCED
            for endpoint in group.endpoints.values()
        )
        if not is_fenced or group.find_primary() is None:
            self._fenced_since.pop(group, None)
            return
        now = asyncio.get_running_loop().time()
        since = self._fenced_since.setdefault(group, now)
        if now - since > monitor.SETTLE_SECONDS:
            await daemon.lift_fences()
