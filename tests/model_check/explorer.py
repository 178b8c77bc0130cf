"""Exhaustive search of the states of a model, over all orders of steps."""

import collections
import dataclasses
import typing


class World(typing.Protocol):
    """State of a model: it has a key, a check and successor states."""

    def make_key(self) -> typing.Hashable: ...

    def find_violation(self) -> str | None: ...

    def list_steps(
        self,
    ) -> typing.Iterator[tuple[str, "World"]]: ...


@dataclasses.dataclass(frozen=True)
class SearchResult:
    """Result of a search.

    :ivar states: distinct states visited
    :ivar violation: the violated property, None when all hold
    :ivar trace: steps that lead to the violation, a shortest sequence
    """

    states: int
    violation: str | None = None
    trace: tuple[str, ...] = ()


def explore(
    start: World, limit: int, is_partial: bool = False
) -> SearchResult:
    """Visit every reachable state, breadth first.

    :param limit: number of states that the search may visit
    :param is_partial: whether the search ends at the limit without an error
    :raises RuntimeError: when there are more states and it is not partial
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
                return SearchResult(len(seen), violation, trace)
            if len(seen) > limit and is_partial:
                return SearchResult(len(seen))
            if len(seen) > limit:
                raise RuntimeError(f"more than {limit} states")
            queue.append((reached, following))
    return SearchResult(len(seen))


def _trace(
    parents: dict[typing.Hashable, tuple[typing.Hashable, str]],
    key: typing.Hashable,
) -> tuple[str, ...]:
    labels: list[str] = []
    while key in parents:
        key, label = parents[key]
        labels.append(label)
    return tuple(reversed(labels))
