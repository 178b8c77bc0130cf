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
    """Tenants of one version of the configuration, by name and by key."""

    def __init__(
        self,
        holders: collections.abc.Iterable[
            tuple[Tenant, collections.abc.Iterable[str]]
        ] = (),
    ) -> None:
        """Initialize with tenants and their keys.

        A key that two tenants have belongs to the first of them.
        """
        self.by_name: dict[str, Tenant] = {}
        self._by_key: dict[bytes, Tenant] = {}
        for tenant, keys in holders:
            self.by_name.setdefault(tenant.name, tenant)
            for key in keys:
                self._by_key.setdefault(hash_key(key), tenant)

    def __bool__(self) -> bool:
        """Return whether there are tenants."""
        return bool(self.by_name)

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
