"""Admits operations within the limits of their tenants."""

import asyncio
import collections
import collections.abc
import dataclasses
import math
import secrets
import typing

import structlog

from fescuestile import allowance_coordinator
from fescuestile import allowance_lessor
from fescuestile import allowance_messages
from fescuestile import allowance_tokens
from fescuestile import allowances
from fescuestile import clock
from fescuestile import position_sharing
from fescuestile import tenants
from fescuestile_daemon.relay.core import events
from fescuestile_daemon.relay.core import messages
from fescuestile_daemon.relay.peers import sampling
from fescuestile_daemon.relay.statements import limits

log = structlog.get_logger()

TICK_SECONDS = 0.125
# Longest wait of an operation for a token.
WAIT_SECONDS = 0.05
# Tokens are requested ahead for the operations of this time.
AHEAD_SECONDS = 0.2
# With fewer operations expected, each requests its own token: most of those
# requested ahead would be void before they are spent.
MIN_AHEAD = 2.0
# Weight of the latest tick in the mean of admissions.
MEAN_WEIGHT = 0.25
# Below this mean of operations a second a tenant without tokens is forgotten.
MIN_MEAN = 0.01
# Shortest pause between two log lines about tenants over their limits.
LOG_SECONDS = 5.0
# Names in such a line.
LOG_NAMES = 5
_INSTANCE_BITS = 32
_NUMBER_BITS = 62

Limits = dict[str, tenants.Tenant]


class LimitSource(typing.Protocol):
    """Holds the tenants in force."""

    @property
    def tenant_table(self) -> tenants.TenantTable:
        """Tenants of the configuration in force."""


@dataclasses.dataclass(slots=True)
class _Demand:
    """Operations of one tenant at this daemon.

    :ivar admitted: operations admitted since the last tick
    :ivar mean: admissions a second
    :ivar waiters: operations that wait for a token, first come first
    :ivar asked_at: time of the request under way, None for none
    :ivar refused_until: operations are refused without a request until then
    """

    tokens: allowance_tokens.Tokens = dataclasses.field(
        default_factory=allowance_tokens.Tokens
    )
    admitted: int = 0
    mean: float = 0.0
    waiters: collections.deque[asyncio.Future[bool]] = dataclasses.field(
        default_factory=collections.deque
    )
    asked_at: float | None = None
    refused_until: float = 0.0


