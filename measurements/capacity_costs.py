"""Unit costs for the lines of the capacity page, from recorded slopes."""

import dataclasses
import functools

from measurements import capacity_lines
from measurements import slope_file

PERCENT_PER_MILLISECOND = 0.1
MICROSECONDS_PER_MILLISECOND = 1000.0
GOSSIP_ZONES = 4

SIZE = capacity_lines.SIZE


def to_percent(milliseconds: float) -> float:
    """Convert milliseconds of work per second to percent of a core."""
    return milliseconds * PERCENT_PER_MILLISECOND


def to_kilobytes(byte_count: float) -> float:
    """Convert bytes to kilobytes."""
    return byte_count / capacity_lines.BYTES_PER_KILOBYTE


@dataclasses.dataclass(frozen=True)
class Costs:
    """Unit costs at the design size, in ms, bytes and MiB."""

    recorded: slope_file.SlopeFile

    @functools.cached_property
    def gossip_members(self) -> float:
        """Members of a fleet of the 4 measured zones, of the design's size."""
        return GOSSIP_ZONES * SIZE.daemons_per_zone

    def predict_gossip(self, quantity: str) -> float:
        """Return a quantity of the gossip of an idle daemon."""
        return self.recorded.predict(
            "slope_gossip_quiet", quantity, self.gossip_members
        )

    def predict_bridge(self, quantity: str) -> float:
        """Return a quantity of the gossip of an idle bridge."""
        return self.recorded.predict(
            "slope_gossip_bridges", quantity, SIZE.zones
        )

    @property
    def copies_per_change(self) -> float:
        """Copies of a changed entry that each daemon sends, and receives."""
        return self.recorded.predict(
            "slope_gossip_entry", "copies sent per daemon", self.gossip_members
        )

    @property
    def propagation_seconds(self) -> float:
        """Seconds until a changed entry is in force on all daemons."""
        return self.recorded.predict(
            "slope_gossip_entry",
            "seconds until in force everywhere",
            self.gossip_members,
        )

    @property
    def ping_ms(self) -> float:
        """Processor ms of a small frame, both ends."""
        return self.recorded.get_slope("slope_links_frames", "CPU ms, pings")

    @property
    def forward_ms(self) -> float:
        """Processor ms of a Forward frame, both ends."""
        return self.recorded.get_slope(
            "slope_links_frames", "CPU ms, forwards"
        )

    @property
    def idle_link_ms(self) -> float:
        """Processor ms per second of an idle link, one end."""
        return self.recorded.get_slope(
            "slope_links_memory", "CPU ms/s of idle links"
        )

    @property
    def link_mebibytes(self) -> float:
        """Memory of a link, one end."""
        kibibytes = self.recorded.get_slope("slope_links_memory", "memory KiB")
        return kibibytes / capacity_lines.KIBIBYTES_PER_MEBIBYTE

    @property
    def report_ms(self) -> float:
        """Processor ms of one report: receiving its frame and applying it."""
        microseconds = self.recorded.get_slope(
            "slope_reports", "CPU µs per round of reports"
        )
        return microseconds / MICROSECONDS_PER_MILLISECOND + self.ping_ms / 2

    @property
    def report_bytes(self) -> float:
        """Bytes of one report."""
        return self.recorded.get_slope("slope_state_push", "bytes per push")

    @property
    def push_bytes(self) -> float:
        """Bytes of one GroupState frame."""
        return self._predict_push("bytes per push")

    @property
    def push_send_ms(self) -> float:
        """Processor ms to send one GroupState frame."""
        microseconds = self._predict_push("CPU µs to encode")
        return microseconds / MICROSECONDS_PER_MILLISECOND + self.ping_ms / 2

    @property
    def push_receive_ms(self) -> float:
        """Processor ms to receive one GroupState frame and apply it."""
        microseconds = self._predict_push(
            "CPU µs to decode"
        ) + SIZE.endpoints_per_database * self.recorded.get_slope(
            "slope_reports", "CPU µs per round of reports"
        )
        return microseconds / MICROSECONDS_PER_MILLISECOND + self.ping_ms / 2

    def _predict_push(self, quantity: str) -> float:
        return self.recorded.predict(
            "slope_state_push", quantity, SIZE.endpoints_per_database
        )

    @property
    def member_change_ms(self) -> float:
        """Processor ms of a membership change: gossip and new owners."""
        microseconds = self.recorded.predict(
            "slope_members", "CPU µs per change", SIZE.daemons
        )
        owners = self.recorded.predict(
            "slope_groups", "CPU ms per membership change", SIZE.databases
        )
        return microseconds / MICROSECONDS_PER_MILLISECOND + owners

    @property
    def plan_change_ms(self) -> float:
        """Processor ms of a plan change."""
        return self.recorded.predict(
            "slope_groups", "CPU ms per plan change", SIZE.databases
        )

    @property
    def plan_bytes(self) -> float:
        """Bytes of one plan's entry."""
        return self.recorded.get_slope("slope_plans", "bytes of all entries")

    @property
    def member_bytes(self) -> float:
        """Bytes of one member's entry."""
        return self.recorded.get_slope("slope_members", "bytes of all entries")

    @property
    def join_bytes(self) -> float:
        """Bytes that a starting daemon receives from one peer."""
        plans = self.recorded.predict(
            "slope_join", "bytes to the joining daemon", SIZE.databases
        )
        return plans + self.member_bytes * SIZE.daemons

    @property
    def host_list_bytes(self) -> float:
        """Bytes of the platform's host list."""
        return self.recorded.predict(
            "slope_hosts", "bytes", SIZE.daemons + SIZE.endpoints
        )

    @property
    def control_mebibytes(self) -> float:
        """Memory of a daemon without sessions and links."""
        kibibytes = self.recorded.predict("slope_sessions", "memory KiB", 0)
        kibibytes += self.recorded.predict(
            "slope_members", "memory KiB", SIZE.daemons
        )
        kibibytes += self.recorded.predict(
            "slope_plans", "memory KiB", SIZE.databases
        )
        groups = self.recorded.predict(
            "slope_groups", "memory MiB", SIZE.databases
        )
        return kibibytes / capacity_lines.KIBIBYTES_PER_MEBIBYTE + groups
