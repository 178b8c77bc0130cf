"""Settings of the relay and their defaults."""

import dataclasses


@dataclasses.dataclass(frozen=True, slots=True)
class RelayOptions:
    """Times in seconds.

    :ivar connection_share: share of an endpoint's connections that one
        daemon opens; a deployment has four daemons
    :ivar min_connections: connections to an endpoint opened at least
    :ivar plenty_below: below this share of an endpoint's connections in
        use, spare ones are kept for ``idle_connection``
    :ivar scarce_above: above this share, none is kept for longer than
        ``scarce_idle``; between the two shares, one is kept
    :ivar idle_connection: a spare connection is closed after this time
    :ivar scarce_idle: the same while connections are scarce
    :ivar lease_patience: longest wait of a read for a free connection
        before another endpoint is tried
    :ivar dial_patience: unless connections are plenty, work waits this long
        for one that runs a single statement before another is opened; about
        two statements
    :ivar refused_delay: pause before the next connection is opened after
        the endpoint had no room for one
    :ivar trusted_idle: a connection that answered within this time is used
        for a write without asking for a sign of life first
    :ivar dial_timeout: longest wait for a new connection; handshakes take
        some 20 ms, a slow endpoint some times that
    :ivar redial_delay: pause after a connection could not be opened
    :ivar inspect_timeout: longest wait for a report, well above the time
        that reports queue behind statements
    :ivar read_silence: longest wait for a proof or a fresh position before
        a read begins anew
    :ivar set_up_silence: longest wait for an answer that takes no slot, such
        as that to BEGIN; many times a round trip
    :ivar read_failures: times that one read may fail or stay unanswered
    :ivar busy_delay: pause before an endpoint that refused is tried again
    :ivar busy_delay_most: the pause doubles up to this
    :ivar sample_interval: a group that serves reads is asked for a fresh
        position this often, a small part of the staleness bounds in use
    :ivar monitor_interval: pause between two looks at the primaries
    :ivar idle_inspect: a primary without traffic is asked this often
    :ivar idle_inspect_replica: likewise a replica
    :ivar crowded_inspect: likewise one whose queue is long, so that the
        pauses before it follow the queue, and those of a group of which one
        is silent
    :ivar second_replica: a proof asks one replica; after this time without
        one it asks the others
    :ivar primary_silence: a primary that answered nothing for this time is
        replaced; above the freezes and slow spells that pass by themselves
    :ivar primary_refusal: likewise for one that refuses connections, as the
        host of a process that has ended does
    :ivar commit_silence: likewise for one whose replicas receive nothing
    :ivar hold_after: work that only the primary can do is held back while
        it has left a question unanswered for this time
    :ivar suspect_after: an endpoint that leaves a question open for this
        time makes the others of its group be asked too, so that a daemon that
        is cut off learns it soon; above what crowded endpoints take
    :ivar isolated_after: a daemon that reaches no primary for this time
        takes no new callers
    :ivar isolated_close: an isolated daemon closes idle sessions after this
        time, or once the balancer was told twice that it is not ready and
        sends their callers elsewhere
    :ivar lingering: an entry that the registry dropped counts this long
    :ivar refuse_after: current reads are refused at once when no majority
        was reached for this time
    """

    connection_share: float = 0.25
    min_connections: int = 2
    plenty_below: float = 0.5
    scarce_above: float = 0.8
    idle_connection: float = 5.0
    scarce_idle: float = 0.3
    lease_patience: float = 0.05
    dial_patience: float = 0.03
    refused_delay: float = 0.1
    trusted_idle: float = 0.5
    dial_timeout: float = 0.5
    redial_delay: float = 0.2
    inspect_timeout: float = 0.4
    read_silence: float = 0.25
    set_up_silence: float = 0.12
    read_failures: int = 4
    busy_delay: float = 0.02
    busy_delay_most: float = 0.08
    sample_interval: float = 0.8
    monitor_interval: float = 0.2
    idle_inspect: float = 0.7
    idle_inspect_replica: float = 1.5
    crowded_inspect: float = 0.35
    second_replica: float = 0.04
    primary_silence: float = 1.0
    primary_refusal: float = 0.6
    commit_silence: float = 1.0
    hold_after: float = 0.35
    suspect_after: float = 0.2
    isolated_after: float = 0.4
    isolated_close: float = 2.2
    lingering: float = 3.0
    refuse_after: float = 0.8
