"""Checks of decoded configurations."""

import dataclasses

import pytest

from fescuestile import configuration_checks
from fescuestile import routes
from fescuestile import tenants

ROUTE = routes.Route(
    "db", "g0", routes.Consistency.BOUNDED, 1.5, 0.8, 0.2, level=0
)
GROUP = routes.GroupLimits(16)
NORTH = tenants.Tenant("north", rate=50.0, burst=10.0)
Declaration = configuration_checks.Declaration


def make_table(route=None, group=None, holders=None, **fields):
    route = dataclasses.replace(ROUTE, **(route or {}))
    group = dataclasses.replace(GROUP, **(group or {}))
    if holders is None:
        holders = [(NORTH, ["k1"])]
    table = routes.RouteTable(
        version=2,
        routes={"db": route},
        groups={"g0": group},
        idle_transaction=3.0,
        tenant_table=tenants.TenantTable(holders),
    )
    return dataclasses.replace(table, **fields)


def make_tenant_table(**fields):
    return make_table(holders=[(tenants.Tenant("north", **fields), ["k1"])])


def check(declaration, before=None):
    return [
        (finding.severity.name, finding.subject, finding.message)
        for finding in configuration_checks.check(declaration, before)
    ]


@pytest.mark.parametrize(
    "table",
    [
        make_table(),
        make_table(holders=[]),
        make_table(
            {"consistency": routes.Consistency.CURRENT, "staleness": 0.0}
        ),
        make_table({"timeout": 0.2}, {"connections": 3}),
        make_tenant_table(),
        make_tenant_table(rate=0.2),
        make_tenant_table(rate=0.1, burst=1),
    ],
)
def test_a_sound_configuration_has_no_findings(table):
    """Guards against findings that operators learn to ignore."""
    assert check(Declaration(table, (), ["db"], ["g0"])) == []


ERRORS = [
    (Declaration(make_table(), ["route 3 is odd"]), "document", "is odd"),
    (Declaration(make_table(), (), ["db", "db"]), "route db", "2 routes"),
    (Declaration(make_table(groups={})), "route db", "g0 is not declared"),
]
SOUTH = tenants.Tenant("south")
TWO_HOLDERS = [(NORTH, ["k1"]), (SOUTH, ["k1", "k2"])]
SAME_NAME = [(NORTH, ["k1"]), (dataclasses.replace(NORTH, rate=1), [])]
WARNINGS = [
    (Declaration(make_table(), (), (), ["g0"] * 2), "group g0", "2 groups"),
    *(
        (Declaration(table), subject, text)
        for table, subject, text in [
            (make_table(holders=[(NORTH, [])]), "tenant north", "no key"),
            (make_table(holders=TWO_HOLDERS), "tenants", "belongs to"),
            (make_table(holders=SAME_NAME), "tenants", "listed twice"),
            (
                make_table(groups={"g0": GROUP, "g1": GROUP}),
                "group g1",
                "no route",
            ),
            (make_tenant_table(rate=0.0), "tenant north", "rate is 0"),
            (make_table({"public": True}), "tenants", "all routes are public"),
            (
                make_tenant_table(rate=5, burst=0.5),
                "tenant north",
                "below one operation",
            ),
            (make_tenant_table(burst=5), "tenant north", "no effect"),
            (make_tenant_table(rate=0.19), "tenant north", "less than one"),
            (make_table({"timeout": 0.1}), "route db", "latency target"),
            (make_table({"staleness": 0.0}), "route db", "staleness is 0"),
            (make_table(idle_transaction=0.0), "limits", "idle time"),
            (make_table(group={"connections": 2}), "group g0", "fewer than 3"),
        ]
    ),
]


@pytest.mark.parametrize(
    ("severity", "declaration", "subject", "text"),
    [("ERROR", *case) for case in ERRORS]
    + [("WARNING", *case) for case in WARNINGS],
    ids=lambda value: value if isinstance(value, str) else "",
)
def test_a_fault_is_found(severity, declaration, subject, text):
    """Guards against a fault that is seen only once it is in force."""
    [found] = check(declaration)
    assert found[:2] == (severity, subject)
    assert text in found[2]


def test_errors_come_first():
    """Guards against errors that are lost among warnings."""
    table = make_table({"group": "g1", "staleness": 0.0})
    severities = [finding[0] for finding in check(Declaration(table))]
    assert severities == ["ERROR", "WARNING", "WARNING"]


@pytest.mark.parametrize(("version", "count"), [(1, 0), (2, 1), (3, 1)])
def test_a_version_must_be_larger_than_that_in_force(version, count):
    """Guards against a document that daemons ignore."""
    found = check(Declaration(make_table()), make_table(version=version))
    assert [finding[1] for finding in found] == ["version"] * count


@pytest.mark.parametrize(
    ("table", "expected"),
    [
        (make_table(version=3), []),
        (
            make_table(routes={"other": ROUTE}),
            [("route db", "removed"), ("route other", "added")],
        ),
        (
            make_table({"timeout": 2.0, "level": 1}, {"connections": 4}),
            [
                ("group g0", "changed in connections"),
                ("route db", "changed in timeout, level"),
            ],
        ),
        (
            make_table(idle_transaction=1.0),
            [("limits", "changed in idle_transaction")],
        ),
        (
            make_table(holders=[(SOUTH, ["k1", "k2"])]),
            [
                ("keys", "1 added, 0 removed, 1 moved"),
                ("tenant north", "removed"),
                ("tenant south", "added"),
            ],
        ),
        (
            make_table(holders=[]),
            [
                ("callers", "need no keys any more"),
                ("keys", "0 added, 1 removed, 0 moved"),
                ("tenant north", "removed"),
            ],
        ),
    ],
)
def test_changes_name_parts_and_fields(table, expected):
    """Guards against a change that its author did not mean."""
    changes = configuration_checks.list_changes(table, make_table())
    assert [(change.subject, change.message) for change in changes] == expected
