"""Queue of one rank, fair among tenants, kinds of work and callers.

Tenants share by service time and weight, the kinds of a tenant by service
time (both by start-time fair queueing), the callers of a kind are served
round-robin, and one caller's work stays in order. An overload of one tenant,
of one kind, or by one caller, therefore lengthens only its own queue.
"""

import heapq
import operator
import typing

from fescuestile import tenant_queue

Work = tenant_queue.Work
Ticket = tenant_queue.Ticket

# Idle tenants that a queue keeps before it looks for some to remove; tenants
# come and go with the configuration.
MAX_IDLE_TENANTS = 128


class FairQueue:
    """Waiting work of one rank."""

    def __init__(self) -> None:
        """Initialize an empty queue."""
        self._length = 0
        self._virtual_time = 0.0
        self._tenants: dict[str, tenant_queue.TenantQueue] = {}
        self._waiting: dict[str, tenant_queue.TenantQueue] = {}

    def __len__(self) -> int:
        """Return the number of waiting tickets."""
        return self._length

    @property
    def next_kind(self) -> str:
        """Kind that is served next; the queue must not be empty."""
        return self._waiting[self._next_tenant].next_kind

    def push(self, ticket: Ticket) -> None:
        """Enqueue a ticket."""
        name = ticket.work.tenant
        tenant = self._tenants.get(name)
        if tenant is None:
            self._remove_idle_tenants()
            tenant = self._tenants[name] = tenant_queue.TenantQueue()
        if not tenant.length:
            tenant.finish_tag = max(tenant.finish_tag, self._virtual_time)
            self._waiting[name] = tenant
        tenant.push(ticket)
        self._length += 1

    def pop(self) -> Ticket:
        """Remove and return the next ticket.

        :raises IndexError: the queue is empty
        """
        if not self._waiting:
            raise IndexError("pop from an empty queue")
        name = self._next_tenant
        tenant = self._waiting[name]
        self._virtual_time = tenant.finish_tag
        ticket = tenant.pop()
        self._on_removed(name, tenant)
        return ticket

    def charge(self, work: Work, seconds: float) -> None:
        """Charge service time to work; a negative amount is a refund."""
        tenant = self._tenants.get(work.tenant)
        if tenant is not None:
            tenant.charge(work, seconds)

    def remove(self, ticket: Ticket) -> bool:
        """Remove a ticket; return whether it waited here."""
        tenant = self._tenants.get(ticket.work.tenant)
        if tenant is None or not tenant.remove(ticket):
            return False
        self._on_removed(ticket.work.tenant, tenant)
        return True

    def __contains__(self, ticket: Ticket) -> bool:
        """Return whether a ticket waits here."""
        tenant = self._waiting.get(ticket.work.tenant)
        return tenant is not None and ticket in tenant

    def find_eviction_candidate(self) -> Ticket:
        """Return the ticket to drop when the queue is full.

        It is of the tenant with the most waiting work: the newest ticket of
        the longest flow of its kind with the most waiting work.

        :raises ValueError: the queue is empty
        """
        longest = max(self._waiting.values(), key=lambda each: each.length)
        return longest.find_newest()

    def measure_ahead(
        self, work: Work, get_service: tenant_queue.GetService
    ) -> float:
        """Return the seconds of service that are given before new work.

        :param work: the new work
        :param get_service: returns the mean service time of a kind
        """
        own = self._waiting.get(work.tenant)
        ahead = 0.0
        if own is not None:
            ahead = sum(
                get_service(kind) * count
                for kind, count in own.list_ahead(work.kind, work.caller)
            )
        known = own or self._tenants.get(work.tenant)
        tag = self._virtual_time
        if known is not None:
            tag = max(tag, known.finish_tag)
        tag += ahead / work.weight
        for other in self._waiting.values():
            if other is own or other.finish_tag > tag:
                continue
            # It is served until its tag has passed that of the new work.
            waiting = other.measure_waiting(get_service)
            until = (tag - other.finish_tag) * other.weight
            ahead += min(waiting, until + waiting / other.length)
        return ahead

    def count_ahead(self, work: Work) -> int:
        """Return about how many tickets start before new work.

        All waiting work of its tenant is counted, whatever the kind.
        """
        own = self._waiting.get(work.tenant)
        ahead = own.length if own is not None else 0
        rounds = (ahead + 1) / work.weight
        for other in self._waiting.values():
            if other is not own:
                ahead += min(other.length, round(rounds * other.weight + 0.5))
        return ahead

    def list_waiting(self) -> typing.Iterator[tuple[str, int]]:
        """Yield kinds and how many tickets of each wait, by tenant."""
        for tenant in self._waiting.values():
            yield from tenant.list_waiting()

    def list_tickets(
        self, get_service: tenant_queue.GetService
    ) -> typing.Iterator[Ticket]:
        """Yield waiting tickets in the order in which tenants are served.

        Within a tenant, tickets of one kind and caller are in order.

        :param get_service: returns the mean service time of a kind
        """
        tagged = heapq.merge(
            *(
                _tag_tickets(tenant, get_service)
                for tenant in self._waiting.values()
            ),
            key=operator.itemgetter(0),
        )
        for _, ticket in tagged:
            yield ticket

    @property
    def _next_tenant(self) -> str:
        return min(self._waiting, key=self._get_finish_tag)

    def _get_finish_tag(self, name: str) -> float:
        return self._waiting[name].finish_tag

    def _on_removed(self, name: str, tenant: tenant_queue.TenantQueue) -> None:
        self._length -= 1
        if not tenant.length:
            del self._waiting[name]

    def _remove_idle_tenants(self) -> None:
        """Remove idle tenants that have received no more than others.

        A new queue starts at the virtual time too, so the order is kept.
        While nothing waits, the virtual time hardly advances, and no tenant
        needs to wait for what it received.
        """
        if len(self._tenants) < len(self._waiting) + MAX_IDLE_TENANTS:
            return
        if not self._waiting:
            self._virtual_time = max(
                tenant.finish_tag for tenant in self._tenants.values()
            )
        for name, tenant in list(self._tenants.items()):
            if not tenant.length and tenant.finish_tag <= self._virtual_time:
                del self._tenants[name]


def _tag_tickets(
    tenant: tenant_queue.TenantQueue, get_service: tenant_queue.GetService
) -> typing.Iterator[tuple[float, Ticket]]:
    """Yield a tenant's tickets with the tags at which they are served."""
    tag = tenant.finish_tag
    for ticket in tenant.list_tickets():
        yield tag, ticket
        tag += get_service(ticket.work.kind) / ticket.work.weight
