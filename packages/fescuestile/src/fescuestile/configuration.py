"""Plan revisions: how they change, are kept, and only go up.

``plan/<database>`` at the platform holds the revision in force and the
latest change ids. ``history/<database>/<slot>`` holds earlier revisions;
a slot is used again after HISTORY_REVISIONS changes.
"""

import dataclasses
import typing

import cbor2
import expression
import pydantic

from fescuestile import errors
from fescuestile import gossip_messages
from fescuestile import plans

PLAN_PREFIX = "plan/"
HISTORY_PREFIX = "history/"
HISTORY_REVISIONS = 64
RECENT_CHANGES = 16
MOST_MOVED_ENDPOINTS = 1
MAX_PLAN_BYTES = 128 * 1024
STEP = "change plan"

T = typing.TypeVar("T")


@dataclasses.dataclass(frozen=True, slots=True)
class Change:
    """Who changes what, and when.

    :ivar change_id: makes the change idempotent
    :ivar operator: who asks for it
    :ivar changed_at: when, ISO 8601 in UTC
    """

    change_id: str
    operator: str
    changed_at: str


@dataclasses.dataclass(frozen=True, slots=True)
class ChangeOutcome:
    """Revision that a change id led to."""

    change_id: str
    revision: int


@dataclasses.dataclass(frozen=True, slots=True)
class PlanObject:
    """Content of ``plan/<database>``.

    :ivar current: revision in force
    :ivar recent: latest changes, oldest first
    """

    current: plans.PlanRevision
    recent: tuple[ChangeOutcome, ...]

    def find_change(self, change_id: str) -> int | None:
        """Return the revision that a recent change id led to."""
        for outcome in self.recent:
            if outcome.change_id == change_id:
                return outcome.revision
        return None


@dataclasses.dataclass(frozen=True, slots=True)
class Prepared:
    """A change ready to be written.

    :ivar revision: number that the change leads to
    :ivar content: object to write, None when the change id was applied
        before
    """

    revision: int
    content: PlanObject | None


Preparation = expression.Result[Prepared, errors.FescuestileError]

_REVISION = pydantic.TypeAdapter(plans.PlanRevision)
_OBJECT = pydantic.TypeAdapter(PlanObject)


def find_plan_path(database: str) -> str:
    """Return the path of a database's plan object."""
    return PLAN_PREFIX + database


def find_history_path(database: str, revision: int) -> str:
    """Return the path of the slot that keeps a revision."""
    return f"{HISTORY_PREFIX}{database}/{revision % HISTORY_REVISIONS:02}"


def encode_revision(revision: plans.PlanRevision) -> bytes:
    """Return a revision as bytes."""
    return cbor2.dumps(_REVISION.dump_python(revision))


def decode_revision(
    value: bytes, peer: str = ""
) -> expression.Result[plans.PlanRevision, errors.InvalidInput]:
    """Return the revision of some bytes.

    :param peer: where they came from, for the error
    """
    result = _decode(_REVISION, value, peer)
    if result.is_ok():
        checked = plans.check_plan(result.ok.plan)
        if checked.is_error():
            return expression.Error(checked.error)
    return result


def encode_object(content: PlanObject) -> bytes:
    """Return a plan object as bytes."""
    return cbor2.dumps(_OBJECT.dump_python(content))


def decode_object(
    value: bytes, peer: str = ""
) -> expression.Result[PlanObject, errors.InvalidInput]:
    """Return the plan object of some bytes."""
    return _decode(_OBJECT, value, peer)


def make_entry(revision: plans.PlanRevision) -> gossip_messages.Entry:
    """Return the gossip entry of a revision."""
    return gossip_messages.Entry(
        key=find_plan_path(revision.plan.database),
        version=revision.revision,
        rank=0,
        value=encode_revision(revision),
    )


def read_entry(
    entry: gossip_messages.Entry, peer: str = ""
) -> expression.Result[plans.PlanRevision, errors.InvalidInput]:
    """Return the revision of a gossip entry, checked against its key."""
    result = decode_revision(entry.value, peer)
    if result.is_error():
        return result
    revision = result.ok
    expected = (find_plan_path(revision.plan.database), revision.revision)
    if (entry.key, entry.version) != expected:
        return expression.Error(
            errors.InvalidInput(
                "key and content differ", STEP, peer, entry.key
            )
        )
    return result


def prepare_declare(
    held: PlanObject | None, plan: plans.Plan, change: Change
) -> Preparation:
    """Prepare the first revision of a database's plan.

    :returns: VersionConflict when the database is declared already
    """
    repeated = _find_repeated(held, change)
    if repeated is not None:
        return expression.Ok(repeated)
    if held is not None:
        return _conflict("declare", plan.database, held)
    return _prepare(None, plan, change, "declare")


def prepare_apply(
    held: PlanObject | None,
    plan: plans.Plan,
    expected: int,
    change: Change,
) -> Preparation:
    """Prepare a new revision.

    :param expected: revision that the change was made from
    :returns: VersionConflict when another revision is in force
    """
    return _prepare_next(held, plan, expected, change, "apply")


