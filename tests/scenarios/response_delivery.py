"""Fake daemons with unusual but valid delivery of answers."""

import asyncio
import random

from tests import fake_daemon

BATCH = 20
MAX_DELAY_SECONDS = 0.05
CHUNKS = 4


def make_answer(text):
    """Return the payload that answers a statement's text."""
    return (text + ";").encode() * 100


def create_daemon(how):
    """Return a daemon that delivers answers as the scenario names it."""
    handlers = {
        "late": answer_late,
        "out of order": answer_in_reverse,
        "twice": answer_twice,
        "in pieces": answer_in_chunks,
    }
    return fake_daemon.FakeDaemon(handler=handlers[how])


def build_answer(request, **fields):
    text = request.statement.text
    return fake_daemon.build_chunk(request, make_answer(text), **fields)


async def answer_late(daemon, request, send):
    source = random.Random(request.sequence)
    await asyncio.sleep(source.uniform(0, MAX_DELAY_SECONDS))
    await send(build_answer(request))


async def answer_in_reverse(daemon, request, send):
    if len(daemon.requests) % BATCH == 0:
        for pending in reversed(daemon.requests[-BATCH:]):
            await send(build_answer(pending))


async def answer_twice(daemon, request, send):
    await send(build_answer(request))
    await asyncio.sleep(MAX_DELAY_SECONDS / 2)
    await send(build_answer(request))


async def answer_in_chunks(daemon, request, send):
    payload = make_answer(request.statement.text)
    size = len(payload) // CHUNKS + 1
    for number in range(CHUNKS):
        part = payload[number * size : (number + 1) * size]
        last = number == CHUNKS - 1
        await send(
            fake_daemon.build_chunk(request, part, chunk=number, last=last)
        )
        await asyncio.sleep(0)
