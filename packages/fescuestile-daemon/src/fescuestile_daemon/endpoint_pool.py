"""Slots and connections of one endpoint, at its owner.

A running statement holds a slot and a connection. A transaction holds its
connection until it ends, and a slot only while a statement of it runs.
"""

import asyncio
import contextlib
import dataclasses

import expression

from fescuestile import admission
from fescuestile import clock
from fescuestile import errors
from fescuestile import plans
from fescuestile import ports
from fescuestile import results
from fescuestile_daemon import connection_set
from fescuestile_daemon import slot_queue

STEP = "lease"
TRANSACTION_SERVICE_SECONDS = 0.05

Admitted = expression.Result[None, errors.FescuestileError]


class Lease:
    """One connection, and a slot while a statement runs on it."""

    def __init__(
        self,
        pool: "EndpointPool",
        connection: ports.EndpointConnection,
        slot: admission.Ticket,
        transaction: admission.Ticket | None,
    ) -> None:
        """Use ``EndpointPool.lease`` instead."""
        self._pool = pool
        self._connection = connection
        self._slot: admission.Ticket | None = slot
        self._transaction = transaction
        self._released = False

    @property
    def connection(self) -> ports.EndpointConnection:
        """The connection."""
        return self._connection

    def pause(self) -> None:
        """Give back the slot between two statements of a transaction."""
        if self._slot is not None:
            self._pool.release_slot(self._slot)
            self._slot = None

    async def resume(self, work: admission.Work) -> Admitted:
        """Wait for a slot for the transaction's next statement.

        :param work: the statement
        :returns: nothing, or why the statement did not run
        """
        if self._slot is not None or self._released:
            raise RuntimeError("the lease holds a slot or was released")
        admitted = await self._pool.acquire_slot(
            dataclasses.replace(work, continues=True)
        )
        if admitted.is_error():
            return expression.Error(admitted.error)
        if self._released:
            self._pool.release_slot(admitted.ok)
            raise RuntimeError("the lease was released meanwhile")
        self._slot = admitted.ok
        return results.succeed(None)

    def release(self, healthy: bool) -> None:
        """Give back all that the lease holds; a second call does nothing.

        :param healthy: False closes the connection, as when a transaction
            ended unclear or an answer is still due on it
        """
        if self._released:
            return
        self._released = True
        self.pause()
        self._pool.end_lease(self, self._transaction, healthy)


