"""Builders of synthetic members, plans and endpoint reports."""

import types

from fescuestile import endpoint_messages
from fescuestile import members
from fescuestile import plans
from fescuestile import positions

ENDPOINTS_PER_DATABASE = 3
PORT = 7200


def build_members(count: int, zones: int = 1) -> tuple[members.Member, ...]:
    """Return serving daemons, assigned to zones round-robin."""
    return tuple(
        members.Member(
            id=f"host-{number:04}-4a032ee1",
            zone=f"zone-{number % zones:02}",
            link_address=f"10.{number >> 8}.{number & 255}.10:{PORT}",
            caller_address=f"10.{number >> 8}.{number & 255}.10:7100",
        )
        for number in range(count)
    )


def build_membership(count: int, zones: int = 1) -> members.MembershipSnapshot:
    """Return a membership seen by its first member."""
    listed = build_members(count, zones)
    return members.MembershipSnapshot(listed[0], listed)


def build_plan(number: int, zones: int = 1) -> plans.Plan:
    """Return the plan of a database with endpoints in successive zones."""
    return plans.Plan(
        database=f"werkstatt-db-{number:04}",
        endpoints=tuple(
            plans.Endpoint(
                name=f"werkstatt-db-{number:04}-{index + 1}",
                zone=f"zone-{(number + index) % zones:02}",
                address=f"10.{number >> 8}.{number & 255}.{index + 20}:5432",
                slots=2,
                connections=16,
            )
            for index in range(ENDPOINTS_PER_DATABASE)
        ),
        ranks=(
            plans.Rank("urgent", 0.1),
            plans.Rank("dispatch", 0.1),
            plans.Rank("billing", 0.1),
        ),
        kinds=(
            plans.Kind("fault-report", "urgent", 0.0),
            plans.Kind("dispatch", "dispatch", 0.0),
            plans.Kind("history", "dispatch", 5.0),
            plans.Kind("ledger", "billing", 5.0),
        ),
    )


def build_revisions(
    count: int, zones: int = 1
) -> types.MappingProxyType[str, plans.PlanRevision]:
    """Return first plan revisions by database name."""
    revisions = (
        plans.PlanRevision(
            revision=1,
            plan=build_plan(number, zones),
            change_id=f"change-{number}",
            operator="maria",
            changed_at="2026-01-01T00:00:00Z",
        )
        for number in range(count)
    )
    return types.MappingProxyType(
        {revision.plan.database: revision for revision in revisions}
    )


def build_report(
    endpoint: plans.Endpoint, index: int, primary: bool
) -> endpoint_messages.Report:
    """Return a report of an endpoint in term 1.

    :param index: index of the endpoint's last log position
    :param primary: whether the endpoint is the primary
    """
    role = endpoint_messages.Role.REPLICA
    if primary:
        role = endpoint_messages.Role.PRIMARY
    return endpoint_messages.Report(
        id=7,
        endpoint=endpoint.name,
        verdict=endpoint_messages.Verdict.DONE,
        role=role,
        term=1,
        driver="",
        primary="werkstatt-db-0000-1",
        last=positions.Position(1, index),
        starts=(positions.TermStart(1, 1),),
    )
