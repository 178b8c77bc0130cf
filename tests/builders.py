"""Builders of test data with sensible defaults."""

import typing

from fescuestile import endpoint_messages
from fescuestile import members
from fescuestile import plans
from fescuestile import positions
from fescuestile import requests

ZONES = ("muenchen", "ingolstadt", "landshut")


def build_endpoint(number: int = 1, **changes) -> plans.Endpoint:
    """Return an endpoint whose name, zone and address follow its number."""
    fields: dict[str, typing.Any] = {
        "name": f"endpoint-{number}",
        "zone": ZONES[(number - 1) % len(ZONES)],
        "address": f"127.0.{number}.11:7{number:03}",
        "slots": 2,
        "connections": 16,
    }
    return plans.Endpoint(**(fields | changes))


def build_plan(database: str = "werkstatt-db", **changes) -> plans.Plan:
    """Return a plan with three endpoints and ranks and four kinds."""
    fields: dict[str, typing.Any] = {
        "endpoints": tuple(build_endpoint(n) for n in (1, 2, 3)),
        "ranks": (
            plans.Rank("urgent", 0.0),
            plans.Rank("dispatch", 0.1),
            plans.Rank("billing", 0.1),
        ),
        "kinds": (
            plans.Kind("fault-report", "urgent", 0.0),
            plans.Kind("dispatch", "dispatch", 0.0),
            plans.Kind("history", "dispatch", 5.0),
            plans.Kind("ledger", "billing", 5.0),
        ),
    }
    return plans.Plan(database=database, **(fields | changes))


def build_revision(revision: int = 1, **changes) -> plans.PlanRevision:
    """Return a plan revision."""
    fields: dict[str, typing.Any] = {
        "plan": build_plan(),
        "change_id": f"change-{revision}",
        "operator": "maria",
        "changed_at": "2026-01-01T00:00:00Z",
    }
    return plans.PlanRevision(revision=revision, **(fields | changes))


def build_report(number: int = 1, **changes) -> endpoint_messages.Report:
    """Return an endpoint's report, by default of a replica in term 1."""
    fields: dict[str, typing.Any] = {
        "id": 1,
        "endpoint": f"endpoint-{number}",
        "verdict": endpoint_messages.Verdict.DONE,
        "role": endpoint_messages.Role.REPLICA,
        "term": 1,
        "driver": "",
        "primary": "endpoint-1",
        "last": positions.Position(1, 10),
        "starts": (positions.TermStart(1, 1),),
    }
    return endpoint_messages.Report(**(fields | changes))


def build_member(number: int = 1, **changes) -> members.Member:
    """Return a daemon whose zone and addresses follow its number."""
    fields: dict[str, typing.Any] = {
        "id": f"daemon-{number}",
        "zone": ZONES[(number - 1) % len(ZONES)],
        "link_address": f"127.0.{number}.1:7001",
        "caller_address": f"127.0.{number}.1:7000",
    }
    return members.Member(**(fields | changes))


def build_request(**changes) -> requests.Request:
    """Return a write of the most urgent rank."""
    fields: dict[str, typing.Any] = {
        "request_id": "request-1",
        "caller": "station-7",
        "database": "werkstatt-db",
        "kind": "fault-report",
        "level": 0,
        "staleness": 0.0,
        "deadline": 10.0,
        "repeatable": False,
        "action": requests.Action.STATEMENT,
        "text": "PUT pump broken",
    }
    return requests.Request(**(fields | changes))


def build_log_report(
    name: str,
    index: int,
    role: endpoint_messages.Role = endpoint_messages.Role.REPLICA,
    term: int = 1,
    followed: int = 0,
) -> endpoint_messages.Report:
    """Return the report of an endpoint whose log ends in term 1.

    :param index: index of the last entry
    :param term: term that the endpoint promised
    """
    return endpoint_messages.Report(
        id=0,
        endpoint=name,
        verdict=endpoint_messages.Verdict.DONE,
        role=role,
        term=term,
        driver="",
        primary="",
        last=positions.Position(1, index),
        followed=followed,
    )
