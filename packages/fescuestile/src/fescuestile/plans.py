"""Declared configuration of a database group."""

import dataclasses
import functools

import expression

from fescuestile import errors

STEP = "validate plan"


@dataclasses.dataclass(frozen=True, slots=True)
class Rank:
    """One priority class.

    :ivar name: name of the rank
    :ivar floor: guaranteed minimum share of the slots under overload, 0 to 1
    """

    name: str
    floor: float


@dataclasses.dataclass(frozen=True, slots=True)
class Kind:
    """One class of work.

    :ivar name: name that callers send with their requests
    :ivar rank: name of the rank that it is served in
    :ivar staleness: seconds that its reads may be behind, 0 for current
        reads
    """

    name: str
    rank: str
    staleness: float


@dataclasses.dataclass(frozen=True, slots=True)
class Endpoint:
    """One endpoint of a database group.

    :ivar name: unique name
    :ivar zone: its availability zone
    :ivar address: ``IP:port``
    :ivar slots: number of statements that it runs at a time
    :ivar connections: number of connections that it accepts
    :ivar readable: whether it serves reads while it is a replica
    """

    name: str
    zone: str
    address: str
    slots: int
    connections: int
    readable: bool = True


@dataclasses.dataclass(frozen=True)
class Plan:
    """Configuration that operators declared for one database group.

    :ivar database: name of the database
    :ivar endpoints: its endpoints
    :ivar ranks: ranks, most urgent first
    :ivar kinds: kinds of work
    :ivar endpoints_revision: revision that last added or removed an endpoint,
        0 for none; set when a change is prepared, never by operators, so that
        plans of the same content are equal
    """

    database: str
    endpoints: tuple[Endpoint, ...]
    ranks: tuple[Rank, ...]
    kinds: tuple[Kind, ...]
    endpoints_revision: int = dataclasses.field(default=0, compare=False)

    @functools.cached_property
    def kind_by_name(self) -> dict[str, Kind]:
        """Kinds by name."""
        return {kind.name: kind for kind in self.kinds}

    @functools.cached_property
    def level_by_rank(self) -> dict[str, int]:
        """Level by rank name, 0 for the most urgent rank."""
        return {rank.name: level for level, rank in enumerate(self.ranks)}

    @functools.cached_property
    def endpoint_by_name(self) -> dict[str, Endpoint]:
        """Endpoints by name."""
        return {endpoint.name: endpoint for endpoint in self.endpoints}

    @property
    def majority(self) -> int:
        """Smallest number of endpoints that is a majority."""
        return len(self.endpoints) // 2 + 1


@dataclasses.dataclass(frozen=True, slots=True)
class PlanRevision:
    """Accepted version of a plan.

    :ivar revision: grows with each change of the database's plan
    :ivar plan: the plan
    :ivar change_id: id of the change that made it
    :ivar operator: who made the change
    :ivar changed_at: when, ISO 8601 in UTC
    :ivar action: ``declare``, ``apply`` or ``revert``
    """

    revision: int
    plan: Plan
    change_id: str
    operator: str
    changed_at: str
    action: str = "apply"


def _refuse(
    field: str, message: str
) -> expression.Result[Plan, errors.InvalidInput]:
    return expression.Error(
        errors.InvalidInput(message=message, step=STEP, field=field)
    )


def check_plan(plan: Plan) -> expression.Result[Plan, errors.InvalidInput]:
    """Check that a plan is complete and consistent.

    :param plan: the plan to check
    :returns: the plan, or an error that names the invalid field
    """
    if not plan.database:
        return _refuse("database", "the database needs a name")
    if not plan.endpoints:
        return _refuse("endpoints", "a plan needs at least one endpoint")
    if not plan.ranks:
        return _refuse("ranks", "a plan needs at least one rank")
    named = (
        ("endpoints", [endpoint.name for endpoint in plan.endpoints]),
        ("ranks", [rank.name for rank in plan.ranks]),
        ("kinds", [kind.name for kind in plan.kinds]),
    )
    for field, names in named:
        if len(set(names)) != len(names) or "" in names:
            return _refuse(field, "names must be given and be unique")
    if sum(rank.floor for rank in plan.ranks) > 1:
        return _refuse("ranks.floor", "floors add up to more than 1")
    for rank in plan.ranks:
        if not 0 <= rank.floor <= 1:
            return _refuse("ranks.floor", "a floor is between 0 and 1")
    for kind in plan.kinds:
        if kind.rank not in plan.level_by_rank:
            return _refuse("kinds.rank", f"unknown rank {kind.rank!r}")
        if kind.staleness < 0:
            return _refuse("kinds.staleness", "staleness is not negative")
    for endpoint in plan.endpoints:
        if endpoint.slots < 1 or endpoint.connections < endpoint.slots:
            return _refuse(
                "endpoints.slots",
                "slots are at least 1 and at most the connections",
            )
    return expression.Ok(plan)
