"""Changes of plans at the platform: declare, apply, revert, history."""

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

DEADLINE_SECONDS = 6.0
RETRY_FIRST_SECONDS = 0.05
RETRY_LIMIT_SECONDS = 0.5


@dataclasses.dataclass(frozen=True, slots=True)
class ChangeDone:
    """A change that took effect.

    :ivar revision: revision that it led to
    :ivar repeated: the change id had been applied before this call
    :ivar current: revision in force now
    """

    revision: int
    repeated: bool
    current: plans.PlanRevision


Changed = expression.Result[ChangeDone, errors.FescuestileError]
Kept = expression.Result[None, errors.FescuestileError]
Prepare = collections.abc.Callable[
    [configuration.PlanObject | None], configuration.PrepareResult
]
Revisions = expression.Result[
    tuple[plans.PlanRevision, ...], errors.FescuestileError
]


class PlanChanges:
    """Changes plans by conditional updates, one at a time each.

    An unanswered write is settled by reading back its change id, and by
    writing it again, which the platform does at most once.
    """

    def __init__(
        self,
        platform: ports.Platform,
        time_source: clock.Clock,
        random_source: random.Random,
    ) -> None:
        """Change plans at a platform."""
        self._platform = platform
        self._clock = time_source
        self._random = random_source

    async def declare(
        self, plan: plans.Plan, change: configuration.Change
    ) -> Changed:
        """Make the first revision of a database's plan."""
        return await self._change(
            "declare",
            plan.database,
            change,
            lambda held: configuration.prepare_declare(held, plan, change),
        )

    async def apply(
        self, plan: plans.Plan, expected: int, change: configuration.Change
    ) -> Changed:
        """Make a new revision.

        :param expected: revision that the change was made from
        """
        return await self._change(
            "apply",
            plan.database,
            change,
            lambda held: configuration.prepare_apply(
                held, plan, expected, change
            ),
        )

    async def revert(
        self,
        database: str,
        target: int,
        expected: int,
        change: configuration.Change,
    ) -> Changed:
        """Make a new revision with an earlier one's content.

        :param target: revision whose content is taken
        """
        history = await self.list_history(database)
        if history.is_error():
            return expression.Error(history.error)
        earlier = {kept.revision: kept for kept in history.ok}.get(target)
        if earlier is None:
            return expression.Error(
                errors.InvalidInput(
                    f"{database} has no kept revision {target}",
                    "revert",
                    field="to_revision",
                )
            )
        return await self._change(
            "revert",
            database,
            change,
            lambda held: configuration.prepare_revert(
                held, earlier.plan, expected, change
            ),
        )

    async def list_history(self, database: str) -> Revisions:
        """Return the kept revisions, oldest first."""
        current = await self._read(database)
        if current.is_error():
            return expression.Error(current.error)
        prefix = f"{configuration.HISTORY_PREFIX}{database}/"
        listed = await self._platform.list_objects(prefix)
        if listed.is_error():
            return expression.Error(listed.error)
        kept: dict[int, plans.PlanRevision] = {}
        for stored in listed.ok:
            decoded = configuration.decode_revision(stored.value, stored.path)
            if decoded.is_ok():
                kept[decoded.ok.revision] = decoded.ok
        content = current.ok[1]
        if content is not None:
            kept[content.current.revision] = content.current
        return expression.Ok(tuple(kept[number] for number in sorted(kept)))

    async def _change(
        self,
        step: str,
        database: str,
        change: configuration.Change,
        prepare: Prepare,
    ) -> Changed:
        end = self._clock.now() + DEADLINE_SECONDS
        attempt = _Attempt(database, prepare)
        pause = RETRY_FIRST_SECONDS
        while self._clock.now() < end:
            outcome = await self._try(attempt)
            if outcome.is_ok() or attempt.final:
                return outcome
            attempt.failure = outcome.error
            await asyncio.sleep(self._random.uniform(pause / 2, pause))
            pause = min(2 * pause, RETRY_LIMIT_SECONDS)
        return expression.Error(_give_up(step, change, attempt))

    async def _try(self, attempt: "_Attempt") -> Changed:
        read = await self._read(attempt.database)
        if read.is_error():
            attempt.final = isinstance(read.error, errors.InvalidInput)
            return expression.Error(read.error)
        version, held = read.ok
        prepared = attempt.prepare(held)
        if prepared.is_error():
            attempt.final = True
            return expression.Error(prepared.error)
        content = prepared.ok.content
        if content is None:
            assert held is not None
            return expression.Ok(
                ChangeDone(
                    prepared.ok.revision, not attempt.written, held.current
                )
            )
        if held is not None:
            kept = await self._keep(held.current)
            if kept.is_error():
                return expression.Error(kept.error)
        attempt.written = True
        written = await self._platform.write(
            configuration.find_plan_path(attempt.database),
            configuration.encode_object(content),
            version,
            content.current.change_id,
        )
        if written.is_error():
            if not isinstance(written.error, errors.PlatformUnavailable):
                attempt.written = False
            return expression.Error(written.error)
        return expression.Ok(
            ChangeDone(prepared.ok.revision, False, content.current)
        )

    async def _read(
        self, database: str
    ) -> expression.Result[
        tuple[int, configuration.PlanObject | None], errors.FescuestileError
    ]:
        """Return version and content of a plan object."""
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

    async def _keep(self, revision: plans.PlanRevision) -> Kept:
        """Keep a revision in its slot before it is superseded."""
        path = configuration.find_history_path(
            revision.plan.database, revision.revision
        )
        read = await self._platform.read(path)
        if read.is_error():
            return expression.Error(read.error)
        stored = read.ok
        if stored is not None:
            held = configuration.decode_revision(stored.value, path)
            if held.is_ok() and held.ok.revision >= revision.revision:
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
    """A change under way.

    :ivar final: the change was refused for good
    :ivar written: a write was sent whose outcome is not known
    :ivar failure: why the latest attempt failed
    """

    database: str
    prepare: Prepare
    final: bool = False
    written: bool = False
    failure: errors.FescuestileError | None = None


def _give_up(
    step: str, change: configuration.Change, attempt: _Attempt
) -> errors.FescuestileError:
    failure = attempt.failure
    reason = failure.message if failure else "no answer"
    peer = failure.peer if failure else ""
    if attempt.written:
        return errors.UnknownOutcome(
            f"the change may be in force ({reason}); ask again with change "
            f"id {change.change_id}",
            step,
            peer,
            "change_id",
        )
    return errors.NotRun(f"nothing was changed: {reason}", step, peer)
