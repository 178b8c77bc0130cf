"""Pacing under load from many independent daemons at one endpoint."""

import random

from fescuestile import pacing
from tests import crowds
from tests import virtual_time


def run_load(monkeypatch, load, seed):
    """Return a fleet after six seconds of a load, between lighter ones."""

    async def main():
        fleet = crowds.DaemonFleet(seed)
        await fleet.apply_load(((2.0, 0.7), (6.0, load), (6.0, 0.75)))
        return fleet

    return virtual_time.run(main(), monkeypatch)


def test_urgent_work_stays_quick_while_replicas_lag(monkeypatch):
    """Urgent work is starved when work queues at the endpoint.

    All reads of a group go to its primary, at 1.3 times its capacity. Work
    must wait at the daemons, where urgent work is served first, and not in
    the endpoint's queue.
    """
    fleet = run_load(monkeypatch, 1.3, 1)
    shares, slow = fleet.measure(3.0, 8.0)
    assert shares[0] >= 0.99
    assert slow[0] <= crowds.TARGET_SECONDS[0]
    assert shares[1] > shares[2]
    # All but the excess, which is about a quarter, and the cost of control.
    assert fleet.measure_value(3.0, 8.0) >= 0.75


def test_a_flood_that_ends_leaves_no_refusals_behind(monkeypatch):
    """Retries and late work may keep an endpoint full after a flood."""
    fleet = run_load(monkeypatch, 1.8, 1)
    assert fleet.measure_value(10.0, 14.0) >= 0.97


def test_an_endpoint_with_free_slots_is_not_paced(monkeypatch):
    fleet = run_load(monkeypatch, 0.8, 1)
    assert fleet.measure_value(0.0, 14.0) >= 0.99
    assert fleet.endpoint.refused == 0


def make_pacer():
    return pacing.Pacer(random.Random(5))


def test_delayed_reports_lengthen_pauses_and_others_shorten_them():
    pacer = make_pacer()
    pacer.record_round_trip(0.003, 0.0)
    pacer.record_round_trip(0.1, 1.0)
    first = pacer.mean_pause
    pacer.record_round_trip(0.1, 1.4)
    assert pacer.mean_pause > first > 0
    for turn in range(20):
        pacer.record_round_trip(0.003, 2.0 + turn)
    assert pacer.mean_pause == 0


def test_successes_shorten_no_pause_while_the_queue_is_long():
    pacer = make_pacer()
    pacer.record_round_trip(0.003, 0.0)
    pacer.record_round_trip(0.1, 1.0)
    before = pacer.mean_pause
    for _ in range(50):
        pacer.record_success(1.5)
    assert pacer.mean_pause == before
    pacer.record_success(1.0 + pacer.options.report_lifetime)
    assert pacer.mean_pause < before


def test_each_rank_has_its_pauses():
    pacer = make_pacer()
    pacer.record_refusal(0.0)
    starts = [pacer.find_start(level, 0, 0.0) for level in range(3)]
    assert starts == sorted(starts)
    assert pacer.list_ready(starts[0]) == [0]
    assert pacer.list_ready(starts[2]) == [0, 1, 2]
