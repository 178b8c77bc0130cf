import asyncio

from pytest_bdd import given
from pytest_bdd import parsers
from pytest_bdd import scenarios
from pytest_bdd import then
from pytest_bdd import when

from fescuestile_client import session as client_session
from tests.scenarios import response_delivery
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

    async def run_session(number):
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

    async def run_all():
        return await asyncio.gather(
            *(run_session(number) for number in range(count))
        )

    world.context["matches"] = world.run(run_all())


@then("each answer is the one that was asked for, whole")
def check_matches(world):
    for matches in world.context["matches"]:
        assert all(matches)


@given(parsers.parse("a daemon whose answers come {how}"))
def choose_delivery(world, how):
    world.context["delivery"] = how


@when("a session asks 20 requests at once, three times")
def send_concurrent_requests(world):
    texts = [f"GET key-{number}" for number in range(20)]

    async def run():
        matches = []
        async with (
            response_delivery.create_daemon(
                world.context["delivery"]
            ) as daemon,
            client_session.Session([daemon.address], "office") as session,
        ):
            for _ in range(3):
                answers = await asyncio.gather(
                    *(
                        statements.execute(session, text, read_only=True)
                        for text in texts
                    )
                )
                matches.append(
                    [
                        answer.payload == response_delivery.make_answer(text)
                        for answer, text in zip(answers, texts, strict=True)
                    ]
                )
        return matches

    world.context["matches"] = world.run(run())
