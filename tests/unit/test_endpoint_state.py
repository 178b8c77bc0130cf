import pytest

from fescuestile import endpoint_messages
from fescuestile import positions
from fescuestile_standins import endpoint_commands
from fescuestile_standins import endpoint_log
from fescuestile_standins import endpoint_state
from fescuestile_standins import endpoint_store

Role = endpoint_messages.Role
Verdict = endpoint_messages.Verdict
DONE = Verdict.DONE
NOT_RUN = Verdict.NOT_RUN
REFUSED = Verdict.TERM_REFUSED


def make_state(name="one", primary="one", writes=0):
    state = endpoint_state.EndpointState(name)
    state.bootstrap(primary)
    for number in range(writes):
        state.write({"key": str(number)}, [])
    return state


def execute(text, term=1, read_only=False, **fields):
    return endpoint_messages.Execute(1, term, text, read_only, **fields)


def run(state, *commands):
    runner = endpoint_commands.CommandRunner(state)
    return [runner.run(command) for command in commands]


def replicate(source, target):
    after = endpoint_log.find_common_index(
        source.log.history, target.log.history
    )
    return target.accept(source.term, after, source.log.list_after(after))


@pytest.mark.parametrize(
    ("text", "payload"),
    [
        ("PUT pump on a b", b"on a b"),
        ("ADD count 3", b"3"),
        ("GET pump", b""),
        ("SLEEP 5", b""),
    ],
)
def test_a_statement_is_answered_at_its_position(text, payload):
    answer = run(make_state(), execute(text, request_id="r"))[0]
    assert (answer.verdict, answer.payload) == (DONE, payload)
    assert answer.position == positions.Position(1, 2)


@pytest.mark.parametrize(
    "text", ["", "DROP x", "PUT x", "ADD x y", "GET", "SLEEP z"]
)
def test_an_invalid_statement_fails_without_effect(text):
    state = make_state()
    assert run(state, execute(text))[0].verdict is Verdict.FAILED
    assert state.log.last.index == 1


@pytest.mark.parametrize(
    ("primary", "command", "verdict"),
    [
        ("one", execute("PUT k v", term=0), REFUSED),
        ("one", execute("PUT k v", term=2), NOT_RUN),
        ("two", execute("PUT k v"), NOT_RUN),
        ("two", execute("GET k", read_only=True), DONE),
        ("two", execute("GET k", term=2, read_only=True), NOT_RUN),
        (
            "two",
            execute("GET k", read_only=True, minimum=positions.Position(1, 9)),
            NOT_RUN,
        ),
        ("one", execute("PUT k v", read_only=True), Verdict.FAILED),
        ("two", endpoint_messages.Resolve(1, 1, "r"), NOT_RUN),
    ],
)
def test_roles_and_terms_decide_what_is_executed(primary, command, verdict):
    state = make_state(primary=primary)
    before = state.log.last
    assert run(state, command)[0].verdict is verdict
    assert state.log.last == before


def test_a_request_id_is_executed_once_across_a_promotion():
    old_primary = make_state()
    new_primary = make_state("two")
    answer = run(old_primary, execute("ADD n 1", request_id="r"))[0]
    assert replicate(old_primary, new_primary)
    assert new_primary.fence(2, "driver") is DONE
    assert new_primary.promote(2, "driver") is DONE
    again = run(new_primary, execute("ADD n 1", term=2, request_id="r"))[0]
    assert again.repeated
    assert (again.payload, again.position) == (b"1", answer.position)


def test_resolve_bars_an_unknown_request_and_answers_a_known_one():
    state = make_state()
    resolve = endpoint_messages.Resolve
    barred, late, _, known = run(
        state,
        resolve(1, 1, "r"),
        execute("ADD n 1", request_id="r"),
        execute("ADD n 1", request_id="s"),
        resolve(1, 1, "s"),
    )
    assert barred.verdict is late.verdict is Verdict.NEVER_RUNS
    assert (known.verdict, known.payload) == (DONE, b"1")


