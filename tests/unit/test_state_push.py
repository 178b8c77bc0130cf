import dataclasses

from hypothesis import given
from hypothesis import settings
from hypothesis import strategies

from fescuestile import clock
from fescuestile import link_messages
from fescuestile import members
from fescuestile import positions
from fescuestile_daemon import published
from fescuestile_daemon import snapshot_store
from fescuestile_daemon import state_push
from tests import builders

DELAYS = strategies.floats(0, 5)
OWNER = builders.build_member(1)
ENTRY = builders.build_member(2)


@dataclasses.dataclass
class FakeLinks:
    sent: list[link_messages.GroupState] = dataclasses.field(
        default_factory=list
    )

    def add_handler(self, cls, handler):
        self.handler = handler

    def is_connected(self, peer):
        return True

    async def send(self, member, message):
        self.sent.append(message)


@settings(derandomize=True, max_examples=50)
@given(DELAYS, DELAYS, DELAYS, strategies.floats(0, 1000))
async def test_a_push_is_never_dated_later_than_it_was_sent(
    outbound, waited, inbound, offset
):
    """Links may stall for any time, and clocks differ by any offset."""
    links = FakeLinks()
    owner_clock = clock.ManualClock(offset)
    push = state_push.StatePush(
        OWNER.id,
        links,  # type: ignore[arg-type]
        published.Published(members.MembershipSnapshot(OWNER, (OWNER, ENTRY))),
        snapshot_store.SnapshotStore(None),  # type: ignore[arg-type]
        owner_clock,
    )
    report = builders.build_report(2, last=positions.Position(1, 3))
    push.record_report("werkstatt-db", report, offset)
    owner_clock.advance(outbound)
    interest = link_messages.Interest("werkstatt-db", sent_at=0.0)
    await links.handler(ENTRY.id, interest)
    owner_clock.advance(waited)
    group = push._groups["werkstatt-db"]
    await push._push("werkstatt-db", group, owner_clock.now())
    sent_at = outbound + waited
    dated = links.sent[0].compute_earliest_send(sent_at + inbound)
    assert dated <= sent_at + 1e-6
    assert dated >= sent_at - outbound - 1e-6
