"""Pool of the slots and connections of one endpoint, at its owner.

A running statement holds a slot and a connection. A transaction holds its
connection until it ends, and a slot only while a statement of it runs.
"""

import asyncio
import contextlib
import dataclasses

import expression

from fescuestile import admission
from fescuestile import clock
from fescuestile import concurrency
from fescuestile import errors
from fescuestile import plans
from fescuestile import ports
from fescuestile import results
from fescuestile_daemon import connection_set
from fescuestile_daemon import slot_queue

STEP = "lease"
INITIAL_TRANSACTION_SECONDS = 0.05

Admitted = expression.Result[None, errors.FescuestileError]


class Reservation:
    """A reserved connection, with a slot while a statement runs on it."""

    def __init__(
        self,
        pool: "EndpointPool",
        connection: ports.EndpointConnection,
        slot_ticket: admission.Ticket,
        transaction: admission.Ticket | None,
    ) -> None:
        """Initialize; created by ``EndpointPool.reserve``."""
        self._pool = pool
        self._connection = connection
        self._slot_ticket: admission.Ticket | None = slot_ticket
        self._transaction_ticket = transaction
        self._released = False

    @property
    def connection(self) -> ports.EndpointConnection:
        """The reserved connection."""
        return self._connection

    def release_slot(self) -> None:
        """Release the slot between two statements of a transaction."""
        if self._slot_ticket is not None:
            self._pool.release_slot(self._slot_ticket)
            self._slot_ticket = None

    async def acquire_slot(self, work: admission.Work) -> Admitted:
        """Wait for a slot for the transaction's next statement.

        :param work: the statement
        :returns: nothing, or why the statement did not run
        """
        if self._slot_ticket is not None or self._released:
            raise RuntimeError("the reservation has a slot or was released")
        admitted = await self._pool.acquire_slot(
            dataclasses.replace(work, continues=True)
        )
        if admitted.is_error():
            return expression.Error(admitted.error)
        if self._released:
            self._pool.release_slot(admitted.ok)
            raise RuntimeError("released while waiting for a slot")
        self._slot_ticket = admitted.ok
        return results.succeed(None)

    def release(self, healthy: bool) -> None:
        """Release all that is reserved; a second call does nothing.

        :param healthy: False closes the connection: the outcome of its
            transaction is unknown, or a reply is still outstanding on it
        """
        if self._released:
            return
        self._released = True
        self.release_slot()
        self._pool.end_reservation(self, self._transaction_ticket, healthy)