def test_a_transaction_is_isolated_until_its_commit():
    state = make_state()
    runner = endpoint_commands.CommandRunner(state)
    runner.run(endpoint_messages.Begin(1, 1))
    assert runner.run(execute("ADD n 2")).payload == b"2"
    assert run(state, execute("GET n", read_only=True))[0].payload == b""
    run(state, execute("ADD n 1"))
    committed = runner.run(endpoint_messages.Commit(2, 1, "c"))
    assert committed.verdict is DONE
    assert state.store.find_row("c").position == committed.position
    assert run(state, execute("GET n", read_only=True))[0].payload == b"3"


def test_a_rollback_leaves_no_effect():
    state = make_state()
    answers = run(
        state,
        endpoint_messages.Begin(1, 1),
        execute("PUT k v"),
        endpoint_messages.Rollback(1),
        execute("GET k", read_only=True),
    )
    assert answers[-1].payload == b""
    assert state.log.last.index == 1


def test_a_transaction_does_not_commit_under_a_later_term():
    state = make_state()
    runner = endpoint_commands.CommandRunner(state)
    runner.run(endpoint_messages.Begin(1, 1))
    runner.run(execute("PUT k v"))
    state.fence(2, "d")
    state.promote(2, "d")
    before = state.log.last
    assert runner.run(endpoint_messages.Commit(1, 2)).verdict is REFUSED
    assert state.log.last == before


def test_a_term_is_promised_once_to_one_driver():
    state = make_state()
    assert state.fence(2, "a") is DONE
    assert state.fence(2, "a") is DONE
    assert state.fence(2, "b") is REFUSED
    assert state.fence(1, "b") is REFUSED
    assert state.promote(2, "b") is REFUSED
    assert run(state, execute("PUT k v", term=1))[0].verdict is REFUSED
    assert run(state, execute("GET k", 2, True))[0].verdict is NOT_RUN
    assert state.promote(2, "a") is DONE
    assert state.promote(2, "a") is DONE
    assert state.log.history.starts[-1] == positions.TermStart(2, 2)


def test_a_fenced_endpoint_accepts_no_entry_of_a_lower_term():
    primary, replica = make_state(writes=2), make_state("two")
    replica.fence(2, "d")
    assert not replicate(primary, replica)
    assert replica.log.last == positions.START


def test_an_old_primary_drops_divergent_entries_before_it_serves():
    old, new = make_state(writes=2), make_state("two")
    assert replicate(old, new)
    run(old, execute("PUT lost 1", request_id="lost"))
    new.fence(2, "d")
    new.promote(2, "d")
    assert old.follow(2, "two") is DONE
    assert old.report().role is Role.FENCED
    read = execute("GET lost", 2, True)
    assert run(old, read)[0].verdict is NOT_RUN
    assert replicate(new, old)
    assert old.report().role is Role.REPLICA
    assert old.log.history == new.log.history
    assert run(old, read)[0].payload == b""
    assert old.store.find_row("lost") is None


def test_a_repeated_batch_drops_nothing():
    primary, replica = make_state(writes=4), make_state("two", "one")
    assert replicate(primary, replica)
    assert replica.accept(1, 1, primary.log.list_after(1, 2))
    assert replica.log.history == primary.log.history


def test_an_endpoint_without_its_state_promises_no_term():
    state = endpoint_state.EndpointState("one")
    assert (state.role, state.term) == (Role.REJOINING, 0)
    assert state.fence(9, "d") is REFUSED
    assert state.promote(0, "") is REFUSED
    assert run(state, execute("GET k", 0, True))[0].verdict is NOT_RUN
    primary = make_state("two", "two", writes=2)
    assert state.follow(1, "two") is DONE
    assert replicate(primary, state)
    assert state.report().role is Role.REJOINING
    state.rejoin()
    assert state.report().role is Role.REPLICA


def test_a_log_refuses_gaps_and_older_terms():
    log = endpoint_log.Log()
    log.append(endpoint_log.Entry(positions.Position(2, 1)))
    for position in (positions.Position(2, 3), positions.Position(1, 2)):
        with pytest.raises(ValueError, match="entry"):
            log.append(endpoint_log.Entry(position))


def test_operations_of_a_read_only_transaction_do_not_write():
    state = make_state()
    answers = run(
        state,
        endpoint_messages.Begin(1, 1, read_only=True),
        execute("PUT k v"),
    )
    assert answers[1].verdict is Verdict.FAILED
    assert endpoint_store.parse_statement("put k v").ok.writes
