"""Tenants of the configuration and the keys by which callers show theirs."""

import collections
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
    :ivar weight: share of its work among that of others of its rank, at
        least 1
    :ivar rate: operations a second over all daemons, infinite for no limit
    :ivar burst: operations that it may send at once beyond the rate
    """

    name: str
    weight: int = 1
    rate: float = math.inf
    burst: float = 0.0


def hash_key(key: str) -> bytes:
    """Return what a key is compared by; the key is not kept."""
    return hashlib.blake2b(
        key.encode(), key=_SECRET, digest_size=_DIGEST_BYTES
    ).digest()


@dataclasses.dataclass(frozen=True, slots=True)
class Changes:
    """Difference between two versions of the tenants.

    :ivar added: number of new keys
    :ivar removed: number of keys taken away
    :ivar moved: number of keys that belong to another tenant
    :ivar tenants_changed: whether tenants came, went or have other limits
    """

    added: int
    removed: int
    moved: int
    tenants_changed: bool

    def __bool__(self) -> bool:
        """Return whether there is a difference."""
        keys = self.added + self.removed + self.moved
        return self.tenants_changed or keys > 0


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
        self._needs_keys = needs_keys
        for entry, keys in holders:
            self.add(entry, keys)

    def add(self, entry: Tenant, keys: collections.abc.Iterable[str]) -> None:
        """Add a tenant and its keys, while the table is not yet in force."""
        self._needs_keys = True
        tenant = self.by_name.setdefault(entry.name, entry)
        if tenant is not entry:
            self.conflicts.append(f"tenant {entry.name} is listed twice")
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

    @property
    def key_count(self) -> int:
        """Number of keys in force."""
        return len(self._by_key)

    def count_keys(self) -> collections.Counter[str]:
        """Return the numbers of keys in force by tenant."""
        return collections.Counter(
            tenant.name for tenant in self._by_key.values()
        )

    def find(self, key_hash: bytes) -> Tenant | None:
        """Return the tenant that holds a key, by its hash."""
        return self._by_key.get(key_hash)

    def has_same(self, name: str, other: "TenantTable") -> bool:
        """Return whether a tenant and its keys are the same in two tables."""
        return self.by_name.get(name) == other.by_name.get(
            name
        ) and self._list_hashes(name) == other._list_hashes(name)

    def _list_hashes(self, name: str) -> set[bytes]:
        return {
            key_hash
            for key_hash, tenant in self._by_key.items()
            if tenant.name == name
        }

    def count_changes(self, before: "TenantTable") -> Changes:
        """Return what has changed since another version."""
        known = before._by_key
        kept = len(known.keys() & self._by_key.keys())
        moved = 0
        for key, tenant in self._by_key.items():
            holder = known.get(key)
            moved += holder is not None and holder.name != tenant.name
        return Changes(
            added=len(self._by_key) - kept,
            removed=len(known) - kept,
            moved=moved,
            tenants_changed=self.by_name != before.by_name,
        )
