"""Execution of statements and transactions at an endpoint.

Each command is checked when it arrives and again when its service time
is over, because the endpoint may have been fenced in between.
"""

import typing

from fescuestile import endpoint_messages
from fescuestile import positions
from fescuestile_standins import endpoint_log
from fescuestile_standins import endpoint_state
from fescuestile_standins import endpoint_store

Answered = endpoint_messages.Answered
Role = endpoint_messages.Role
Verdict = endpoint_messages.Verdict
Command = (
    endpoint_messages.Execute
    | endpoint_messages.Begin
    | endpoint_messages.Commit
    | endpoint_messages.Rollback
    | endpoint_messages.Resolve
)


class CommandRunner:
    """Runs the commands of one connection against the shared state."""

    def __init__(self, state: endpoint_state.EndpointState) -> None:
        """Initialize with the state that all connections share."""
        self._state = state
        self._transaction: endpoint_store.Transaction | None = None

    def check(self, command: Command) -> Answered | None:
        """Return a refusal, or None if the command may run now."""
        if isinstance(command, endpoint_messages.Rollback):
            return None
        read_only = getattr(command, "read_only", False)
        refusal = self._check_term(command, read_only)
        if refusal is not None:
            return refusal
        if isinstance(command, endpoint_messages.Execute):
            return self._check_minimum(command)
        return None

    def run(self, command: Command) -> Answered:
        """Run a command at the end of its service time.

        The command is checked once more before.
        """
        refusal = self.check(command)
        if refusal is not None:
            return refusal
        if isinstance(command, endpoint_messages.Execute):
            return self._execute(command)
        if isinstance(command, endpoint_messages.Begin):
            return self._begin(command)
        if isinstance(command, endpoint_messages.Commit):
            return self._commit(command)
        if isinstance(command, endpoint_messages.Resolve):
            return self._resolve(command)
        self._transaction = None
        return Answered(id=command.id, verdict=Verdict.DONE)

    def _check_term(
        self,
        command: endpoint_messages.Execute
        | endpoint_messages.Begin
        | endpoint_messages.Commit
        | endpoint_messages.Resolve,
        read_only: bool,
    ) -> Answered | None:
        state = self._state
        if state.role is Role.REJOINING:
            return _refuse(
                command.id, "the endpoint has lost its log and is rejoining"
            )
        if command.term > state.term:
            return _refuse(
                command.id, f"the endpoint is still at term {state.term}"
            )
        if command.term < state.term:
            return Answered(
                id=command.id,
                verdict=Verdict.TERM_REFUSED,
                message=f"term {state.term} is promised",
            )
        if state.role is Role.FENCED:
            return _refuse(command.id, "the endpoint is fenced")
        if state.role is Role.REPLICA and not read_only:
            return _refuse(command.id, "the endpoint is a replica")
        return None

    def _check_minimum(
        self, command: endpoint_messages.Execute
    ) -> Answered | None:
        minimum = command.minimum
        if minimum is None or self._state.log.history.covers(minimum):
            return None
        return _refuse(
            command.id, "the endpoint has not reached the required position"
        )

    def _execute(self, command: endpoint_messages.Execute) -> Answered:
        earlier = self._find_earlier_answer(command.id, command.request_id)
        if earlier is not None:
            return earlier
        parsed = endpoint_store.parse_statement(command.text)
        if parsed.is_error():
            return self._fail(command.id, parsed.error)
        operation = parsed.ok
        if operation.writes and command.read_only:
            return self._fail(
                command.id, "a read-only statement must not write"
            )
        if self._transaction is not None:
            return self._execute_in_transaction(command, operation)
        changed, payload = self._state.store.run(operation, [])
        rows = _make_rows(command.request_id, payload)
        if command.read_only or not (changed or rows):
            return self._make_answer(command.id, payload, self._state.log.last)
        position = self._state.write(changed, rows)
        return self._make_answer(command.id, payload, position)

    def _execute_in_transaction(
        self,
        command: endpoint_messages.Execute,
        operation: endpoint_store.Operation,
    ) -> Answered:
        transaction = self._transaction
        assert transaction is not None
        if transaction.term != command.term:
            return self._abort_stale_transaction(command.id)
        for row in transaction.rows:
            if row.request_id == command.request_id:
                return self._make_answer(
                    command.id, row.payload, self._state.log.last, True
                )
        if operation.writes and transaction.read_only:
            return self._fail(
                command.id, "a read-only transaction must not write"
            )
        _, payload = self._state.store.run(operation, transaction.operations)
        if operation.writes:
            transaction.operations.append(operation)
        if not command.read_only:
            transaction.rows += _make_rows(command.request_id, payload)
        return self._make_answer(command.id, payload, self._state.log.last)

    def _begin(self, command: endpoint_messages.Begin) -> Answered:
        if self._transaction is not None:
            return _refuse(
                command.id, "a transaction is already open on this connection"
            )
        self._transaction = endpoint_store.Transaction(
            command.term, command.read_only
        )
        return self._make_answer(command.id, b"", self._state.log.last)

    def _commit(self, command: endpoint_messages.Commit) -> Answered:
        earlier = self._find_earlier_answer(command.id, command.request_id)
        if earlier is not None:
            return earlier
        transaction = self._transaction
        self._transaction = None
        if transaction is None:
            return _refuse(
                command.id, "no transaction is open on this connection"
            )
        if transaction.term != command.term:
            return self._abort_stale_transaction(command.id)
        rows = transaction.rows + _make_rows(command.request_id, b"")
        for row in rows:
            if self._state.store.find_row(row.request_id) is not None:
                return self._fail(
                    command.id,
                    "a request of the transaction was executed before",
                )
        changed: dict[str, str] = {}
        if transaction.operations:
            *before, last = transaction.operations
            changed, _ = self._state.store.run(last, before)
        if not changed and not rows:
            return self._make_answer(command.id, b"", self._state.log.last)
        position = self._state.write(changed, rows)
        return self._make_answer(command.id, b"", position)

    def _resolve(self, command: endpoint_messages.Resolve) -> Answered:
        earlier = self._find_earlier_answer(command.id, command.request_id)
        if earlier is not None:
            return earlier
        row = endpoint_log.RequestRow(command.request_id, barred=True)
        position = self._state.write({}, [row])
        return Answered(
            id=command.id, verdict=Verdict.NEVER_RUNS, position=position
        )

    def _find_earlier_answer(
        self, id_: int, request_id: str
    ) -> Answered | None:
        stored = self._state.store.find_row(request_id) if request_id else None
        if stored is None:
            return None
        verdict = Verdict.NEVER_RUNS if stored.row.barred else Verdict.DONE
        return Answered(
            id=id_,
            verdict=verdict,
            payload=stored.row.payload,
            position=stored.position,
            repeated=True,
        )

    def _abort_stale_transaction(self, id_: int) -> Answered:
        self._transaction = None
        return Answered(
            id=id_,
            verdict=Verdict.TERM_REFUSED,
            message="the transaction began under an older term",
        )

    def _fail(self, id_: int, message: str) -> Answered:
        return Answered(
            id=id_,
            verdict=Verdict.FAILED,
            position=self._state.log.last,
            message=message,
        )

    def _make_answer(
        self,
        id_: int,
        payload: bytes,
        position: positions.Position,
        repeated: bool = False,
    ) -> Answered:
        return Answered(
            id=id_,
            verdict=Verdict.DONE,
            payload=payload,
            position=position,
            repeated=repeated,
        )


def _make_rows(
    request_id: str, payload: bytes
) -> list[endpoint_log.RequestRow]:
    if not request_id:
        return []
    return [endpoint_log.RequestRow(request_id, payload)]


def _refuse(id_: int, message: str) -> Answered:
    return Answered(id=id_, verdict=Verdict.NOT_RUN, message=message)


COMMAND_CLASSES: tuple[type, ...] = typing.get_args(Command)
