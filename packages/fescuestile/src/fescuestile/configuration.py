"""Plan revisions: preparation of changes, encoding and the local store.

At the platform, ``plan/<database>`` holds the revision in force and the
latest change ids. ``history/<database>/<slot>`` holds an earlier revision;
its slot is overwritten HISTORY_REVISIONS changes later.
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
MAX_RECENT_CHANGES = 16
MAX_CHANGED_ENDPOINTS = 1
MAX_PLAN_BYTES = 128 * 1024
STEP = "change plan"

T = typing.TypeVar("T")


@dataclasses.dataclass(frozen=True, slots=True)
class Change:
    """Identity of a change, its author and its time.

    :ivar change_id: makes the change idempotent
    :ivar operator: who requests it
    :ivar changed_at: when, ISO 8601 in UTC
    """

    change_id: str
    operator: str
    changed_at: str


@dataclasses.dataclass(frozen=True, slots=True)
class ChangeOutcome:
    """Revision that a change created."""

    change_id: str
    revision: int


@dataclasses.dataclass(frozen=True, slots=True)
class PlanObject:
    """Content of a ``plan/<database>`` object.

    :ivar current: revision in force
    :ivar recent: latest changes, oldest first
    """

    current: plans.PlanRevision
    recent: tuple[ChangeOutcome, ...]

    def find_change(self, change_id: str) -> int | None:
        """Return the revision that a recent change created, if any."""
        for outcome in self.recent:
            if outcome.change_id == change_id:
                return outcome.revision
        return None


@dataclasses.dataclass(frozen=True, slots=True)
class PreparedChange:
    """A change ready to be written.

    :ivar revision: number of the revision that the change creates
    :ivar content: object to write, None if the change id was applied
        before
    """

    revision: int
    content: PlanObject | None


PrepareResult = expression.Result[PreparedChange, errors.FescuestileError]

_REVISION = pydantic.TypeAdapter(plans.PlanRevision)
_OBJECT = pydantic.TypeAdapter(PlanObject)


def find_plan_path(database: str) -> str:
    """Return the path of a database's plan object."""
    return PLAN_PREFIX + database


def find_history_path(database: str, revision: int) -> str:
    """Return the path of the history slot of a revision."""
    return f"{HISTORY_PREFIX}{database}/{revision % HISTORY_REVISIONS:02}"


def encode_revision(revision: plans.PlanRevision) -> bytes:
    """Encode a revision as CBOR."""
    return cbor2.dumps(_REVISION.dump_python(revision))


def decode_revision(
    value: bytes, peer: str = ""
) -> expression.Result[plans.PlanRevision, errors.InvalidInput]:
    """Decode a revision and check its plan.

    :param peer: sender of the bytes, for the error
    :returns: InvalidInput for malformed bytes or an invalid plan
    """
    result = _decode(_REVISION, value, peer)
    if result.is_ok():
        checked = plans.check_plan(result.ok.plan)
        if checked.is_error():
            return expression.Error(checked.error)
    return result


def encode_object(content: PlanObject) -> bytes:
    """Encode a plan object as CBOR."""
    return cbor2.dumps(_OBJECT.dump_python(content))


def decode_object(
    value: bytes, peer: str = ""
) -> expression.Result[PlanObject, errors.InvalidInput]:
    """Decode a plan object; its plan is not checked."""
    return _decode(_OBJECT, value, peer)


def encode_entry(revision: plans.PlanRevision) -> gossip_messages.Entry:
    """Encode a revision as a gossip entry."""
    return gossip_messages.Entry(
        key=find_plan_path(revision.plan.database),
        version=revision.revision,
        rank=0,
        value=encode_revision(revision),
    )


def decode_entry(
    entry: gossip_messages.Entry, peer: str = ""
) -> expression.Result[plans.PlanRevision, errors.InvalidInput]:
    """Decode a revision and compare it with the entry's key and version."""
    result = decode_revision(entry.value, peer)
    if result.is_error():
        return result
    revision = result.ok
    expected = (find_plan_path(revision.plan.database), revision.revision)
    if (entry.key, entry.version) != expected:
        return expression.Error(
            errors.InvalidInput(
                "database or revision does not match the entry",
                STEP,
                peer,
                entry.key,
            )
        )
    return result


def prepare_declare(
    held: PlanObject | None, plan: plans.Plan, change: Change
) -> PrepareResult:
    """Prepare the first revision of a database's plan.

    :returns: VersionConflict if the database is declared already
    """
    repeated = _find_repeated(held, change)
    if repeated is not None:
        return expression.Ok(repeated)
    if held is not None:
        return _conflict("declare", plan.database, held)
    plan = dataclasses.replace(plan, endpoints_revision=0)
    return _prepare(None, plan, change, "declare")


