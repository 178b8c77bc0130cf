"""Plan changes in the platform's store: declare, apply, revert, history."""

import asyncio
import collections.abc
import dataclasses
import random

import expression
import structlog

from fescuestile import clock
from fescuestile import configuration
from fescuestile import errors
from fescuestile import plans
from fescuestile import ports

log = structlog.get_logger(__name__)

CHANGE_TIMEOUT_SECONDS = 6.0
INITIAL_RETRY_DELAY_SECONDS = 0.05
MAX_RETRY_DELAY_SECONDS = 0.5


@dataclasses.dataclass(frozen=True, slots=True)
class AppliedChange:
    """A change that is in effect.

    :ivar revision: revision that the change created
    :ivar repeated: the change had already been applied before this call
    :ivar current: revision in force now
    """

    revision: int
    repeated: bool
    current: plans.PlanRevision


ChangeResult = expression.Result[AppliedChange, errors.FescuestileError]
ArchiveResult = expression.Result[None, errors.FescuestileError]
Prepare = collections.abc.Callable[
    [configuration.PlanObject | None], configuration.PrepareResult
]
IsRecorded = collections.abc.Callable[
    [plans.Plan], collections.abc.Awaitable[bool]
]
RevisionsResult = expression.Result[
    tuple[plans.PlanRevision, ...], errors.FescuestileError
]


