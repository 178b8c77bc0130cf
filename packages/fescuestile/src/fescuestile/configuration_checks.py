"""Checks of a configuration before it is put in force.

No text holds a key: findings name tenants and numbers of keys only.
"""

import collections
import collections.abc
import dataclasses
import enum
import math
import typing

from fescuestile import allowances
from fescuestile import routes
from fescuestile import tenants

# A daemon that has work at an endpoint uses one connection for transactions,
# one for single statements and one for status reports.
MIN_CONNECTIONS = 3
# Time over which the operations of a tenant are counted.
_WINDOW_SECONDS = allowances.Quota().window


class Severity(enum.IntEnum):
    """How bad a finding is; errors sort before warnings."""

    ERROR = 0
    WARNING = 1


@dataclasses.dataclass(frozen=True, slots=True, order=True)
class Finding:
    """Something that is wrong with a configuration.

    :ivar subject: part of the configuration
    :ivar message: what is wrong with the part
    """

    severity: Severity
    subject: str
    message: str


@dataclasses.dataclass(frozen=True, slots=True, order=True)
class Change:
    """Difference of one part from the version in force."""

    subject: str
    message: str


@dataclasses.dataclass(frozen=True, slots=True)
class Declaration:
    """A configuration, and what its tables do not keep.

    :ivar table: what was decoded
    :ivar problems: descriptions of the parts that were left out
    :ivar databases: database names of all routes, also those left out
    :ivar groups: names of all declared groups, also those left out
    """

    table: routes.RouteTable
    problems: collections.abc.Sequence[str] = ()
    databases: collections.abc.Sequence[str] = ()
    groups: collections.abc.Sequence[str] = ()


_Messages = collections.abc.Iterator[str]


def check(
    declaration: Declaration, before: routes.RouteTable | None = None
) -> list[Finding]:
    """Return what is wrong with a configuration, errors first.

    :param before: the version in force, None if it is not known
    """
    findings = [*_find_errors(declaration, before)]
    findings += _find_warnings(declaration)
    return sorted(findings)


def _find_errors(
    declaration: Declaration, before: routes.RouteTable | None
) -> collections.abc.Iterator[Finding]:
    table = declaration.table
    for problem in declaration.problems:
        yield Finding(Severity.ERROR, "document", problem)
    for database, count in _count_repeated(declaration.databases):
        yield Finding(
            Severity.ERROR,
            f"route {database}",
            f"{count} routes have this name, only one can be in force",
        )
    for route in table.routes.values():
        if route.group not in table.groups:
            yield Finding(
                Severity.ERROR,
                f"route {route.database}",
                f"its group {route.group} is not declared",
            )
    if before is not None and table.version <= before.version:
        yield Finding(
            Severity.ERROR,
            "version",
            f"{table.version} is not larger than {before.version},"
            " which is in force",
        )


def _find_warnings(
    declaration: Declaration,
) -> collections.abc.Iterator[Finding]:
    table = declaration.table
    key_counts = table.tenant_table.count_keys()
    served = {route.group for route in table.routes.values()}
    parts: list[tuple[str, collections.abc.Iterable[str]]] = [
        ("tenants", table.tenant_table.conflicts),
        ("tenants", _check_need_of_keys(table)),
        ("limits", _check_idle_limit(table.idle_transaction)),
    ]
    for route in table.routes.values():
        parts.append((f"route {route.database}", _check_route(route)))
    for name, limits in table.groups.items():
        messages = _check_group(limits, name in served)
        parts.append((f"group {name}", messages))
    for name, count in _count_repeated(declaration.groups):
        message = f"{count} groups have this name, only one can be in force"
        parts.append((f"group {name}", [message]))
    for tenant in table.tenant_table.by_name.values():
        messages = _check_tenant(tenant, key_counts[tenant.name])
        parts.append((f"tenant {tenant.name}", messages))
    for subject, found in parts:
        for message in found:
            yield Finding(Severity.WARNING, subject, message)


def _count_repeated(
    names: collections.abc.Iterable[str],
) -> list[tuple[str, int]]:
    counts = collections.Counter(names)
    return [(name, count) for name, count in counts.items() if count > 1]


def _check_need_of_keys(table: routes.RouteTable) -> _Messages:
    if (
        table.tenant_table.key_count
        and table.routes
        and all(route.public for route in table.routes.values())
    ):
        yield "all routes are public, so no key is asked for"


def _check_idle_limit(seconds: float) -> _Messages:
    if seconds == 0:
        yield "the idle time of a transaction is 0, so any pause ends it"


def _check_route(route: routes.Route) -> _Messages:
    if route.timeout < route.target_latency:
        yield (
            f"its time limit of {route.timeout:g} s is below its latency"
            f" target of {route.target_latency:g} s"
        )
    if (
        route.consistency is not routes.Consistency.CURRENT
        and route.staleness == 0
    ):
        yield "it allows stale reads, but its staleness is 0"


def _check_group(limits: routes.GroupLimits, is_served: bool) -> _Messages:
    if not is_served:
        yield "no route leads to it"
    if limits.connections < MIN_CONNECTIONS:
        yield (
            f"{limits.connections} connections for each endpoint are fewer"
            f" than {MIN_CONNECTIONS}"
        )


def _check_tenant(tenant: tenants.Tenant, key_count: int) -> _Messages:
    if key_count == 0:
        yield "it has no key in force, so no caller can connect as it"
    if tenant.rate == math.inf:
        if tenant.burst > 0:
            yield "its burst has no effect without a rate"
        return
    # A missing burst is 0 and leaves the rate alone.
    if 0 < tenant.burst < 1:
        yield f"its burst of {tenant.burst:g} is below one operation"
    if tenant.rate == 0:
        yield "its rate is 0, which admits no operation"
    elif tenant.rate * _WINDOW_SECONDS + tenant.burst < 1:
        yield (
            f"its rate of {tenant.rate:g}/s and its burst admit less than"
            f" one operation in {_WINDOW_SECONDS:g} s"
        )


def list_changes(
    table: routes.RouteTable, before: routes.RouteTable
) -> list[Change]:
    """Return what differs from the version in force, by part."""
    after_tenants, tenants_before = table.tenant_table, before.tenant_table
    changes = [
        *_compare("route", table.routes, before.routes),
        *_compare("group", table.groups, before.groups),
        *_compare("tenant", after_tenants.by_name, tenants_before.by_name),
    ]
    if table.idle_transaction != before.idle_transaction:
        changes.append(Change("limits", "changed in idle_transaction"))
    if bool(after_tenants) != bool(tenants_before):
        need = "keys" if after_tenants else "no keys any more"
        changes.append(Change("callers", f"need {need}"))
    keys = after_tenants.count_changes(tenants_before)
    if keys.added or keys.removed or keys.moved:
        changes.append(
            Change(
                "keys",
                f"{keys.added} added, {keys.removed} removed,"
                f" {keys.moved} moved",
            )
        )
    return sorted(changes)


def _compare(
    kind: str,
    after: collections.abc.Mapping[str, typing.Any],
    before: collections.abc.Mapping[str, typing.Any],
) -> collections.abc.Iterator[Change]:
    """Compare parts that are dataclasses, by name."""
    for name in after.keys() | before.keys():
        subject = f"{kind} {name}"
        if name not in before:
            yield Change(subject, "added")
        elif name not in after:
            yield Change(subject, "removed")
        elif after[name] != before[name]:
            fields = [
                field.name
                for field in dataclasses.fields(after[name])
                if getattr(after[name], field.name)
                != getattr(before[name], field.name)
            ]
            yield Change(subject, f"changed in {', '.join(fields)}")
