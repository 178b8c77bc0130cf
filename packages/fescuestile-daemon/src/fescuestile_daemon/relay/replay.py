"""Brings a session's values and prepared names onto a connection."""

import typing

from fescuestile import positions
from fescuestile_daemon.relay import messages
from fescuestile_daemon.relay import ports
from fescuestile_daemon.relay import sessions

Verb = messages.Verb


def find_shape(
    session: sessions.Session, statement: messages.Statement
) -> messages.Shape | None:
    """Return what an EXECUTE runs, None for other statements."""
    if statement.verb is not Verb.EXECUTE:
        return None
    return session.prepared[statement.name]


def name_prepared(shape: messages.Shape) -> str:
    """Return the name under which connections know a shape."""
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
    """Return commands that add the session's values to those present."""
    return [
        messages.SetValue(name, value)
        for name, value in session.values.items()
        if present.get(name) != value
    ]


def plan_full(
    session: sessions.Session, arrival: sessions.Arrival
) -> list[messages.Command]:
    """Return commands that set the whole state, whatever was there."""
    commands: list[messages.Command] = [messages.Clear()]
    commands.extend(plan_values({}, session))
    shape = find_shape(session, arrival.statement)
    if shape is not None:
        commands.append(messages.Prepare(name_prepared(shape), shape))
    return commands


def plan_set_up(
    session: sessions.Session,
    arrival: sessions.Arrival,
    channel: ports.Channel,
) -> list[messages.Command]:
    """Return commands after which a connection has the session's state.

    Values of another session must not stay, so a connection that has more
    than the session's is cleared first.
    """
    commands: list[messages.Command] = []
    present: typing.Mapping[str, str] = channel.values
    prepared: typing.Mapping[str, messages.Shape] = channel.prepared
    if present.keys() - session.values.keys():
        commands.append(messages.Clear())
        present = {}
        prepared = {}
    commands.extend(plan_values(present, session))
    shape = find_shape(session, arrival.statement)
    if shape is not None and name_prepared(shape) not in prepared:
        commands.append(messages.Prepare(name_prepared(shape), shape))
    return commands
