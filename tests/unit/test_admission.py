import dataclasses
import random

import pytest

from fescuestile import admission

SERVICE_SECONDS = 0.01
FLOOR = 0.1
OPTIONS = admission.AdmissionOptions(
    slots=2, floors=(FLOOR, FLOOR, FLOOR), initial_service=SERVICE_SECONDS
)


def make_work(level=0, kind="", caller="anna", deadline=1.0, **fields):
    return admission.Work(
        level, kind or f"kind-{level}", caller, deadline, **fields
    )


def run_full(queue, seconds, works, now=0.0):
    """Run a queue at capacity; return the work that ran, in order.

    :param seconds: time at which to stop
    :param works: returns the work that arrives at a time
    """
    done = []
    while now < seconds:
        for work in works(now):
            queue.offer(work, now)
        started = queue.dequeue(now).started
        now += SERVICE_SECONDS
        for ticket in started:
            queue.release(ticket, now)
            done.append(ticket.work)
    return done


def make_load(*flows):
    """Return a source of work.

    :param flows: tuples of level, kind, caller and count per round
    """

    def offer(now):
        return [
            make_work(level, kind, caller, now + 1.0)
            for level, kind, caller, count in flows
            for _ in range(count)
        ]

    return offer


def count_share(done, **fields):
    matching = [
        work
        for work in done
        if all(getattr(work, name) == value for name, value in fields.items())
    ]
    return len(matching) / len(done)


def test_more_urgent_ranks_start_first():
    queue = admission.AdmissionQueue(OPTIONS)
    for level in (2, 1, 0):
        queue.offer(make_work(level), 0.0)
    levels = [ticket.work.level for ticket in queue.dequeue(0.0).started]
    assert levels[0] == 0
    assert queue.running == OPTIONS.slots
    assert queue.waiting == 1


def test_each_rank_keeps_its_floor_in_a_flood_of_the_urgent_one():
    queue = admission.AdmissionQueue(OPTIONS)
    source = make_load((0, "a", "x", 40), (1, "b", "y", 2), (2, "c", "z", 2))
    done = run_full(queue, 10.0, source)
    assert count_share(done, level=1) >= FLOOR * 0.98
    assert count_share(done, level=2) >= FLOOR * 0.98
    assert count_share(done, level=0) >= 1 - 2 * FLOOR - 0.02


def test_a_rank_with_sparse_work_keeps_its_floor():
    queue = admission.AdmissionQueue(OPTIONS)
    urgent = make_load((0, "a", "x", 4))
    source = random.Random(1)

    def offer(now):
        works = urgent(now)
        if source.random() < 4 * FLOOR:
            timeout = SERVICE_SECONDS * source.uniform(3, 6)
            works.append(make_work(1, "b", "y", now + timeout))
        return works

    done = run_full(queue, 20.0, offer)
    assert count_share(done, level=1) >= FLOOR


def test_a_flood_delays_only_its_own_kind_and_caller():
    queue = admission.AdmissionQueue(OPTIONS)
    source = make_load(
        (0, "storm", "x", 40), (0, "order", "loud", 9), (0, "order", "y", 1)
    )
    done = run_full(queue, 10.0, source)
    assert count_share(done, kind="storm") <= 0.51
    assert count_share(done, kind="order", caller="y") >= 0.24


def test_work_that_cannot_make_its_deadline_is_refused_at_once():
    queue = admission.AdmissionQueue(OPTIONS)
    for _ in range(20):
        queue.offer(make_work(), 0.0)
        queue.dequeue(0.0)
    wait = queue.expected_wait(0, 0.0)
    assert wait == pytest.approx(0.095, abs=0.02)
    refusal = queue.offer(make_work(deadline=0.05), 0.0).error
    needed = (
        wait * OPTIONS.wait_factor + SERVICE_SECONDS * OPTIONS.service_factor
    )
    assert refusal.retry_after == pytest.approx(needed - 0.05, abs=0.001)
    assert queue.offer(make_work(deadline=needed + 0.01), 0.0).is_ok()
    assert refusal.step == "admit"


def test_expired_work_is_dropped_and_never_starts():
    queue = admission.AdmissionQueue(OPTIONS)
    for _ in range(6):
        queue.offer(make_work(deadline=0.2), 0.0)
    queue.dequeue(0.0)
    assert queue.next_expiry() == 0.2
    batch = queue.dequeue(0.3)
    assert not batch.started
    assert len(batch.dropped) == 4
    assert queue.waiting == 0


