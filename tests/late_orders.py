"""Simulated group whose promotions may take effect seconds late.

An order takes effect also after its driver gave up or died, and after another
endpoint was promoted. Links change and daemons lift fences meanwhile.
"""

import asyncio

from fescuestile import endpoint_messages
from fescuestile_daemon.relay import messages
from tests import changing_group

Role = endpoint_messages.Role
PROMPT_SECONDS = (0.1, 0.6)
LATE_SECONDS = (0.6, 10.0)
# Longest time until an order without an answer is known to have none.
ANSWER_SECONDS = (0.1, 1.0)
# Longest time between two takeovers; most orders take effect meanwhile.
PAUSE_SECONDS = 12.0
STEP_SECONDS = 0.25
# As long as a daemon sees a fence beside a primary before it lifts it.
LEFT_FENCED_SECONDS = 1.5
REFRESH_SECONDS = 0.15


class LateWorld(changing_group.World):
    """A group whose promoter is slow.

    :ivar silent: replicas that receive nothing
    """

    # Most drivers live until they give up.
    lifetimes = (0.2, 5.0, 5.0)
    # Most of its time is calm.
    read_interval = 0.3

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

    async def replace(self, group):
        """Replace a primary; a replica that nobody recorded may join."""
        joining = None
        if self.hides_unrecorded and len(self.endpoints) < (
            changing_group.MAX_SIZE
        ):
            joining = asyncio.get_running_loop().call_later(
                self.random.uniform(0.0, 1.0), self.add_endpoint
            )
        await super().replace(group)
        if joining is not None:
            joining.cancel()

    async def pass_time(self):
        """Let orders take effect while links and fences change."""
        await super().pass_time()
        loop = asyncio.get_running_loop()
        until = loop.time() + self.random.uniform(0.0, PAUSE_SECONDS)
        while loop.time() < until:
            self._change_links()
            _, group = self.random.choice(self.daemons)
            await self._lift_left_fences(group)
            await asyncio.sleep(STEP_SECONDS)

    def _change_links(self):
        draw = self.random.random()
        if draw < 0.2:
            vantage, _ = self.random.choice(self.daemons)
            vantage.unreachable = set()
        elif draw < 0.25:
            self.linked = not self.linked
        elif draw < 0.35:
            self.silent = {
                name
                for name, each in self.endpoints.items()
                if each.role is Role.REPLICA and self.random.random() < 0.2
            }

    async def _lift_left_fences(self, group):
        """Lift fences that have been there for a while beside a primary."""
        await group.refresh(REFRESH_SECONDS)
        fenced = [
            endpoint
            for endpoint in group.endpoints.values()
            if endpoint.report and endpoint.report.role is Role.FENCED
        ]
        if not fenced or group.find_primary() is None:
            self._fenced_since.pop(group, None)
            return
        now = asyncio.get_running_loop().time()
        since = self._fenced_since.setdefault(group, now)
        if now - since <= LEFT_FENCED_SECONDS:
            return
        self.record(f"fences lifted of {[each.name for each in fenced]}")
        for endpoint in fenced:
            await group.inspect(endpoint, messages.Unfence(), REFRESH_SECONDS)
