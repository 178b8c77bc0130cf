import asyncio

from pytest_bdd import given
from pytest_bdd import parsers
from pytest_bdd import scenarios
from pytest_bdd import then
from pytest_bdd import when

from fescuestile_client import session as client_session
from tests.scenarios import odd_daemons
from tests.scenarios import statements

scenarios("answers.feature")


@when(
    parsers.parse(
        "{count:d} sessions read {each:d} answers of"
        " {kilobytes:d} kilobytes each at once"
    )
)
def read_large(world, count, each, kilobytes):
    def make_value(key):
        return (key * (kilobytes * 1000 // len(key) + 1))[: kilobytes * 1000]

    async def work(number):
        keys = [f"big-{number}-{part}" for part in range(each)]
        daemon = world.daemons[number % len(world.daemons)]
        async with world.open_session(daemon) as session:
            for key in keys:
                await statements.execute(
                    session, f"PUT {key} {make_value(key)}"
                )
            answers = await asyncio.gather(
                *(statements.read(session, key) for key in keys)
            )
        return [
            answer.payload.decode() == make_value(key)
            for key, answer in zip(keys, answers, strict=True)
        ]

    async def all_work():
        return await asyncio.gather(*(work(number) for number in range(count)))

    world.notes["whole"] = world.run(all_work())


@then("each answer is the one that was asked for, whole")
def check_whole(world):
    for session in world.notes["whole"]:
        assert all(session)


@given(parsers.parse("a daemon whose answers come {how}"))
def start_odd_daemon(world, how):
    world.notes["how"] = how


@when("a session asks 20 requests at once, three times")
def ask_odd_daemon(world):
    texts = [f"GET key-{number}" for number in range(20)]

    async def work():
        matched = []
        async with (
            odd_daemons.create_daemon(world.notes["how"]) as daemon,
            client_session.Session([daemon.address], "office") as session,
        ):
            for _ in range(3):
                answers = await asyncio.gather(
                    *(
                        statements.execute(session, text, read_only=True)
                        for text in texts
                    )
                )
                matched.append(
                    [
                        answer.payload == odd_daemons.make_answer(text)
                        for answer, text in zip(answers, texts, strict=True)
                    ]
                )
        return matched

    world.notes["whole"] = world.run(work())