class EndpointPool:
    """Admits work to an owned endpoint and reserves connections for it."""

    def __init__(
        self,
        endpoint: plans.Endpoint,
        options: admission.AdmissionOptions,
        dialer: ports.EndpointDialer,
        time_source: clock.Clock,
        connection_options: connection_set.ConnectionOptions | None = None,
    ) -> None:
        """Initialize without connections; see also ``create_pool``."""
        self._endpoint = endpoint
        self._clock = time_source
        self._connections = connection_set.ConnectionSet(
            endpoint,
            dialer,
            time_source,
            connection_options or connection_set.ConnectionOptions(),
        )
        self._slot_queue = _create_queue(options, endpoint, time_source)
        self._transaction_queue = _create_queue(
            _limit_transactions(options, endpoint), endpoint, time_source
        )
        self._reservations: set[Reservation] = set()
        self._drained = asyncio.Event()
        self._drained.set()
        self._closed = False

    @property
    def endpoint(self) -> plans.Endpoint:
        """The endpoint, as declared in the plan."""
        return self._endpoint

    @property
    def running(self) -> int:
        """Number of statements that hold a slot."""
        return self._slot_queue.running

    @property
    def waiting(self) -> int:
        """Number of requests that wait for a slot or to open a transaction."""
        return self._slot_queue.waiting + self._transaction_queue.waiting

    @property
    def connections(self) -> int:
        """Number of connections that are opening, open or closing."""
        return self._connections.connection_count

    @property
    def down(self) -> bool:
        """Whether new connections to the endpoint keep failing."""
        return self._connections.down

    def start(self) -> None:
        """Start to open connections."""
        self._connections.start()

    def configure(
        self, endpoint: plans.Endpoint, options: admission.AdmissionOptions
    ) -> None:
        """Apply a changed plan of the endpoint."""
        self._endpoint = endpoint
        self._slot_queue.configure(options)
        self._transaction_queue.configure(
            _limit_transactions(options, endpoint)
        )
        self._connections.configure(endpoint)

    def estimate_wait(self, level: int) -> float:
        """Return the expected wait of new work of a level, in seconds."""
        return self._slot_queue.estimate_wait(level)

    async def reserve(
        self, work: admission.Work, transaction: bool = False
    ) -> expression.Result[Reservation, errors.FescuestileError]:
        """Wait for a slot and a connection.

        :param work: what the slot is for
        :param transaction: the work opens a transaction
        :returns: the reservation, or NotRun
        """
        transaction_ticket: admission.Ticket | None = None
        if transaction:
            opened = await self._transaction_queue.acquire(work)
            if opened.is_error():
                return expression.Error(opened.error)
            transaction_ticket = opened.ok
        reserved: (
            expression.Result[Reservation, errors.FescuestileError] | None
        ) = None
        try:
            reserved = await self._reserve_connection(work, transaction_ticket)
        finally:
            if transaction_ticket is not None and (
                reserved is None or reserved.is_error()
            ):
                self._transaction_queue.release(
                    transaction_ticket, measured=False
                )
        return reserved

    async def acquire_slot(self, work: admission.Work) -> slot_queue.Admitted:
        """Wait for a slot; called by reservations."""
        if self._connections.down:
            return expression.Error(
                self._make_refusal(
                    "the endpoint is down: new connections fail"
                )
            )
        return await self._slot_queue.acquire(work)

    def release_slot(self, slot_ticket: admission.Ticket) -> None:
        """Release a slot; called by reservations."""
        self._slot_queue.release(slot_ticket)

    def end_reservation(
        self,
        reservation: Reservation,
        transaction: admission.Ticket | None,
        healthy: bool,
    ) -> None:
        """Release what was reserved; called by reservations.

        :param healthy: whether the connection can be used again
        """
        if transaction is not None:
            self._transaction_queue.release(transaction)
        if healthy:
            self._connections.release(reservation.connection)
        else:
            self._connections.discard(reservation.connection)
        self._reservations.discard(reservation)
        if not self._reservations:
            self._drained.set()

    async def close(self, drain_timeout: float = 5.0) -> None:
        """Refuse new work, finish work in flight, close all connections.

        :param drain_timeout: seconds that work in flight may still take
        """
        self._closed = True
        refusal = self._make_refusal("this daemon no longer owns the endpoint")
        self._transaction_queue.refuse_waiting(refusal)
        self._slot_queue.refuse_waiting(refusal)
        with contextlib.suppress(TimeoutError):
            await asyncio.wait_for(self._drained.wait(), drain_timeout)
        await self._connections.close()
        self._slot_queue.close()
        self._transaction_queue.close()

    async def _reserve_connection(
        self, work: admission.Work, transaction_ticket: admission.Ticket | None
    ) -> expression.Result[Reservation, errors.FescuestileError]:
        if self._closed:
            return expression.Error(
                self._make_refusal("this daemon no longer owns the endpoint")
            )
        admitted = await self.acquire_slot(work)
        if admitted.is_error():
            return expression.Error(admitted.error)
        slot_ticket = admitted.ok
        connected: connection_set.Connected | None = None
        try:
            remaining = max(0.0, work.deadline - self._clock.now())
            connected = await self._connections.acquire(remaining)
        finally:
            if connected is None or connected.is_error():
                self._slot_queue.release(slot_ticket, measured=False)
        if connected.is_error():
            return expression.Error(
                self._make_refusal(connected.error.message)
            )
        reservation = Reservation(
            self, connected.ok, slot_ticket, transaction_ticket
        )
        self._reservations.add(reservation)
        self._drained.clear()
        return results.succeed(reservation)

    def _make_refusal(self, message: str) -> errors.NotRun:
        return errors.NotRun(
            message=message,
            step=STEP,
            peer=self._endpoint.name,
            retry_after=max(
                self._connections.retry_after,
                admission.MIN_RETRY_AFTER_SECONDS,
            ),
        )


def create_pool(
    plan: plans.Plan,
    endpoint: plans.Endpoint,
    dialer: ports.EndpointDialer,
    time_source: clock.Clock,
) -> EndpointPool:
    """Return a pool for an endpoint, with the limits of its plan."""
    options = admission.create_options(plan, endpoint)
    return EndpointPool(endpoint, options, dialer, time_source)


def _create_queue(
    options: admission.AdmissionOptions,
    endpoint: plans.Endpoint,
    time_source: clock.Clock,
) -> slot_queue.SlotQueue:
    queue = admission.AdmissionQueue(options, endpoint.name)
    return slot_queue.SlotQueue(queue, time_source)


def _limit_transactions(
    options: admission.AdmissionOptions, endpoint: plans.Endpoint
) -> admission.AdmissionOptions:
    """Return limits that keep a connection free for each slot.

    A transaction holds its connection between statements too.
    """
    return dataclasses.replace(
        options,
        slots=max(1, endpoint.connections - endpoint.slots),
        initial_service=INITIAL_TRANSACTION_SECONDS,
        way=concurrency.Way.DECLARED,
    )
