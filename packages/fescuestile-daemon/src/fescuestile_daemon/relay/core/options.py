"""Options of the relay and their defaults."""

import dataclasses

from fescuestile import allowances


@dataclasses.dataclass(frozen=True, slots=True)
class RelayOptions:
    """Limits, timeouts and intervals; times are in seconds.

    :ivar connection_share: share of an endpoint's connections that one
        daemon may open; a deployment has four daemons
    :ivar min_connections: lower bound of the connections that one daemon
        may open to an endpoint, whatever its share
    :ivar gateway_share: share of an endpoint's connections that the gateway
        of its zone may open
    :ivar remote_gateway_share: share that the gateway of another zone may
        open; with three zones the rest, a tenth, is for daemons that reach
        no gateway
    :ivar plenty_below: below this share of an endpoint's connections in
        use, idle ones are kept for ``idle_connection``
    :ivar scarce_above: from this share on, none stays idle for longer than
        ``scarce_idle``; between the two shares, one idle one is kept, for
        the less time the fewer are left
    :ivar idle_connection: idle time after which a connection is closed
    :ivar scarce_idle: the same while connections are scarce
    :ivar retained_idle: the same in a pool that retains its connections,
        however few are left
    :ivar use_window: time over which the use of connections by tenants is
        averaged when one is closed for another's
    :ivar transaction_share: share of the connections that one daemon may
        open that all transactions together may hold
    :ivar tenant_transaction_share: the same of one tenant's transactions
        while work of other tenants waits for a connection
    :ivar resting_transaction: a transaction without a statement for this
        time is rolled back while others wait for a connection
    :ivar free_connection_timeout: longest wait of a read for a free
        connection before another endpoint is tried
    :ivar dial_delay: while an endpoint's connections are not plentiful, a
        statement waits this long for one that runs a single statement
        before another is opened; about the time of two statements
    :ivar refused_delay: pause before the next connection is opened after
        the endpoint refused one because it had too many
    :ivar trusted_idle: a connection that answered within this time is used
        for a write without being probed first
    :ivar dial_timeout: longest wait for a new connection; handshakes take
        about 20 ms, at a slow endpoint a few times that
    :ivar redial_delay: pause after a connection could not be opened
    :ivar inspect_timeout: longest wait for a report; well above the time
        for which reports queue behind statements
    :ivar freshness_timeout: longest wait of a read for a leadership check or
        a fresh position before it is tried again, and for the answer to a
        rollback
    :ivar set_up_timeout: longest wait for the answer to a command that needs
        no slot, such as BEGIN; many times the round-trip time
    :ivar read_failures: attempts of one read that may fail or get no answer
    :ivar busy_delay: pause before an endpoint that refused is tried again
    :ivar busy_delay_max: upper bound of the pause, which doubles each time
    :ivar sample_interval: interval at which a fresh position is sampled in a
        group that serves reads; a small part of the staleness bounds in use
    :ivar monitor_interval: pause between two checks of the primaries
    :ivar idle_inspect_interval: interval of report requests to a primary
        without traffic
    :ivar replica_inspect_interval: interval of report requests to a replica
    :ivar few_connections: from this number of connections of an endpoint on,
        which come from many daemons, each requests reports less often
    :ivar saturated_inspect_interval: interval of report requests to an
        endpoint whose queue is long, so that pacing follows the queue, and
        to the endpoints of a group of which one is unresponsive
    :ivar second_replica_delay: a leadership round queries one replica; when
        it is not complete after this time, it queries the others
    :ivar primary_timeout: a primary that has not responded for this time is
        replaced; above the freezes and slow periods that pass by themselves
    :ivar refusal_timeout: likewise for one that refuses connections, as the
        host of a process that has ended does
    :ivar replication_timeout: likewise for one whose replicas receive nothing
    :ivar hold_after: work that only the primary can do is held back while
        the primary has not responded for this time
    :ivar suspect_after: once an endpoint has not responded for this time,
        the others of its group are queried too, so that a daemon that is
        cut off detects it soon; above the response time of endpoints at
        capacity
    :ivar isolated_after: a daemon that reaches no primary for this time
        accepts no new callers
    :ivar isolated_close: an isolated daemon closes idle sessions after this
        time, or once two probes in a row have told the load balancer that it
        is not ready, which then sends their callers elsewhere
    :ivar leaving_limit: time for which new work still goes to a leaving
        primary that has not been replaced, from when its mark is known
    :ivar removal_delay: time for which an endpoint that the registry dropped
        is still counted
    :ivar refuse_after: current reads are refused at once when no majority
        was reached for this time
    :ivar quota: how far operations of a tenant may exceed its limit
    """

    connection_share: float = 0.25
    min_connections: int = 2
    gateway_share: float = 0.6
    remote_gateway_share: float = 0.15
    plenty_below: float = 0.5
    scarce_above: float = 0.8
    idle_connection: float = 5.0
    scarce_idle: float = 0.3
    retained_idle: float = 30.0
    use_window: float = 120.0
    transaction_share: float = 0.75
    tenant_transaction_share: float = 0.25
    resting_transaction: float = 0.5
    free_connection_timeout: float = 0.05
    dial_delay: float = 0.03
    refused_delay: float = 0.1
    trusted_idle: float = 0.5
    dial_timeout: float = 0.5
    redial_delay: float = 0.2
    inspect_timeout: float = 0.4
    freshness_timeout: float = 0.25
    set_up_timeout: float = 0.12
    read_failures: int = 4
    busy_delay: float = 0.02
    busy_delay_max: float = 0.08
    sample_interval: float = 0.8
    monitor_interval: float = 0.2
    idle_inspect_interval: float = 0.7
    replica_inspect_interval: float = 1.5
    few_connections: int = 20
    saturated_inspect_interval: float = 0.35
    second_replica_delay: float = 0.04
    primary_timeout: float = 1.0
    refusal_timeout: float = 0.6
    replication_timeout: float = 1.0
    hold_after: float = 0.35
    suspect_after: float = 0.2
    isolated_after: float = 0.4
    isolated_close: float = 2.2
    leaving_limit: float = 4.0
    removal_delay: float = 3.0
    refuse_after: float = 0.8
    quota: allowances.Quota = allowances.DEFAULT_QUOTA