def test_a_full_rank_drops_the_newest_of_the_flooding_kind():
    options = dataclasses.replace(OPTIONS, rank_queue_limit=8)
    queue = admission.AdmissionQueue(options)
    tickets = [
        queue.offer(make_work(kind="storm", caller="x"), 0.0).ok
        for _ in range(8)
    ]
    wait = queue.expected_wait(0, 0.0, "storm", "x")
    refused = queue.offer(make_work(kind="storm", caller="x"), 0.0).error
    assert wait >= 3 * SERVICE_SECONDS
    assert refused.retry_after == wait
    assert queue.offer(make_work(kind="order"), 0.0).is_ok()
    dropped = queue.dequeue(0.0).dropped
    assert [drop.ticket for drop in dropped] == [tickets[-1]]
    assert dropped[0].error.retry_after == wait


@pytest.mark.parametrize("contended", [True, False])
def test_fewer_run_at_a_slow_endpoint_only_where_that_helps(contended):
    options = dataclasses.replace(OPTIONS, slots=8)
    queue = admission.AdmissionQueue(options)
    now = 0.0

    def run(seconds, count):
        nonlocal now
        lowest = options.slots
        for _ in range(count):
            for _ in range(8):
                queue.offer(make_work(deadline=now + 9.0), now)
            started = queue.dequeue(now).started
            assert queue.running <= options.slots
            now += seconds * len(started) / 8 if contended else seconds
            for ticket in started:
                queue.release(ticket, now)
            lowest = min(lowest, queue.limit)
        return lowest

    run(0.01, 20)
    assert queue.limit == 8
    assert run(0.08, 14) < 8
    assert (queue.limit == 8) is not contended
    run(0.01, 100)
    assert queue.limit == 8


def test_a_wrong_estimate_is_corrected_by_new_samples():
    queue = admission.AdmissionQueue(OPTIONS)
    queue.offer(make_work(deadline=100.0), 0.0)
    (ticket,) = queue.dequeue(0.0).started
    queue.release(ticket, 60.0)
    done = run_full(queue, 62.0, make_load((0, "kind-0", "anna", 1)), 60.0)
    assert len(done) >= 150


def test_a_changed_plan_keeps_the_work_that_waits():
    queue = admission.AdmissionQueue(OPTIONS)
    for level in (0, 1, 2, 2):
        queue.offer(make_work(level), 0.0)
    running = queue.dequeue(0.0).started
    queue.configure(admission.AdmissionOptions(slots=4, floors=(0.5, 0.1)))
    for ticket in running:
        queue.release(ticket, 0.01)
    assert len(queue.dequeue(0.01).started) == 2


@pytest.mark.parametrize("seed", range(5))
def test_every_ticket_ends_once_and_slots_are_never_passed(seed):
    source = random.Random(seed)
    options = dataclasses.replace(OPTIONS, rank_queue_limit=16)
    queue = admission.AdmissionQueue(options)
    waiting: set[admission.Ticket] = set()
    running: set[admission.Ticket] = set()
    now = 0.0
    for _ in range(3000):
        now += source.expovariate(200)
        step = source.random()
        if step < 0.6:
            work = make_work(
                source.randrange(3),
                source.choice("abc"),
                source.choice("xyz"),
                now + source.uniform(0.01, 0.5),
                continues=source.random() < 0.1,
            )
            queue.offer(work, now).map(waiting.add)
        elif step < 0.65 and waiting:
            ticket = source.choice(sorted(waiting, key=id))
            if queue.withdraw(ticket):
                waiting.remove(ticket)
        elif running:
            ticket = running.pop()
            queue.release(ticket, now)
        batch = queue.dequeue(now)
        ended = {drop.ticket for drop in batch.dropped}
        assert ended <= waiting
        assert set(batch.started) <= waiting - ended
        waiting -= ended | set(batch.started)
        running |= set(batch.started)
        assert len(running) == queue.running <= options.slots
        assert len(waiting) == queue.waiting
        assert all(ticket.work.deadline > now for ticket in waiting)


def test_nothing_expires_while_nothing_waits():
    options = admission.AdmissionOptions(slots=1, floors=(0.1,))
    queue = admission.AdmissionQueue(options)
    queue.offer(make_work(deadline=1.0), 0.0)
    (first,) = queue.dequeue(0.0).started
    assert queue.next_expiry() is None
    queue.offer(make_work(deadline=2.0), 0.0)
    queue.dequeue(1.0)
    assert queue.next_expiry() == 2.0
    queue.release(first, 1.0)


def test_a_burst_at_an_endpoint_that_turned_slow_is_refused_early():
    """Work was admitted while its service time was still underestimated."""
    queue = admission.AdmissionQueue(OPTIONS)
    burst = [make_work(deadline=0.8, caller=str(n)) for n in range(60)]
    for work in burst:
        queue.offer(work, 0.0)
    started = queue.dequeue(0.0).started
    for ticket in started:
        queue.release(ticket, 0.1)
    dropped = queue.dequeue(0.1).dropped
    # With two at a time and 0.1 s each, 12 more can end in time.
    assert 60 - 2 - 12 <= len(dropped) <= 60 - 2 - 6
    assert queue.running == 2
