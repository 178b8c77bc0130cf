"""How many connections to an endpoint transactions may hold."""

import collections


class TransactionBounds:
    """Connections that transactions hold, bounded by shares of all.

    Single statements and reports always have the rest. At least one
    transaction may begin, however few connections there are.

    :ivar total: connections that transactions hold
    """

    def __init__(self, total_share: float, tenant_share: float) -> None:
        """Initialize without transactions.

        :param total_share: share of the connections that all transactions
            together may hold
        :param tenant_share: share that those of one tenant may hold while
            others wait
        """
        self.total = 0
        self._total_share = total_share
        self._tenant_share = tenant_share
        self._by_tenant: collections.Counter[str] = collections.Counter()

    def count(self, tenant: str) -> int:
        """Return how many connections a tenant's transactions hold."""
        return self._by_tenant[tenant]

    def add(self, tenant: str) -> None:
        """Record that a transaction takes a connection."""
        self.total += 1
        self._by_tenant[tenant] += 1

    def remove(self, tenant: str) -> None:
        """Record that a transaction has released its connection."""
        self.total -= 1
        self._by_tenant[tenant] -= 1
        if not self._by_tenant[tenant]:
            del self._by_tenant[tenant]

    def may_begin(self, tenant: str, cap: int, others_wait: bool) -> bool:
        """Return whether a transaction may take a connection.

        :param cap: connections that the daemon may open
        :param others_wait: whether work of another tenant waits for one
        """
        if self.total >= max(1, int(cap * self._total_share)):
            return False
        own = self._by_tenant[tenant]
        return not others_wait or own < max(1, int(cap * self._tenant_share))
