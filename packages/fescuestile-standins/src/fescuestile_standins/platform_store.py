"""Object store and host list of the platform stand-in, in memory."""

import collections
import dataclasses

import expression

from fescuestile import errors
from fescuestile import platform_messages
from fescuestile import ports

STEP = "platform store"
MAX_OUTCOMES = 65_536

Outcome = expression.Result[ports.StoredObject, errors.FescuestileError]


class ObjectStore:
    """Objects with one version for the whole store."""

    def __init__(self) -> None:
        self._objects: dict[str, ports.StoredObject] = {}
        self._version = 0
        self._outcomes: collections.OrderedDict[tuple[str, str], Outcome] = (
            collections.OrderedDict()
        )

    def read(self, path: str) -> ports.StoredObject | None:
        """Return the object at a path."""
        return self._objects.get(path)

    def list_page(
        self, prefix: str, after: str
    ) -> tuple[tuple[ports.StoredObject, ...], bool]:
        """Return a page of objects by path and whether more follow.

        :param after: only paths above this one
        """
        page: list[ports.StoredObject] = []
        size = 0
        for path in sorted(self._objects):
            if not path.startswith(prefix) or path <= after:
                continue
            found = self._objects[path]
            size += len(found.value)
            if page and size > platform_messages.MAX_PAGE_BYTES:
                return tuple(page), True
            page.append(found)
        return tuple(page), False

    def list_changes(
        self, prefix: str, after_version: int
    ) -> list[ports.StoredObject]:
        """Return objects changed after a version, oldest first."""
        changed = (
            found
            for path, found in self._objects.items()
            if path.startswith(prefix) and found.version > after_version
        )
        return sorted(changed, key=lambda found: found.version)

    def write(self, call: platform_messages.WriteObject) -> Outcome:
        """Write an object, or return the outcome its change id had.

        :returns: the object, VersionConflict or InvalidInput
        """
        key = (call.path, call.change_id)
        if key in self._outcomes:
            return self._outcomes[key]
        outcome = self._write_once(call)
        self._outcomes[key] = outcome
        if len(self._outcomes) > MAX_OUTCOMES:
            self._outcomes.popitem(last=False)
        return outcome

    def _write_once(self, call: platform_messages.WriteObject) -> Outcome:
        if len(call.value) > platform_messages.MAX_VALUE_BYTES:
            return expression.Error(
                errors.InvalidInput(
                    "the value is over a megabyte", STEP, field="value"
                )
            )
        current = self._objects.get(call.path)
        version = current.version if current else 0
        if version != call.expected_version:
            return expression.Error(
                errors.VersionConflict(
                    f"{call.path} is at version {version}", STEP
                )
            )
        self._version += 1
        stored = ports.StoredObject(
            call.path, self._version, call.value, call.change_id
        )
        self._objects[call.path] = stored
        return expression.Ok(stored)


class HostList:
    """Host list that shows its changes late."""

    def __init__(self, hosts: tuple[ports.HostEntry, ...] = ()) -> None:
        self._shown = hosts
        self._version = 1
        self._pending: list[tuple[float, tuple[ports.HostEntry, ...]]] = []

    def set_hosts(
        self, hosts: tuple[ports.HostEntry, ...], visible_at: float
    ) -> None:
        """Replace the list; it shows from ``visible_at`` seconds on."""
        self._pending.append((visible_at, hosts))

    def mark_leaving(
        self, name: str, leaving: bool, visible_at: float
    ) -> None:
        """Set the leaving mark of one entry."""
        latest = self._pending[-1][1] if self._pending else self._shown
        hosts = tuple(
            dataclasses.replace(host, leaving=leaving)
            if host.name == name
            else host
            for host in latest
        )
        self.set_hosts(hosts, visible_at)

    def show(self, now: float) -> tuple[int, tuple[ports.HostEntry, ...]]:
        """Return the list's version and the entries that show now."""
        while self._pending and self._pending[0][0] <= now:
            self._shown = self._pending.pop(0)[1]
            self._version += 1
        return self._version, self._shown
