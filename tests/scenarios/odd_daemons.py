"""Daemons whose answers arrive in odd ways, all of them allowed."""

import asyncio
import random

from tests import fake_daemon

BATCH = 20
LONGEST_DELAY_SECONDS = 0.05
PIECES = 4


def make_answer(text):
    """Return the payload that answers a statement."""
    return (text + ";").encode() * 100


def create_daemon(how):
    """Return a daemon whose answers come as ``how`` says."""
    handlers = {
        "late": answer_late,
        "out of order": answer_backwards,
        "twice": answer_twice,
        "in pieces": answer_in_pieces,
    }
    return fake_daemon.FakeDaemon(handler=handlers[how])


def build_answer(request, **fields):
    text = request.statement.text
    return fake_daemon.build_chunk(request, make_answer(text), **fields)


async def answer_late(daemon, request, send):
    source = random.Random(request.sequence)
    await asyncio.sleep(source.uniform(0, LONGEST_DELAY_SECONDS))
    await send(build_answer(request))


async def answer_backwards(daemon, request, send):
    if len(daemon.requests) % BATCH == 0:
        for held in reversed(daemon.requests[-BATCH:]):
            await send(build_answer(held))


async def answer_twice(daemon, request, send):
    await send(build_answer(request))
    await asyncio.sleep(LONGEST_DELAY_SECONDS / 2)
    await send(build_answer(request))


async def answer_in_pieces(daemon, request, send):
    payload = make_answer(request.statement.text)
    size = len(payload) // PIECES + 1
    for number in range(PIECES):
        piece = payload[number * size : (number + 1) * size]
        last = number == PIECES - 1
        await send(
            fake_daemon.build_chunk(request, piece, chunk=number, last=last)
        )
        await asyncio.sleep(0)
