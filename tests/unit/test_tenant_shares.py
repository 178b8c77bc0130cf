"""Admission while tenants share an endpoint.

Guards against a tenant whose load delays or refuses the work of others.
"""

import heapq
import random

from fescuestile import admission
from fescuestile import concurrency

SLOTS = 4
SERVICE_SECONDS = 0.01
OPTIONS = admission.AdmissionOptions(
    slots=SLOTS,
    floors=(0.1, 0.1, 0.1),
    initial_service=SERVICE_SECONDS,
    way=concurrency.Way.DECLARED,
)
# Statements that the slots run in a second.
CAPACITY = SLOTS / SERVICE_SECONDS
DEADLINE_SECONDS = 0.5
TENANTS = 84
SKEW = 1.2
SHARES = [rank**-SKEW for rank in range(1, TENANTS + 1)]
RATES = [share / sum(SHARES) * CAPACITY for share in SHARES]


def make_work(tenant, now, level=1, caller="c", **fields):
    return admission.Work(
        level,
        f"kind-{level}",
        caller,
        now + DEADLINE_SECONDS,
        tenant=tenant,
        **fields,
    )


def create_arrivals(rates, seconds, seed=1):
    """Return (time, tenant) of Poisson arrivals with a rate each."""
    source = random.Random(seed)
    arrivals = []
    for tenant, rate in enumerate(rates):
        now = source.expovariate(rate)
        while now < seconds:
            arrivals.append((now, str(tenant)))
            now += source.expovariate(rate)
    return sorted(arrivals)


def run(arrivals, find_level=lambda tenant: 1):
    """Run arrivals; return (tenant, waited or None when refused) of each."""
    queue = admission.AdmissionQueue(OPTIONS)
    results = []
    ends: list[tuple[float, int, admission.Ticket]] = []

    def dequeue(now):
        batch = queue.dequeue(now)
        for ticket in batch.started:
            results.append((ticket.work.tenant, now - ticket.offered_at))
            heapq.heappush(ends, (now + SERVICE_SECONDS, id(ticket), ticket))
        results.extend(
            (drop.ticket.work.tenant, None) for drop in batch.dropped
        )

    def release_until(now):
        while ends and ends[0][0] <= now:
            at, _, ticket = heapq.heappop(ends)
            queue.release(ticket, at)
            dequeue(at)

    for number, (now, tenant) in enumerate(arrivals):
        release_until(now)
        work = make_work(tenant, now, find_level(tenant), f"c{number % 50}")
        if queue.offer(work, now).is_error():
            results.append((tenant, None))
        dequeue(now)
    release_until(float("inf"))
    return results


def split(results, tenants):
    """Return the results of some tenants and those of the others."""
    chosen = [wait for tenant, wait in results if tenant in tenants]
    others = [wait for tenant, wait in results if tenant not in tenants]
    return chosen, others


def measure_served(waits, seconds=DEADLINE_SECONDS):
    """Return which share started within some seconds."""
    served = [wait for wait in waits if wait is not None and wait <= seconds]
    return len(served) / len(waits)


def test_a_tenant_at_6_5_times_its_usual_waits_behind_its_own_work():
    rates = [rate * 0.6 for rate in RATES]
    hot = 1
    rates[hot] *= 6.5
    assert sum(rates) > CAPACITY
    own, others = split(run(create_arrivals(rates, 20.0)), {str(hot)})
    assert measure_served(others, 0.1) >= 0.99
    assert measure_served(own, 0.1) < 0.5


def test_two_tenants_at_5_6_times_in_a_burst_of_2_5_times():
    rates = [rate * 0.3 * 2.5 for rate in RATES]
    for hot in (1, 2):
        rates[hot] *= 5.6
    assert sum(rates) > 1.4 * CAPACITY
    _, others = split(run(create_arrivals(rates, 20.0)), {"0", "1", "2"})
    assert measure_served(others, 0.15) >= 0.99


def test_tenants_of_skewed_load_are_all_served_in_calm():
    rates = [rate * 0.7 for rate in RATES]
    results = run(create_arrivals(rates, 30.0))
    assert measure_served([wait for _, wait in results], 0.05) >= 0.99


def test_a_flood_of_many_tenants_of_one_rank_does_not_delay_an_urgent_one():
    rates = [10 * CAPACITY / TENANTS] * TENANTS + [0.2 * CAPACITY]
    urgent = str(TENANTS)
    own, _ = split(
        run(
            create_arrivals(rates, 5.0),
            lambda tenant: 0 if tenant == urgent else 2,
        ),
        {urgent},
    )
    assert measure_served(own, 0.05) >= 0.99


def test_saturated_tenants_share_by_weight():
    queue = admission.AdmissionQueue(OPTIONS)
    for number in range(400):
        for tenant, weight in (("light", 1), ("heavy", 3)):
            work = make_work(tenant, 99.0, caller=str(number), weight=weight)
            assert queue.offer(work, 0.0).is_ok()
    started = []
    for step in range(50):
        now = step * SERVICE_SECONDS
        for ticket in queue.dequeue(now).started:
            started.append(ticket)
        for ticket in started[-SLOTS:]:
            queue.release(ticket, now + SERVICE_SECONDS)
    heavy = [ticket for ticket in started if ticket.work.tenant == "heavy"]
    assert len(started) == 200
    assert 148 <= len(heavy) <= 152


def test_a_full_queue_drops_work_of_the_tenant_with_the_most():
    queue = admission.AdmissionQueue(
        admission.AdmissionOptions(slots=1, floors=(0.1,), rank_queue_limit=20)
    )
    for number in range(21):
        # Many kinds and callers: no single flow is long.
        work = admission.Work(
            0, f"kind-{number % 5}", f"c{number}", 99.0, tenant="hot"
        )
        queue.offer(work, 0.0)
        queue.dequeue(0.0)
    for number in range(4):
        work = admission.Work(0, "kind", "c", 99.0, tenant=f"t{number % 2}")
        assert queue.offer(work, 0.0).is_ok()
    dropped = queue.dequeue(0.0).dropped
    assert [drop.ticket.work.tenant for drop in dropped] == ["hot"] * 4


def test_the_estimated_wait_is_that_of_the_order():
    """Guards against refusing work because of another tenant's queue."""
    queue = admission.AdmissionQueue(OPTIONS)
    for number in range(300):
        work = make_work("hot", 0.8, caller=str(number))
        assert queue.offer(work, 0.0).is_ok()
    queue.dequeue(0.0)
    calm = make_work("calm", 0.0)
    assert queue.estimate_wait(calm, 0.0) <= SERVICE_SECONDS
    assert queue.count_ahead(calm) <= 2
    hot = make_work("hot", 0.0, caller="300")
    assert queue.estimate_wait(hot, 0.0) >= 290 / CAPACITY
    ticket = queue.offer(calm, 0.0).ok
    # Nothing ends for 0.45 s, so the last of the hot tenant are late.
    queue.drop_late(0.45)
    dropped = [drop.ticket for drop in queue.dequeue(0.45).dropped]
    assert dropped
    assert ticket not in dropped


def test_queues_of_tenants_that_have_gone_are_removed():
    queue = admission.AdmissionQueue(OPTIONS)
    for number in range(1000):
        now = number * SERVICE_SECONDS
        queue.offer(make_work(f"t{number}", now), now)
        for ticket in queue.dequeue(now).started:
            queue.release(ticket, now + SERVICE_SECONDS)
    assert len(queue._ranks[1].queue._tenants) <= 200
