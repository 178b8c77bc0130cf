"""Open transactions, kept at the owner of their endpoint."""

import asyncio
import dataclasses
import itertools

import expression

from fescuestile import clock
from fescuestile import errors
from fescuestile import requests
from fescuestile import results
from fescuestile_daemon import endpoint_pool
from fescuestile_daemon import execution
from fescuestile_daemon import filters

STEP = "transaction"
IDLE_TIMEOUT_SECONDS = 30.0
IDLE_CHECK_INTERVAL_SECONDS = 1.0
SEPARATOR = "|"


@dataclasses.dataclass(frozen=True, slots=True)
class TransactionId:
    """Id of a transaction; names where it is open.

    :ivar owner: id of the daemon that holds its connection
    :ivar endpoint: endpoint that it runs on
    :ivar number: number among the owner's transactions
    """

    owner: str
    endpoint: str
    number: int

    def __str__(self) -> str:
        """Return the form that callers send."""
        return SEPARATOR.join((self.owner, self.endpoint, str(self.number)))


def parse_id(
    text: str,
) -> expression.Result[TransactionId, errors.InvalidInput]:
    """Parse the form that callers send."""
    parts = text.split(SEPARATOR)
    if len(parts) != 3 or not parts[2].isdecimal():
        return expression.Error(
            errors.InvalidInput(
                message="malformed id: expected owner|endpoint|number",
                step=STEP,
                field="transaction",
            )
        )
    return results.succeed(TransactionId(parts[0], parts[1], int(parts[2])))


@dataclasses.dataclass(eq=False)
class _Transaction:
    id: TransactionId
    caller: str
    database: str
    term: int
    peer: str
    reservation: endpoint_pool.Reservation
    used_at: float
    lock: asyncio.Lock = dataclasses.field(default_factory=asyncio.Lock)


class Transactions:
    """Transactions whose connections this daemon holds.

    Each is pinned to one connection until it ends. If its outcome is
    unknown, the connection is closed instead of being used again.
    """

    def __init__(
        self,
        own_id: str,
        time_source: clock.Clock,
        run: filters.Proceed[execution.OwnerExchange],
    ) -> None:
        """Initialize without transactions.

        :param run: filter chain that runs an exchange
        """
        self._own_id = own_id
        self._clock = time_source
        self._run = run
        self._numbers = itertools.count(1)
        self._open: dict[str, _Transaction] = {}
        self._idle_task: asyncio.Task[None] | None = None

    @property
    def count(self) -> int:
        """Number of open transactions."""
        return len(self._open)

    def start(self) -> None:
        """Start to end transactions that exceed the idle timeout."""
        self._idle_task = asyncio.create_task(self._end_idle())

    async def close(self) -> None:
        """End all transactions and close their connections."""
        if self._idle_task is not None:
            self._idle_task.cancel()
            await asyncio.gather(self._idle_task, return_exceptions=True)
        for transaction in tuple(self._open.values()):
            self._end(transaction, healthy=False)

    def end_all_from(self, peer: str) -> None:
        """End the transactions of an entry daemon whose link is lost."""
        for transaction in tuple(self._open.values()):
            if transaction.peer == peer:
                self._end(transaction, healthy=False)

    async def begin(
        self, exchange: execution.OwnerExchange
    ) -> filters.Outcome:
        """Open a transaction and pin it to its connection."""
        outcome = await self._run(exchange)
        if outcome.is_error():
            return outcome
        assert exchange.reservation is not None
        transaction_id = TransactionId(
            self._own_id, exchange.endpoint, next(self._numbers)
        )
        self._open[str(transaction_id)] = _Transaction(
            transaction_id,
            exchange.request.caller,
            exchange.plan.database,
            exchange.term,
            exchange.peer,
            exchange.reservation,
            self._clock.now(),
        )
        return results.succeed(
            dataclasses.replace(outcome.ok, transaction=str(transaction_id))
        )

    async def run(self, exchange: execution.OwnerExchange) -> filters.Outcome:
        """Run a request of an open transaction; one at a time, in order."""
        request = exchange.request
        transaction = self._open.get(request.transaction)
        if transaction is None or not _belongs(transaction, request):
            return expression.Error(_make_unknown_error(self._own_id))
        async with transaction.lock:
            if request.transaction not in self._open:
                return expression.Error(_make_unknown_error(self._own_id))
            return await self._run_locked(transaction, exchange)

    async def _run_locked(
        self, transaction: _Transaction, exchange: execution.OwnerExchange
    ) -> filters.Outcome:
        exchange.reservation = transaction.reservation
        exchange.term = transaction.term
        outcome: filters.Outcome | None = None
        try:
            outcome = await self._run(exchange)
        finally:
            transaction.used_at = self._clock.now()
            if outcome is None:
                self._end(transaction, healthy=False)
        ends = exchange.request.action in (
            requests.Action.COMMIT,
            requests.Action.ROLLBACK,
        )
        if outcome.is_ok():
            if ends:
                self._end(transaction, healthy=True)
        elif (
            isinstance(outcome.error, errors.TermRefused)
            or not isinstance(
                outcome.error, (errors.NotRun, errors.StatementFailed)
            )
            or (ends and isinstance(outcome.error, errors.StatementFailed))
        ):
            self._end(transaction, healthy=False)
        return outcome

    def _end(self, transaction: _Transaction, healthy: bool) -> None:
        self._open.pop(str(transaction.id), None)
        transaction.reservation.release(healthy)

    async def _end_idle(self) -> None:
        while True:
            await asyncio.sleep(IDLE_CHECK_INTERVAL_SECONDS)
            idle_before = self._clock.now() - IDLE_TIMEOUT_SECONDS
            for transaction in tuple(self._open.values()):
                idle = transaction.used_at < idle_before
                if idle and not transaction.lock.locked():
                    self._end(transaction, healthy=False)


def _belongs(transaction: _Transaction, request: requests.Request) -> bool:
    return (
        transaction.caller == request.caller
        and transaction.database == request.database
    )


def _make_unknown_error(peer: str) -> errors.InvalidInput:
    return errors.InvalidInput(
        message="the transaction is not open: it or its owner has ended",
        step=STEP,
        peer=peer,
        field="transaction",
    )