def prepare_apply(
    held: PlanObject | None,
    plan: plans.Plan,
    expected: int,
    change: Change,
) -> PrepareResult:
    """Prepare a new revision.

    :param expected: revision that the change is based on
    :returns: VersionConflict if another revision is in force
    """
    return _prepare_next(held, plan, expected, change, "apply")


def prepare_revert(
    held: PlanObject | None,
    earlier: plans.Plan,
    expected: int,
    change: Change,
) -> PrepareResult:
    """Prepare a new revision with the content of an earlier one."""
    return _prepare_next(held, earlier, expected, change, "revert")


def find_revision(
    content: PlanObject | None,
    history: typing.Iterable[plans.PlanRevision],
    number: int,
) -> plans.PlanRevision | None:
    """Return a revision by number, None if it is no longer stored."""
    kept = {revision.revision: revision for revision in history}
    if content is not None:
        kept[content.current.revision] = content.current
    return kept.get(number)


class PlanStore:
    """Revision in force of each database; a revision never decreases."""

    def __init__(self) -> None:
        self._revisions: dict[str, plans.PlanRevision] = {}

    def __len__(self) -> int:
        """Return the number of databases."""
        return len(self._revisions)

    def apply(self, revision: plans.PlanRevision) -> bool:
        """Put a revision in force unless the held one is as new.

        :returns: whether the revision in force changed
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


def _find_repeated(
    held: PlanObject | None, change: Change
) -> PreparedChange | None:
    if held is None:
        return None
    revision = held.find_change(change.change_id)
    return None if revision is None else PreparedChange(revision, None)


def _find_changed_endpoints(
    before: plans.Plan, after: plans.Plan
) -> list[str]:
    """Return the servers that were added or removed, sorted.

    An endpoint at another address is another server, which may lack the
    log and the promises of the first one.
    """
    servers = [
        {f"{each.name} at {each.address}" for each in plan.endpoints}
        for plan in (before, after)
    ]
    return sorted(servers[0] ^ servers[1])


def _prepare_next(
    held: PlanObject | None,
    plan: plans.Plan,
    expected: int,
    change: Change,
    action: str,
) -> PrepareResult:
    repeated = _find_repeated(held, change)
    if repeated is not None:
        return expression.Ok(repeated)
    if held is None:
        return expression.Error(
            errors.InvalidInput(
                f"database {plan.database} is not declared",
                action,
                field="database",
            )
        )
    if held.current.revision != expected:
        return _conflict(action, plan.database, held)
    changed = _find_changed_endpoints(held.current.plan, plan)
    if len(changed) > MAX_CHANGED_ENDPOINTS:
        return expression.Error(
            errors.InvalidInput(
                f"{', '.join(changed)} were added or removed; a change adds "
                "or removes at most one endpoint, so that majorities before "
                "and after it overlap",
                action,
                field="endpoints",
            )
        )
    number = held.current.revision + 1
    last_changed = held.current.plan.endpoints_revision
    plan = dataclasses.replace(
        plan, endpoints_revision=number if changed else last_changed
    )
    return _prepare(held, plan, change, action)


def _prepare(
    held: PlanObject | None, plan: plans.Plan, change: Change, action: str
) -> PrepareResult:
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
        (*recent, outcome)[-MAX_RECENT_CHANGES:],
    )
    if len(encode_object(content)) > MAX_PLAN_BYTES:
        return expression.Error(
            errors.InvalidInput(
                f"the encoded plan is larger than {MAX_PLAN_BYTES} bytes",
                action,
                field="plan",
            )
        )
    return expression.Ok(PreparedChange(number, content))


def _check(
    plan: plans.Plan, change: Change, action: str
) -> expression.Result[plans.Plan, errors.InvalidInput]:
    for field, value in (
        ("change_id", change.change_id),
        ("operator", change.operator),
    ):
        if not value:
            return expression.Error(
                errors.InvalidInput("must not be empty", action, field=field)
            )
    if "/" in plan.database:
        return expression.Error(
            errors.InvalidInput(
                "a database name must not contain a slash",
                action,
                field="database",
            )
        )
    return plans.check_plan(plan)


def _conflict(action: str, database: str, held: PlanObject) -> PrepareResult:
    current = held.current
    return expression.Error(
        errors.VersionConflict(
            f"{database} is at revision {current.revision}, set by "
            f"{current.operator} at {current.changed_at}",
            action,
            field="expected_revision",
        )
    )