class EndpointPool:
    """Admits work to an owned endpoint and lends out its connections."""

    def __init__(
        self,
        endpoint: plans.Endpoint,
        options: admission.AdmissionOptions,
        dialer: ports.EndpointDialer,
        own_clock: clock.Clock,
        connection_options: connection_set.ConnectionOptions | None = None,
    ) -> None:
        """Hold nothing yet; use ``create_pool`` for a plan's endpoint."""
        self._endpoint = endpoint
        self._clock = own_clock
        self._connections = connection_set.ConnectionSet(
            endpoint,
            dialer,
            own_clock,
            connection_options or connection_set.ConnectionOptions(),
        )
        self._slots = _create_queue(options, endpoint, own_clock)
        self._transactions = _create_queue(
            _limit_transactions(options, endpoint), endpoint, own_clock
        )
        self._leases: set[Lease] = set()
        self._drained = asyncio.Event()
        self._drained.set()
        self._closed = False

    @property
    def endpoint(self) -> plans.Endpoint:
        """The endpoint's plan."""
        return self._endpoint

    @property
    def running(self) -> int:
        """Statements that hold a slot."""
        return self._slots.running

    @property
    def waiting(self) -> int:
        """Pieces of work that wait for a slot or a transaction's place."""
        return self._slots.waiting + self._transactions.waiting

    @property
    def connections(self) -> int:
        """Connections that are opening, open or closing."""
        return self._connections.places

    @property
    def down(self) -> bool:
        """Whether new connections to the endpoint keep failing."""
        return self._connections.down

    def start(self) -> None:
        """Begin to open connections."""
        self._connections.start()

    def configure(
        self, endpoint: plans.Endpoint, options: admission.AdmissionOptions
    ) -> None:
        """Put a changed plan of the endpoint in force."""
        self._endpoint = endpoint
        self._slots.configure(options)
        self._transactions.configure(_limit_transactions(options, endpoint))
        self._connections.configure(endpoint)

    def estimate_wait(self, level: int) -> float:
        """Return the seconds that new work of a level waits."""
        return self._slots.estimate_wait(level)

    async def lease(
        self, work: admission.Work, transaction: bool = False
    ) -> expression.Result[Lease, errors.FescuestileError]:
        """Wait for a slot and a connection.

        :param work: the work
        :param transaction: the work opens a transaction
        :returns: the lease, or NotRun
        """
        place: admission.Ticket | None = None
        if transaction:
            opened = await self._transactions.acquire(work)
            if opened.is_error():
                return expression.Error(opened.error)
            place = opened.ok
        leased: expression.Result[Lease, errors.FescuestileError] | None = None
        try:
            leased = await self._lease_statement(work, place)
        finally:
            if place is not None and (leased is None or leased.is_error()):
                self._transactions.release(place, measured=False)
        return leased

    async def acquire_slot(self, work: admission.Work) -> slot_queue.Admitted:
        """Wait for a slot; for leases."""
        if self._connections.down:
            return expression.Error(self._refuse("the endpoint is down"))
        return await self._slots.acquire(work)

    def release_slot(self, slot: admission.Ticket) -> None:
        """Give back a slot; for leases."""
        self._slots.release(slot)

    def end_lease(
        self,
        lease: Lease,
        transaction: admission.Ticket | None,
        healthy: bool,
    ) -> None:
        """Take back what a lease held; for leases."""
        if transaction is not None:
            self._transactions.release(transaction)
        if healthy:
            self._connections.give_back(lease.connection)
        else:
            self._connections.discard(lease.connection)
        self._leases.discard(lease)
        if not self._leases:
            self._drained.set()

    async def close(self, drain_timeout: float = 5.0) -> None:
        """Refuse new work, let what runs end, then close all connections.

        :param drain_timeout: seconds that leases may still take
        """
        self._closed = True
        refusal = self._refuse("the endpoint is given up by its owner")
        self._transactions.refuse_waiting(refusal)
        self._slots.refuse_waiting(refusal)
        with contextlib.suppress(TimeoutError):
            await asyncio.wait_for(self._drained.wait(), drain_timeout)
        await self._connections.close()
        self._slots.close()
        self._transactions.close()

    async def _lease_statement(
        self, work: admission.Work, place: admission.Ticket | None
    ) -> expression.Result[Lease, errors.FescuestileError]:
        if self._closed:
            return expression.Error(
                self._refuse("the endpoint is given up by its owner")
            )
        admitted = await self.acquire_slot(work)
        if admitted.is_error():
            return expression.Error(admitted.error)
        slot = admitted.ok
        connected: connection_set.Connected | None = None
        try:
            remaining = max(0.0, work.deadline - self._clock.now())
            connected = await self._connections.acquire(remaining)
        finally:
            if connected is None or connected.is_error():
                self._slots.release(slot, measured=False)
        if connected.is_error():
            return expression.Error(self._refuse(connected.error.message))
        lease = Lease(self, connected.ok, slot, place)
        self._leases.add(lease)
        self._drained.clear()
        return results.succeed(lease)

    def _refuse(self, message: str) -> errors.NotRun:
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
    own_clock: clock.Clock,
) -> EndpointPool:
    """Return the pool of an endpoint as its plan says."""
    options = admission.create_options(plan, endpoint)
    return EndpointPool(endpoint, options, dialer, own_clock)


def _create_queue(
    options: admission.AdmissionOptions,
    endpoint: plans.Endpoint,
    own_clock: clock.Clock,
) -> slot_queue.SlotQueue:
    queue = admission.AdmissionQueue(options, endpoint.name)
    return slot_queue.SlotQueue(queue, own_clock)


def _limit_transactions(
    options: admission.AdmissionOptions, endpoint: plans.Endpoint
) -> admission.AdmissionOptions:
    """Keep a connection for each slot free of transactions."""
    return dataclasses.replace(
        options,
        slots=max(1, endpoint.connections - endpoint.slots),
        initial_service=TRANSACTION_SERVICE_SECONDS,
        follows_latency=False,
    )