def prepare_revert(
    held: PlanObject | None,
    earlier: plans.Plan,
    expected: int,
    change: Change,
) -> Preparation:
    """Prepare a new revision with an earlier one's content."""
    return _prepare_next(held, earlier, expected, change, "revert")


def find_revision(
    content: PlanObject | None,
    history: typing.Iterable[plans.PlanRevision],
    number: int,
) -> plans.PlanRevision | None:
    """Return a revision by number, None when it is not kept any more."""
    kept = {revision.revision: revision for revision in history}
    if content is not None:
        kept[content.current.revision] = content.current
    return kept.get(number)


class PlanStore:
    """Revision in force of each database; each only goes up."""

    def __init__(self) -> None:
        self._revisions: dict[str, plans.PlanRevision] = {}

    def __len__(self) -> int:
        """Return the number of databases."""
        return len(self._revisions)

    def take(self, revision: plans.PlanRevision) -> bool:
        """Take a revision, whatever path it came by.

        :returns: whether it was above the one in force
        """
        held = self._revisions.get(revision.plan.database)
        if held is not None and held.revision >= revision.revision:
            return False
        self._revisions[revision.plan.database] = revision
        return True

    def find(self, database: str) -> plans.PlanRevision | None:
        """Return the revision in force, None for an unknown database."""
        return self._revisions.get(database)

    def list_revisions(self) -> tuple[plans.PlanRevision, ...]:
        """Return all revisions in force."""
        return tuple(self._revisions.values())


def _decode(
    adapter: pydantic.TypeAdapter[T], value: bytes, peer: str
) -> expression.Result[T, errors.InvalidInput]:
    try:
        return expression.Ok(adapter.validate_python(cbor2.loads(value)))
    except pydantic.ValidationError as error:
        first = error.errors()[0]
        field = ".".join(str(part) for part in first["loc"])
        message = first["msg"]
    except (cbor2.CBORDecodeError, ValueError) as error:
        field = "value"
        message = f"not CBOR: {error}"
    return expression.Error(
        errors.InvalidInput(message, "read plan", peer, field)
    )


def _find_repeated(held: PlanObject | None, change: Change) -> Prepared | None:
    if held is None:
        return None
    revision = held.find_change(change.change_id)
    return None if revision is None else Prepared(revision, None)


def _find_moved(before: plans.Plan, after: plans.Plan) -> list[str]:
    """Return the endpoints that only one of two plans names."""
    moved = before.endpoint_by_name.keys() ^ after.endpoint_by_name.keys()
    return sorted(moved)


def _prepare_next(
    held: PlanObject | None,
    plan: plans.Plan,
    expected: int,
    change: Change,
    action: str,
) -> Preparation:
    repeated = _find_repeated(held, change)
    if repeated is not None:
        return expression.Ok(repeated)
    if held is None:
        return expression.Error(
            errors.InvalidInput(
                f"{plan.database} is not declared", action, field="database"
            )
        )
    if held.current.revision != expected:
        return _conflict(action, plan.database, held)
    moved = _find_moved(held.current.plan, plan)
    if len(moved) > MOST_MOVED_ENDPOINTS:
        return expression.Error(
            errors.InvalidInput(
                f"{', '.join(moved)} come or go; a change adds or removes "
                "one endpoint, so that majorities before and after it meet",
                action,
                field="endpoints",
            )
        )
    return _prepare(held, plan, change, action)


def _prepare(
    held: PlanObject | None, plan: plans.Plan, change: Change, action: str
) -> Preparation:
    checked = _check(plan, change, action)
    if checked.is_error():
        return expression.Error(checked.error)
    number = held.current.revision + 1 if held else 1
    recent = held.recent if held else ()
    outcome = ChangeOutcome(change.change_id, number)
    content = PlanObject(
        plans.PlanRevision(
            number,
            plan,
            change.change_id,
            change.operator,
            change.changed_at,
            action,
        ),
        (*recent, outcome)[-RECENT_CHANGES:],
    )
    if len(encode_object(content)) > MAX_PLAN_BYTES:
        return expression.Error(
            errors.InvalidInput(
                f"the plan is over {MAX_PLAN_BYTES} bytes",
                action,
                field="plan",
            )
        )
    return expression.Ok(Prepared(number, content))


def _check(
    plan: plans.Plan, change: Change, action: str
) -> expression.Result[plans.Plan, errors.InvalidInput]:
    for field, value in (
        ("change_id", change.change_id),
        ("operator", change.operator),
    ):
        if not value:
            return expression.Error(
                errors.InvalidInput("must be given", action, field=field)
            )
    if "/" in plan.database:
        return expression.Error(
            errors.InvalidInput(
                "the name holds a slash", action, field="database"
            )
        )
    return plans.check_plan(plan)


def _conflict(action: str, database: str, held: PlanObject) -> Preparation:
    current = held.current
    return expression.Error(
        errors.VersionConflict(
            f"{database} is at revision {current.revision}, set by "
            f"{current.operator} at {current.changed_at}",
            action,
            field="expected_revision",
        )
    )