class AllowanceExchange(limits.Limiter):
    """Gets tokens from a coordinator, and is one for other daemons."""

    def __init__(
        self,
        name: str,
        quota: allowances.Quota,
        source: LimitSource,
        boot_clock: clock.Clock,
        recorder: events.Recorder,
        running: float = 0.0,
    ) -> None:
        """Limit nothing until it is started.

        :param name: name of this daemon
        :param source: tells the limits in force
        :param running: seconds for which this process has run at least
        """
        now = boot_clock.now()
        self._name = name
        self._quota = quota
        self._source = source
        self._clock = boot_clock
        self._recorder = recorder
        self._table: tenants.TenantTable | None = None
        self._limits: Limits = {}
        self._coordinator = allowance_coordinator.Coordinator(
            quota, secrets.randbits(_INSTANCE_BITS)
        )
        self._lessor = allowance_lessor.Lessor(
            name, secrets.randbits(_NUMBER_BITS), now, running
        )
        self._exchange: sampling.Exchange | None = None
        self._addresses: dict[str, str] = {}
        self._names: dict[str, str] = {}
        self._demands: dict[str, _Demand] = {}
        self._wanted: set[str] = set()
        self._flush_handle: asyncio.Handle | None = None
        self._task: asyncio.Task[None] | None = None
        self._known_coordinator: str | None = None
        self._over: set[str] = set()
        self._logged_over: set[str] = set()
        self._logged_at = -math.inf

    def start(self) -> None:
        """Enforce the limits from now on."""
        self._task = asyncio.get_running_loop().create_task(self._run())

    def close(self) -> None:
        """Stop; operations that wait are refused."""
        if self._task is not None:
            self._task.cancel()
        if self._flush_handle is not None:
            self._flush_handle.cancel()
        for demand in self._demands.values():
            _refuse_waiters(demand)

    def set_exchange(self, exchange: sampling.Exchange | None) -> None:
        """Reach other daemons by an exchange, or no longer."""
        self._exchange = exchange

    def note_registered_before(self) -> None:
        """Note that all others have listed an earlier process's entry."""
        self._lessor.note_registered_before()

    def check_listed(self) -> bool:
        """Return whether all others can have listed this daemon."""
        return self._lessor.check_listed(self._clock.now())

    def set_peers(
        self, peers: collections.abc.Iterable[position_sharing.Peer]
    ) -> None:
        """Replace the known daemons, after this one has registered."""
        by_name = {peer.name: peer for peer in peers}
        by_name.setdefault(
            self._name, position_sharing.Peer(self._name, "", "")
        )
        self._addresses = {n: peer.address for n, peer in by_name.items()}
        self._names = {a: name for name, a in self._addresses.items()}
        self._lessor.put_order(
            allowances.order_daemons(by_name.values()), self._clock.now()
        )

    async def admit(self, tenant: str) -> messages.Outcome | None:
        """Count an operation; wait for a token for one round trip at most."""
        if self._task is None or tenant not in self._get_limits():
            return None
        demand = self._demands.get(tenant)
        if demand is None:
            demand = self._demands[tenant] = _Demand()
        now = self._clock.now()
        if not demand.waiters and demand.tokens.take(now):
            self._record_admission(tenant, demand)
            return None
        if now < demand.refused_until:
            return self._refuse(tenant)
        waiter = asyncio.get_running_loop().create_future()
        demand.waiters.append(waiter)
        self._request(tenant)
        try:
            async with asyncio.timeout(WAIT_SECONDS):
                await waiter
        except TimeoutError:
            # The answer may have arrived at the same moment.
            pass
        finally:
            if waiter.cancelled() and waiter in demand.waiters:
                demand.waiters.remove(waiter)
        if waiter.cancelled() or not waiter.result():
            return self._refuse(tenant)
        self._record_admission(tenant, demand)
        return None

    def _record_admission(self, tenant: str, demand: _Demand) -> None:
        demand.admitted += 1
        self._recorder.count("operations_admitted", tenant)

    def _refuse(self, tenant: str) -> messages.Outcome:
        self._recorder.count("operations_over_limit", tenant)
        self._over.add(tenant)
        return messages.Outcome(
            messages.Kind.OVERLOADED, detail="over the tenant's limit"
        )

    def _get_limits(self) -> Limits:
        """Return the limits in force, by tenant."""
        table = self._source.tenant_table
        if table is not self._table:
            self._put_limits(table)
        return self._limits

    def _put_limits(self, table: tenants.TenantTable) -> None:
        limits = {
            name: tenant
            for name, tenant in table.by_name.items()
            if tenant.rate < math.inf and name != tenants.ANONYMOUS
        }
        for name, demand in list(self._demands.items()):
            if limits.get(name) != self._limits.get(name):
                # They were issued under the earlier limit.
                demand.tokens.clear()
                demand.refused_until = 0.0
        if bool(limits) != bool(self._limits):
            log.info("tenant limits in force", tenants=len(limits))
        self._table = table
        self._limits = limits
        self._coordinator.put_limits(limits, self._clock.now())

    # Requests

    def _request(self, tenant: str) -> None:
        """Request tokens with all others that lack them at this moment."""
        self._wanted.add(tenant)
        if self._flush_handle is None:
            self._flush_handle = asyncio.get_running_loop().call_soon(
                self._flush
            )

    def _flush(self) -> None:
        self._flush_handle = None
        now = self._clock.now()
        wanted, self._wanted = self._wanted, set()
        to = self._lessor.coordinator
        counts: dict[str, int] = {}
        for tenant in wanted:
            demand = self._demands.get(tenant)
            if demand is None or self._is_asked(demand, now):
                continue
            count = self._count_wanted(demand, now)
            if count and to is not None:
                counts[tenant] = count
                demand.asked_at = now
        if to is None or not counts:
            return
        self._recorder.counters["tokens_asked", ""] += sum(counts.values())
        for part in allowance_messages.split_demand(counts):
            self._send(to, self._lessor.make_ask(to, now, part))

    def _is_asked(self, demand: _Demand, now: float) -> bool:
        return (
            demand.asked_at is not None
            and now - demand.asked_at < WAIT_SECONDS
        )

    def _count_wanted(self, demand: _Demand, now: float) -> int:
        expected = demand.mean * AHEAD_SECONDS
        ahead = 0
        if expected >= MIN_AHEAD:
            ahead = math.ceil(expected) - demand.tokens.count(now)
        return len(demand.waiters) + max(0, ahead)

    def _send(self, to: str, ask: allowance_messages.Ask) -> None:
        if to == self._name:
            grant = self._coordinator.answer(ask, self._clock.now())
            self._handle_grant(grant, to)
        elif self._exchange is not None and to in self._addresses:
            self._exchange.send(
                allowance_messages.encode(ask), self._addresses[to]
            )

    def receive(self, datagram: bytes, address: str) -> None:
        """Handle a datagram of another daemon; a malformed one is dropped.

        :param address: ``IP:port`` of the sender
        """
        message = allowance_messages.decode(datagram)
        if isinstance(message, allowance_messages.Ask):
            self._get_limits()
            grant = self._coordinator.answer(message, self._clock.now())
            if self._exchange is not None:
                self._exchange.send(allowance_messages.encode(grant), address)
        elif message is not None and address in self._names:
            self._handle_grant(message, self._names[address])

    def _handle_grant(
        self, grant: allowance_messages.Grant, sender: str
    ) -> None:
        now = self._clock.now()
        asked_at = self._lessor.receive(grant, sender, now)
        if asked_at is None:
            return
        if self._lessor.may_renew(now):
            self._send(sender, self._lessor.make_ask(sender, now))
        for tenant, (count, wait) in grant.tokens.items():
            demand = self._demands.get(tenant)
            if demand is not None and tenant in self._limits:
                self._add_tokens(tenant, demand, asked_at, count, wait)

    def _add_tokens(
        self,
        tenant: str,
        demand: _Demand,
        asked_at: float,
        count: int,
        wait: float,
    ) -> None:
        now = self._clock.now()
        if count:
            demand.tokens.add(count, asked_at + self._quota.lifetime)
        if demand.asked_at == asked_at:
            demand.asked_at = None
        while demand.waiters and demand.tokens.take(now):
            _wake(demand.waiters.popleft(), True)
        if wait:
            demand.refused_until = now + wait
            _refuse_waiters(demand)
        elif demand.waiters and demand.asked_at is None:
            # They came after the request.
            self._request(tenant)

    # Timer

    async def _run(self) -> None:
        while True:
            await asyncio.sleep(TICK_SECONDS)
            try:
                if self._get_limits():
                    self._tick()
            except Exception:
                # One malformed value must not end the limits.
                log.exception("tick of the tenant limits failed")

    def _tick(self) -> None:
        now = self._clock.now()
        for to, ask in self._lessor.tick(now):
            self._send(to, ask)
        coordinator = self._lessor.coordinator
        if coordinator != self._known_coordinator:
            self._known_coordinator = coordinator
            self._recorder.count("coordinator_changes")
            log.info("coordinator of tenant limits", daemon=coordinator)
        for tenant, demand in list(self._demands.items()):
            self._update_demand(tenant, demand, now)
        self._log_over(now)

    def _update_demand(self, tenant: str, demand: _Demand, now: float) -> None:
        rate = demand.admitted / TICK_SECONDS
        demand.mean += MEAN_WEIGHT * (rate - demand.mean)
        demand.admitted = 0
        held = demand.tokens.count(now)
        voided = demand.tokens.take_voided()
        if voided:
            self._recorder.counters["tokens_void", ""] += voided
        if demand.mean < MIN_MEAN and not held and not demand.waiters:
            if now >= demand.refused_until:
                del self._demands[tenant]
        elif now >= demand.refused_until and self._count_wanted(demand, now):
            self._request(tenant)

    def _log_over(self, now: float) -> None:
        """Log which tenants are over their limits when that has changed."""
        if now - self._logged_at < LOG_SECONDS:
            return
        over, self._over = self._over, set()
        self._logged_at = now
        if over == self._logged_over:
            return
        began = sorted(over - self._logged_over)
        log.info(
            "tenants over their limits",
            tenants=len(over),
            began=began[:LOG_NAMES],
            ended=len(self._logged_over - over),
        )
        self._logged_over = over


def _wake(waiter: asyncio.Future[bool], admitted: bool) -> None:
    if not waiter.done():
        waiter.set_result(admitted)


def _refuse_waiters(demand: _Demand) -> None:
    while demand.waiters:
        _wake(demand.waiters.popleft(), False)
