"""Exhaustive search over all orders of steps of a small world."""

import collections
import dataclasses
import typing


class World(typing.Protocol):
    """A state that can be told apart, checked and moved on."""

    def make_key(self) -> typing.Hashable: ...

    def find_violation(self) -> str | None: ...

    def list_steps(
        self,
    ) -> typing.Iterator[tuple[str, "World"]]: ...


@dataclasses.dataclass(frozen=True)
class Outcome:
    """What a search found.

    :ivar states: distinct states visited
    :ivar violation: the broken property, None when all hold
    :ivar trace: steps that lead to it, one of the shortest
    """

    states: int
    violation: str | None = None
    trace: tuple[str, ...] = ()


def explore(start: World, limit: int) -> Outcome:
    """Visit every reachable state, nearest first.

    :param limit: states after which the search is given up
    :raises RuntimeError: when the limit is reached
    """
    parents: dict[typing.Hashable, tuple[typing.Hashable, str]] = {}
    first = start.make_key()
    seen = {first}
    queue = collections.deque([(first, start)])
    while queue:
        key, world = queue.popleft()
        for label, following in world.list_steps():
            reached = following.make_key()
            if reached in seen:
                continue
            seen.add(reached)
            parents[reached] = (key, label)
            violation = following.find_violation()
            if violation is not None:
                trace = _trace(parents, reached)
                return Outcome(len(seen), violation, trace)
            if len(seen) > limit:
                raise RuntimeError(f"more than {limit} states")
            queue.append((reached, following))
    return Outcome(len(seen))


def _trace(
    parents: dict[typing.Hashable, tuple[typing.Hashable, str]],
    key: typing.Hashable,
) -> tuple[str, ...]:
    labels: list[str] = []
    while key in parents:
        key, label = parents[key]
        labels.append(label)
    return tuple(reversed(labels))
