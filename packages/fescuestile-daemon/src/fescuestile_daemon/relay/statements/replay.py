"""Plans how to apply a session's state to a connection.

The state consists of session values and prepared statements.
"""

import typing

from fescuestile import positions
from fescuestile_daemon.relay.core import messages
from fescuestile_daemon.relay.core import ports
from fescuestile_daemon.relay.statements import operations
from fescuestile_daemon.relay.statements import sessions

Verb = messages.Verb


def find_shape(
    session: sessions.Session, statement: messages.Statement
) -> messages.Shape | None:
    """Return the prepared statement of an EXECUTE, None for other verbs."""
    if statement.verb is not Verb.EXECUTE:
        return None
    return session.prepared[statement.name]


def name_prepared(shape: messages.Shape) -> str:
    """Return the name under which connections hold a prepared statement.

    It depends on nothing but the shape, so that sessions that share a
    connection also share what is prepared on it.
    """
    return f"{'w' if shape.writes else 'r'}_{shape.text}"


def make_run(
    session: sessions.Session,
    statement: messages.Statement,
    minimum: positions.Position | None = None,
) -> messages.Run:
    """Return the command that runs a statement."""
    shape = find_shape(session, statement)
    name = name_prepared(shape) if shape is not None else ""
    return messages.Run(statement.id, statement, name, minimum)


def plan_values(
    present: typing.Mapping[str, str], session: sessions.Session
) -> list[messages.Command]:
    """Return commands that set those of the session's values that differ.

    :param present: values set on the connection
    """
    return [
        messages.SetValue(name, value)
        for name, value in session.values.items()
        if present.get(name) != value
    ]


def plan_full(
    session: sessions.Session, arrival: operations.Arrival
) -> list[messages.Command]:
    """Return commands that replace whatever state a connection has."""
    commands: list[messages.Command] = [messages.Clear()]
    commands.extend(plan_values({}, session))
    shape = find_shape(session, arrival.statement)
    if shape is not None:
        commands.append(messages.Prepare(name_prepared(shape), shape))
    return commands


def plan_set_up(
    session: sessions.Session,
    arrival: operations.Arrival,
    connection: ports.EndpointConnection,
) -> list[messages.Command]:
    """Return commands that give a connection the session's state.

    A connection that has values which the session does not set is cleared
    first, so that no value of another session stays in force.
    """
    commands: list[messages.Command] = []
    present: typing.Mapping[str, str] = connection.values
    prepared: typing.Mapping[str, messages.Shape] = connection.prepared
    if present.keys() - session.values.keys():
        commands.append(messages.Clear())
        present = {}
        prepared = {}
    commands.extend(plan_values(present, session))
    shape = find_shape(session, arrival.statement)
    if shape is not None and name_prepared(shape) not in prepared:
        commands.append(messages.Prepare(name_prepared(shape), shape))
    return commands
