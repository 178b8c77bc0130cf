import dataclasses

from fescuestile import leaving
from fescuestile import members
from fescuestile import ports
from tests import builders

HOST = ports.HostEntry(
    "endpoint-1", "muenchen", "127.0.1.1:1", "endpoint", True
)
STAYS = dataclasses.replace(HOST, leaving=False)


def watch(marks, host, now):
    entries = marks.compare((host,), now)
    for entry in entries:
        marks.take(entry)
    return entries


def test_a_mark_takes_effect_at_once_and_is_taken_back_late():
    marks = leaving.Marks()
    assert watch(marks, STAYS, 0.0) == []
    assert watch(marks, HOST, 1.0)
    assert marks.list_endpoints() == {"endpoint-1"}
    assert watch(marks, STAYS, 2.0) == []
    assert watch(marks, HOST, 3.0) == []
    assert watch(marks, STAYS, 4.0) == []
    assert watch(marks, STAYS, 4.0 + leaving.CLEAR_AFTER_SECONDS)
    assert marks.list_endpoints() == frozenset()


def test_of_two_watchers_that_disagree_the_mark_holds():
    stays, leaves = leaving.encode(STAYS, 2), leaving.encode(HOST, 2)
    for order in ((stays, leaves), (leaves, stays)):
        marks = leaving.Marks()
        for entry in order:
            marks.take(entry)
        assert marks.list_endpoints() == {"endpoint-1"}
    garbled = dataclasses.replace(leaves, version=3, value=b"\xff")
    assert not marks.take(garbled)


def test_a_daemon_on_a_leaving_host_takes_no_new_work():
    own, other = builders.build_member(1), builders.build_member(2)
    snapshot = members.MembershipSnapshot(own, (own, other))
    marked = leaving.mark_members(snapshot, frozenset({own.link_address}))
    assert marked.own.state is members.MemberState.LEAVING
    assert marked.list_serving() == (other,)
