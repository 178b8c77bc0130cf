"""Formatting of replies as tables or JSON."""

import json
import typing

from google.protobuf import json_format

from fescuestile_api import fescuestile_pb2 as pb

MISSING = "-"


def format_json(message: typing.Any, **fields: str) -> str:
    """Return a reply as JSON.

    :param fields: additional fields of the JSON object
    """
    content = json_format.MessageToDict(
        message,
        preserving_proto_field_name=True,
        always_print_fields_with_no_presence=True,
    )
    return json.dumps(content | fields, indent=2, sort_keys=True)


def format_table(rows: list[tuple[object, ...]]) -> str:
    """Return rows as aligned columns; the first row is the heading."""
    texts = [[str(cell) for cell in row] for row in rows]
    widths = [
        max(len(row[column]) for row in texts)
        for column in range(len(texts[0]))
    ]
    return "\n".join(
        "  ".join(
            cell.ljust(width) for cell, width in zip(row, widths, strict=True)
        ).rstrip()
        for row in texts
    )


def build_change_rows(reply: pb.ChangeReply) -> list[tuple[object, ...]]:
    """Return heading and row of a change."""
    repeated = "yes" if reply.repeated else "no"
    return [("REVISION", "REPEATED"), (reply.revision, repeated)]


def build_history_rows(reply: pb.HistoryReply) -> list[tuple[object, ...]]:
    """Return heading and rows of the revisions."""
    rows: list[tuple[object, ...]] = [
        ("REVISION", "CHANGED AT", "OPERATOR", "ENDPOINTS", "CHANGE ID")
    ]
    for revision in reply.revisions:
        rows.append(
            (
                revision.revision,
                revision.changed_at,
                revision.operator,
                len(revision.plan.endpoints),
                revision.change_id,
            )
        )
    return rows


def build_daemon_rows(reply: pb.StatusReply) -> list[tuple[object, ...]]:
    """Return heading and rows of the daemons."""
    rows: list[tuple[object, ...]] = [("DAEMON", "ZONE", "STATE", "REVISIONS")]
    for daemon in reply.daemons:
        revisions = ", ".join(
            f"{database}={number}"
            for database, number in sorted(daemon.revisions.items())
        )
        rows.append(
            (daemon.daemon, daemon.zone, daemon.state, revisions or MISSING)
        )
    return rows


def build_endpoint_rows(reply: pb.StatusReply) -> list[tuple[object, ...]]:
    """Return heading and rows of the endpoints."""
    rows: list[tuple[object, ...]] = [
        ("ENDPOINT", "DATABASE", "ROLE", "TERM", "INDEX", "OWNER")
    ]
    for endpoint in reply.endpoints:
        rows.append(
            (
                endpoint.endpoint,
                endpoint.database,
                endpoint.role,
                endpoint.position.term,
                endpoint.position.index,
                endpoint.owner or MISSING,
            )
        )
    return rows


def build_audit_rows(reply: pb.AuditReply) -> list[tuple[object, ...]]:
    """Return heading and rows of the audit trail."""
    rows: list[tuple[object, ...]] = [
        ("AT", "OPERATOR", "ACTION", "DATABASE", "FROM", "TO", "OUTCOME")
    ]
    for entry in reply.entries:
        rows.append(
            (
                entry.at,
                entry.operator,
                entry.action,
                entry.database,
                entry.before_revision or MISSING,
                entry.after_revision or MISSING,
                entry.outcome,
            )
        )
    return rows
