"""Distribution of reads over the endpoints of a group."""

import collections
import random

from fescuestile import endpoint_choice

Candidate = endpoint_choice.Candidate


def spread_reads(service, rounds=2000, slots=2, gap=0.002):
    """Send reads to the chosen endpoints; return the count for each.

    :param service: mean service time in seconds by endpoint; ``p`` is the
        primary
    :param rounds: number of reads
    :param slots: slots of each endpoint
    :param gap: seconds between two reads
    """
    free_at = {name: [0.0] * slots for name in service}
    counts: collections.Counter[str] = collections.Counter()
    source = random.Random(7)
    for turn in range(rounds):
        now = turn * gap
        candidates = [
            Candidate(
                name,
                service[name],
                max(0.0, min(free_at[name]) - now),
                is_primary=name == "p",
                is_same_zone=name == "r1",
            )
            for name in service
        ]
        name = endpoint_choice.choose(candidates)
        assert name is not None
        counts[name] += 1
        slot = min(range(slots), key=lambda n: free_at[name][n])
        work = service[name] * source.uniform(0.5, 1.5)
        free_at[name][slot] = max(now, free_at[name][slot]) + work
    return counts


def test_burst_of_lookups_leaves_the_primary_to_current_work():
    counts = spread_reads({"p": 0.014, "r1": 0.014, "r2": 0.014}, gap=0.005)
    assert counts["p"] < 0.1 * sum(counts.values())


def test_burst_beyond_the_replicas_spills_to_the_primary():
    counts = spread_reads({"p": 0.014, "r1": 0.014, "r2": 0.014})
    assert counts["p"] > 0.1 * sum(counts.values())


def test_slow_replica_gets_less():
    counts = spread_reads({"p": 0.014, "r1": 0.014, "r2": 0.07}, gap=0.006)
    assert counts["r2"] < 0.3 * counts["r1"]


def test_failing_replica_is_left_while_others_work():
    failing = Candidate("r1", 0.01, 0.0, failures=2.0, is_same_zone=True)
    slow = Candidate("r2", 0.05, 0.1)
    assert endpoint_choice.choose([failing, slow]) == "r2"


def test_lagging_replica_is_the_last_resort():
    lagging = Candidate("r1", 0.001, 0.0, lags=True)
    primary = Candidate("p", 0.05, 0.2, is_primary=True)
    assert endpoint_choice.choose([lagging, primary]) == "p"
    assert endpoint_choice.choose([lagging]) == "r1"
    assert endpoint_choice.choose([]) is None


def test_an_unresponsive_endpoint_gets_no_more_reads():
    """A zone is partitioned off while its endpoints were the fastest."""
    unresponsive = Candidate(
        "r1", 0.01, 0.0, unanswered_seconds=0.1, is_same_zone=True
    )
    other = Candidate("r2", 0.014, 0.02)
    assert endpoint_choice.choose([unresponsive, other]) == "r2"
    usual = Candidate(
        "r1", 0.01, 0.0, unanswered_seconds=0.03, is_same_zone=True
    )
    assert endpoint_choice.choose([usual, other]) == "r1"


def test_a_free_connection_is_worth_its_handshake():
    """Answers more daemons than an endpoint takes connections.

    Reads stay at the replica to which a connection is open.
    """
    connected = Candidate("r1", 0.014, 0.0)
    quicker = Candidate("r2", 0.01, 0.0, is_connected=False)
    assert endpoint_choice.choose([quicker, connected]) == "r1"
    busy = Candidate("r1", 0.014, 0.02)
    assert endpoint_choice.choose([quicker, busy]) == "r2"
