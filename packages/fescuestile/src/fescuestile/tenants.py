"""Tenants of the configuration and the keys by which callers show theirs."""

import collections.abc
import dataclasses
import hashlib
import math
import secrets

# Hashes are compared within one process only, so the secret of the hash is
# drawn at its start and a digest that leaks is of no use elsewhere.
_SECRET = secrets.token_bytes(32)
_DIGEST_BYTES = 16

# Tenant of callers on routes that need no key, and of all callers where the
# configuration has no tenants.
ANONYMOUS = ""


@dataclasses.dataclass(frozen=True, slots=True)
class Tenant:
    """A customer of the operator.

    :ivar name: what endpoints are told
    :ivar priority: weight of its work among that of others of its rank, at
        least 1
    :ivar rate: operations a second over all daemons, infinite for no limit
    :ivar burst: operations that it may send at once beyond the rate
    """

    name: str
    priority: int = 1
    rate: float = math.inf
    burst: float = 0.0


def hash_key(key: str) -> bytes:
    """Return what a key is compared by; the key is not kept."""
    return hashlib.blake2b(
        key.encode(), key=_SECRET, digest_size=_DIGEST_BYTES
    ).digest()


class TenantTable:
    """Tenants of one version of the configuration, by name and by key.

    :ivar by_name: tenants by name
    :ivar conflicts: descriptions of names and keys that came twice, without
        the keys
    """

    def __init__(
        self,
        holders: collections.abc.Iterable[
            tuple[Tenant, collections.abc.Iterable[str]]
        ] = (),
        needs_keys: bool = False,
    ) -> None:
        """Initialize with tenants and their keys.

        A key that two tenants have belongs to the first of them, and entries
        of one name are one tenant with the limits of the first.

        :param needs_keys: whether callers need keys even if there is no
            valid tenant
        """
        self.by_name: dict[str, Tenant] = {}
        self.conflicts: list[str] = []
        self._by_key: dict[bytes, Tenant] = {}
        for entry, keys in holders:
            tenant = self.by_name.setdefault(entry.name, entry)
            if tenant is not entry:
                self.conflicts.append(f"tenant {entry.name} is listed twice")
            self._add_keys(tenant, keys)
        self._needs_keys = needs_keys or bool(self.by_name)

    def _add_keys(
        self, tenant: Tenant, keys: collections.abc.Iterable[str]
    ) -> None:
        for key in keys:
            holder = self._by_key.setdefault(hash_key(key), tenant)
            if holder is not tenant:
                self.conflicts.append(
                    f"a key of tenant {tenant.name} belongs to tenant"
                    f" {holder.name}"
                )

    def __bool__(self) -> bool:
        """Return whether callers need keys."""
        return self._needs_keys

    def __eq__(self, other: object) -> bool:
        """Return whether the tenants, their limits and keys are the same."""
        return (
            isinstance(other, TenantTable)
            and self._needs_keys == other._needs_keys
            and self.by_name == other.by_name
            and self._by_key == other._by_key
        )

    __hash__ = None  # type: ignore[assignment]

    @property
    def key_count(self) -> int:
        """Number of keys in force."""
        return len(self._by_key)

    def find(self, key_hash: bytes) -> Tenant | None:
        """Return the tenant that holds a key, by its hash."""
        return self._by_key.get(key_hash)

    def count_changes(self, before: "TenantTable") -> tuple[int, int, int]:
        """Return how many keys were added, taken away and moved."""
        added = self._by_key.keys() - before._by_key.keys()
        removed = before._by_key.keys() - self._by_key.keys()
        moved = sum(
            before._by_key[key].name != tenant.name
            for key, tenant in self._by_key.items()
            if key in before._by_key
        )
        return len(added), len(removed), moved
