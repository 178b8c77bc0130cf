"""Model of one current read during a failover."""

import dataclasses
import typing

from fescuestile import endpoint_messages
from fescuestile import positions
from fescuestile import read_confirmation
from tests.model_check import failover_parts
from tests.model_check import failover_world

Role = endpoint_messages.Role


@dataclasses.dataclass(frozen=True)
class Read:
    """A read in progress.

    :ivar endpoint: primary that serves it
    :ivar term: term of that primary
    :ivar needed: writes that were acknowledged before it began
    :ivar served: entries that it saw, None before it was served
    :ivar responses: terms that endpoints reported after it began
    """

    endpoint: str
    term: int
    needed: frozenset[positions.Position]
    served: frozenset[positions.Position] | None = None
    responses: frozenset[tuple[str, int]] = frozenset()


@dataclasses.dataclass
class ReadWorld(failover_world.World):
    """Failover model with one read.

    :ivar quorum: size of a majority; an injected bug lowers it
    """

    quorum: int = 2
    read: Read | None = None

    def make_key(self) -> typing.Hashable:
        return (super().make_key(), self.read)

    def list_steps(
        self,
    ) -> typing.Iterator[tuple[str, failover_world.World]]:
        yield from super().list_steps()
        if self.read is None:
            yield from self._list_begins()
            return
        if self.read.served is None:
            yield from self._list_serves(self.read)
        yield from self._list_responses(self.read)

    def _list_begins(self) -> typing.Iterator[tuple[str, "ReadWorld"]]:
        if not self.acknowledged:
            return
        for name, endpoint in self.endpoints.items():
            if endpoint.role is Role.PRIMARY:
                world = self.copy()
                world.read = Read(name, endpoint.term, self.acknowledged)
                yield f"a read begins at {name}", world

    def _list_serves(
        self, read: Read
    ) -> typing.Iterator[tuple[str, "ReadWorld"]]:
        endpoint = self.endpoints[read.endpoint]
        if endpoint.role is Role.PRIMARY and endpoint.term == read.term:
            held = frozenset(entry.position for entry in endpoint.log)
            yield "the read is served", self._change(read, served=held)

    def _list_responses(
        self, read: Read
    ) -> typing.Iterator[tuple[str, "ReadWorld"]]:
        responded = {name for name, _ in read.responses}
        for name, endpoint in self.endpoints.items():
            if name != read.endpoint and name not in responded:
                responses = read.responses | {(name, endpoint.term)}
                yield (
                    f"{name} responds",
                    self._change(read, responses=responses),
                )

    def _change(self, read: Read, **changes: typing.Any) -> "ReadWorld":
        world = self.copy()
        world.read = dataclasses.replace(read, **changes)
        world._answer(world.read)
        return world

    def _answer(self, read: Read) -> None:
        """Check the answer if the read may be answered now."""
        plan = failover_parts.make_plan(self.quorum)
        rounds = read_confirmation.LeadershipRounds(plan)
        ticket = rounds.begin_read()
        number = rounds.begin_round() or 0
        for name, term in read.responses:
            report = self.endpoints[name].report()
            rounds.observe(number, dataclasses.replace(report, term=term))
        if read.served is None or not rounds.is_confirmed(
            ticket, read.term, read.endpoint
        ):
            return
        if not read.needed <= read.served:
            self.violation = f"{read.endpoint} answered a stale read"


def make_world(quorum: int) -> ReadWorld:
    """Return a new group, with bounds of one write and one failover."""
    scope = failover_parts.Scope(writes=1, attempts=1)
    world = failover_world.make_world(failover_parts.Build(), scope)
    fields = {
        field.name: getattr(world, field.name)
        for field in dataclasses.fields(world)
    }
    return ReadWorld(**fields, quorum=quorum)
