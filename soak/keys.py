"""Keys of the callers' tenants, which faults move and revoke."""

import collections.abc
import dataclasses
import math

from soak import leaving

KEYS = ("k-north", "k-south", "k-spare")
# The key that is moved and revoked.
SPARE = "k-spare"
TENANTS = ("north", "south")
# Time until a daemon that started on an older copy of the store has read the
# operator's newest configuration, at most.
REWRITTEN_SECONDS = 2.0 + leaving.KNOWN_SECONDS


@dataclasses.dataclass(frozen=True, slots=True)
class State:
    """Tenant of the spare key from a time on, None while it is revoked."""

    since: float
    tenant: str | None


@dataclasses.dataclass(frozen=True, slots=True)
class Use:
    """Statements of a caller that ran under one key.

    :ivar began_at: when it was sent; for a transaction, its BEGIN
    :ivar ended_at: when it was answered, infinite without an answer
    """

    key: str
    began_at: float
    ended_at: float
    is_refused: bool = False


class Keys:
    """The keys in force, and how the callers' statements used them."""

    def __init__(self) -> None:
        """Start with the spare key at the first tenant."""
        self._states = [State(-math.inf, TENANTS[0])]
        self._uses: dict[str, Use] = {}
        self._refusals: list[Use] = []

    def list_tenants(self) -> dict[str, list[str]]:
        """Return the keys by tenant, for the configuration."""
        tenants = {"north": ["k-north"], "south": ["k-south"]}
        holder = self._states[-1].tenant
        if holder is not None:
            tenants[holder].append(SPARE)
        return tenants

    def change(self, how: str, now: float) -> None:
        """Change who holds the spare key.

        :param how: ``moves`` to the tenant that does not hold it, or
            ``revoked``
        """
        held = self._states[-1].tenant
        moved = TENANTS[held == TENANTS[0]]
        self._states.append(State(now, moved if how == "moves" else None))

    def record(self, id_: str, use: Use) -> None:
        """Record how a statement of a caller ended."""
        if use.is_refused:
            self._refusals.append(use)
        else:
            self._uses[id_] = use

    def check(
        self,
        ran: collections.abc.Iterable[tuple[str, str]],
        disturbances: leaving.Disturbances,
    ) -> list[str]:
        """Return how the tenants at the endpoints violate the keys.

        :param ran: ids of statements and the tenants that CONNECT named
        """
        violations = []
        for id_, tenant in ran:
            use = self._uses.get(id_)
            if use is None:
                continue
            allowed = self._list_allowed(use, disturbances)
            if allowed == {None}:
                violations.append(f"{id_} ran with a key gone: {use}")
            elif tenant not in allowed:
                violations.append(f"{id_} ran under {tenant}: {use}")
        violations.extend(
            f"a key in force was refused: {use}"
            for use in self._refusals
            if None not in self._list_allowed(use, disturbances)
        )
        return violations

    def _list_allowed(
        self, use: Use, disturbances: leaving.Disturbances
    ) -> set[str | None]:
        """Return the tenants that may have held a key during its use."""
        if use.key != SPARE:
            return {use.key.removeprefix("k-")}
        restored = any(
            drill.start < use.ended_at
            and use.began_at < drill.end + REWRITTEN_SECONDS
            for drill in disturbances.drills
        )
        if restored:
            # A daemon that started on the copy may not know the latest ones.
            return {state.tenant for state in self._states}
        ends = [
            disturbances.find_known_at(state.since) + leaving.KNOWN_SECONDS
            for state in self._states[1:]
        ]
        return {
            state.tenant
            for state, end in zip(self._states, [*ends, math.inf], strict=True)
            if state.since <= use.ended_at and use.began_at <= end
        }
