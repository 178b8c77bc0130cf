import dataclasses

from fescuestile import leaving
from fescuestile import members
from fescuestile import ports
from tests import builders

LEAVING = ports.HostEntry(
    "endpoint-1", "muenchen", "127.0.1.1:1", "endpoint", True
)
STAYING = dataclasses.replace(LEAVING, leaving=False)


def apply_host_list(
    marks: leaving.LeavingMarks, host: ports.HostEntry, now: float
):
    entries = marks.reconcile((host,), now)
    for entry in entries:
        marks.apply(entry)
    return entries


def test_a_mark_takes_effect_at_once_and_is_cleared_late():
    marks = leaving.LeavingMarks()
    assert apply_host_list(marks, STAYING, 0.0) == []
    assert apply_host_list(marks, LEAVING, 1.0)
    assert marks.list_endpoints() == {"endpoint-1"}
    assert apply_host_list(marks, STAYING, 2.0) == []
    assert apply_host_list(marks, LEAVING, 3.0) == []
    assert apply_host_list(marks, STAYING, 4.0) == []
    assert apply_host_list(marks, STAYING, 4.0 + leaving.CLEAR_AFTER_SECONDS)
    assert marks.list_endpoints() == frozenset()


def test_the_mark_wins_when_two_watchers_disagree():
    stays, leaves = (
        leaving.encode_entry(STAYING, 2),
        leaving.encode_entry(LEAVING, 2),
    )
    for order in ((stays, leaves), (leaves, stays)):
        marks = leaving.LeavingMarks()
        for entry in order:
            marks.apply(entry)
        assert marks.list_endpoints() == {"endpoint-1"}
    malformed = dataclasses.replace(leaves, version=3, value=b"\xff")
    assert not marks.apply(malformed)


def test_a_daemon_on_a_leaving_host_takes_no_new_work():
    own, other = builders.build_member(1), builders.build_member(2)
    snapshot = members.MembershipSnapshot(own, (own, other))
    marked = leaving.mark_members(snapshot, frozenset({own.link_address}))
    assert marked.own.state is members.MemberState.LEAVING
    assert marked.list_serving() == (other,)