@dataclasses.dataclass(frozen=True, slots=True)
class ClientOptions:
    """Limits on clients; times are in seconds.

    No client within the protocol's limits reaches a default: a message of
    1 MiB, 12 statements in a transaction, several hundred sessions.

    :ivar sessions: open connections of callers
    :ivar probes: open connections to each address of probes and metrics
    :ivar total_bytes: bytes held for all connections; the ones that hold
        most are closed above it, and are not read from 0.6 of it on
    :ivar queued_statements: statements of a session that wait or run; no
        further ones are read meanwhile
    :ivar queued_bytes: likewise for their bytes
    :ivar unsent_bytes: answers that a caller has not taken; above it none of
        its statements is begun, and it is read from again at a quarter of it
    :ivar values: session values and prepared statements of a session
    :ivar value_bytes: likewise for their bytes
    :ivar first_line: time from the start of a connection to its first line
    :ivar line: time from the start of a line to its end
    :ivar stalled: time for which a caller may take nothing of its answers
    """

    sessions: int = 700
    probes: int = 32
    total_bytes: int = 48 * 1024 * 1024
    queued_statements: int = 16
    queued_bytes: int = 256 * 1024
    unsent_bytes: int = 256 * 1024
    values: int = 256
    value_bytes: int = 2 * 1024 * 1024
    first_line: float = 5.0
    line: float = 15.0
    stalled: float = 5.0


DEFAULT_CLIENT_OPTIONS = ClientOptions()
