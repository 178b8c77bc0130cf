"""Prints a digest of the history of each seed that is named.

Run in several processes, it shows whether a seed plays the same in each. The
order of a set depends on the addresses of what it holds, so some memory can
be taken first: ``python -m tests.histories TAKEN KIND:HIDES:SEED ...``
"""

import asyncio
import hashlib
import logging
import sys

import pytest
import structlog

from tests import changing_group
from tests import cut_zones
from tests import group_rounds
from tests import late_orders
from tests import virtual_time

KINDS = {
    "world": changing_group.World,
    "late": late_orders.LateWorld,
    "cut": cut_zones.CutWorld,
}


def take_memory(count):
    """Return objects of many sizes, between which there are gaps."""
    loop = asyncio.new_event_loop()
    taken: list[object] = []
    for number in range(count):
        taken += loop.create_future(), [], {number}, bytearray(number)
    loop.close()
    return taken[::3]


def play(name):
    """Return a digest of a history and whether a promise was broken."""
    kind, hides, seed = name.split(":")
    worlds = []

    def make_world(*arguments):
        worlds.append(KINDS[kind](*arguments))
        return worlds[0]

    outcome = "kept"
    with pytest.MonkeyPatch.context() as patch:
        try:
            virtual_time.run(
                group_rounds.run_rounds(make_world, int(seed), hides == "1"),
                patch,
            )
        except changing_group.BrokenPromise as broken:
            outcome = f"broken: {broken}"
    history = "\n".join([outcome, *worlds[0].describe_history()])
    return f"{outcome[:6]} {hashlib.sha256(history.encode()).hexdigest()}"


def main(taken, *names):
    """Print a line for each history."""
    structlog.configure(
        wrapper_class=structlog.make_filtering_bound_logger(logging.CRITICAL)
    )
    kept = take_memory(int(taken))
    for name in names:
        print(name, play(name), flush=True)
    del kept


if __name__ == "__main__":
    main(*sys.argv[1:])