class PlanChanges:
    """Changes plans by conditional writes, one change of a plan at a time.

    After a write without a response, the plan is read back and searched
    for the change id. If it is absent, the write is retried with the same
    change id, which the platform applies at most once.

    Endpoints are added or removed only once the group has recorded the last
    such change: majorities of a plan and of the one after the next need not
    overlap.
    """

    def __init__(
        self,
        platform: ports.Platform,
        time_source: clock.Clock,
        random_source: random.Random,
        is_recorded: IsRecorded,
    ) -> None:
        """Initialize with the platform that stores the plans.

        :param is_recorded: returns whether a group has recorded the
            endpoints of a plan
        """
        self._platform = platform
        self._clock = time_source
        self._random = random_source
        self._is_recorded = is_recorded

    async def declare(
        self, plan: plans.Plan, change: configuration.Change
    ) -> ChangeResult:
        """Create the first revision of a database's plan."""
        return await self._change(
            "declare",
            plan.database,
            change,
            lambda stored_plan: configuration.prepare_declare(
                stored_plan, plan, change
            ),
        )

    async def apply(
        self, plan: plans.Plan, expected: int, change: configuration.Change
    ) -> ChangeResult:
        """Create a new revision of a plan.

        :param expected: revision that the change is based on
        """
        return await self._change(
            "apply",
            plan.database,
            change,
            lambda stored_plan: configuration.prepare_apply(
                stored_plan, plan, expected, change
            ),
        )

    async def revert(
        self,
        database: str,
        target: int,
        expected: int,
        change: configuration.Change,
    ) -> ChangeResult:
        """Create a new revision with the content of an earlier one.

        :param target: revision whose content is restored
        :param expected: revision that the change is based on
        """
        history = await self.list_history(database)
        if history.is_error():
            return expression.Error(history.error)
        earlier = {each.revision: each for each in history.ok}.get(target)
        if earlier is None:
            return expression.Error(
                errors.InvalidInput(
                    f"database {database} has no stored revision {target}",
                    "revert",
                    field="to_revision",
                )
            )
        return await self._change(
            "revert",
            database,
            change,
            lambda stored_plan: configuration.prepare_revert(
                stored_plan, earlier.plan, expected, change
            ),
        )

    async def list_history(self, database: str) -> RevisionsResult:
        """Return the stored revisions, oldest first."""
        current = await self._read(database)
        if current.is_error():
            return expression.Error(current.error)
        prefix = f"{configuration.HISTORY_PREFIX}{database}/"
        listed = await self._platform.list_objects(prefix)
        if listed.is_error():
            return expression.Error(listed.error)
        revisions: dict[int, plans.PlanRevision] = {}
        for stored in listed.ok:
            decoded = configuration.decode_revision(stored.value, stored.path)
            if decoded.is_ok():
                revisions[decoded.ok.revision] = decoded.ok
        content = current.ok[1]
        if content is not None:
            revisions[content.current.revision] = content.current
        return expression.Ok(
            tuple(revisions[number] for number in sorted(revisions))
        )

    async def _change(
        self,
        step: str,
        database: str,
        change: configuration.Change,
        prepare: Prepare,
    ) -> ChangeResult:
        deadline = self._clock.now() + CHANGE_TIMEOUT_SECONDS
        attempt = _Attempt(database, prepare)
        delay = INITIAL_RETRY_DELAY_SECONDS
        while self._clock.now() < deadline:
            outcome = await self._attempt_once(attempt)
            if outcome.is_ok() or attempt.final:
                return outcome
            attempt.failure = outcome.error
            await asyncio.sleep(self._random.uniform(delay / 2, delay))
            delay = min(2 * delay, MAX_RETRY_DELAY_SECONDS)
        return expression.Error(_make_timeout_error(step, change, attempt))

    async def _attempt_once(self, attempt: "_Attempt") -> ChangeResult:
        read = await self._read(attempt.database)
        if read.is_error():
            attempt.final = isinstance(read.error, errors.InvalidInput)
            return expression.Error(read.error)
        version, stored_plan = read.ok
        prepared = attempt.prepare(stored_plan)
        if prepared.is_error():
            attempt.final = True
            return expression.Error(prepared.error)
        content = prepared.ok.content
        if content is None:
            assert stored_plan is not None
            return expression.Ok(
                AppliedChange(
                    prepared.ok.revision,
                    not attempt.write_in_doubt,
                    stored_plan.current,
                )
            )
        if stored_plan is not None:
            unrecorded = await self._check_recorded(
                stored_plan.current.plan, content.current.plan
            )
            if unrecorded is not None:
                return expression.Error(unrecorded)
            archived = await self._archive(stored_plan.current)
            if archived.is_error():
                return expression.Error(archived.error)
        attempt.write_in_doubt = True
        written = await self._platform.write(
            configuration.find_plan_path(attempt.database),
            configuration.encode_object(content),
            version,
            content.current.change_id,
        )
        if written.is_error():
            if not isinstance(written.error, errors.PlatformUnavailable):
                attempt.write_in_doubt = False
            return expression.Error(written.error)
        return expression.Ok(
            AppliedChange(prepared.ok.revision, False, content.current)
        )

    async def _check_recorded(
        self, current: plans.Plan, changed: plans.Plan
    ) -> errors.NotRun | None:
        """Return an error if a change of the endpoints has to wait."""
        if changed.endpoints_revision == current.endpoints_revision:
            return None
        if await self._is_recorded(current):
            return None
        return errors.NotRun(
            f"a majority of {current.database} has not recorded its endpoints "
            f"of revision {current.endpoints_revision} yet",
            configuration.STEP,
            field="endpoints",
        )

    async def _read(
        self, database: str
    ) -> expression.Result[
        tuple[int, configuration.PlanObject | None], errors.FescuestileError
    ]:
        """Return version and content of a plan object, (0, None) if absent."""
        path = configuration.find_plan_path(database)
        read = await self._platform.read(path)
        if read.is_error():
            return expression.Error(read.error)
        if read.ok is None:
            return expression.Ok((0, None))
        decoded = configuration.decode_object(read.ok.value, path)
        if decoded.is_error():
            return expression.Error(decoded.error)
        return expression.Ok((read.ok.version, decoded.ok))

    async def _archive(self, revision: plans.PlanRevision) -> ArchiveResult:
        """Store a revision in the history before it is superseded."""
        path = configuration.find_history_path(
            revision.plan.database, revision.revision
        )
        read = await self._platform.read(path)
        if read.is_error():
            return expression.Error(read.error)
        stored = read.ok
        if stored is not None:
            archived = configuration.decode_revision(stored.value, path)
            if archived.is_ok() and archived.ok.revision >= revision.revision:
                return expression.Ok(None)
        written = await self._platform.write(
            path,
            configuration.encode_revision(revision),
            stored.version if stored else 0,
            f"keep-{revision.change_id}",
        )
        if written.is_error():
            return expression.Error(written.error)
        return expression.Ok(None)


@dataclasses.dataclass
class _Attempt:
    """State of a change across its attempts.

    :ivar final: the last error is permanent, no further attempt is made
    :ivar write_in_doubt: a write was sent and its outcome is unknown
    :ivar failure: error of the last attempt
    """

    database: str
    prepare: Prepare
    final: bool = False
    write_in_doubt: bool = False
    failure: errors.FescuestileError | None = None


def _make_timeout_error(
    step: str, change: configuration.Change, attempt: _Attempt
) -> errors.FescuestileError:
    failure = attempt.failure
    reason = failure.message if failure else "no response from the platform"
    peer = failure.peer if failure else ""
    if attempt.write_in_doubt:
        return errors.UnknownOutcome(
            f"the change may be in force ({reason}); retry with change id "
            f"{change.change_id}",
            step,
            peer,
            "change_id",
        )
    return errors.NotRun(f"nothing was changed: {reason}", step, peer)
