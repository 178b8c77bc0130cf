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
    """Objects under a version counter for the whole store."""

    def __init__(self) -> None:
        self._objects: dict[str, ports.StoredObject] = {}
        self._version = 0
        self._outcomes: collections.OrderedDict[tuple[str, str], Outcome] = (
            collections.OrderedDict()
        )

    def read(self, path: str) -> ports.StoredObject | None:
        """Return the object at a path, None if there is none."""
        return self._objects.get(path)

    def list_page(
        self, prefix: str, after: str
    ) -> tuple[tuple[ports.StoredObject, ...], bool]:
        """Return a page of objects, sorted by path, and whether more follow.

        :param after: return only paths that sort after this one
        """
        page: list[ports.StoredObject] = []
        size = 0
        for path in sorted(self._objects):
            if not path.startswith(prefix) or path <= after:
                continue
            stored = self._objects[path]
            size += len(stored.value)
            if page and size > platform_messages.MAX_PAGE_BYTES:
                return tuple(page), True
            page.append(stored)
        return tuple(page), False

    def list_changes(
        self, prefix: str, after_version: int
    ) -> list[ports.StoredObject]:
        """Return objects changed after a version, oldest first."""
        changed = (
            stored
            for path, stored in self._objects.items()
            if path.startswith(prefix) and stored.version > after_version
        )
        return sorted(changed, key=lambda stored: stored.version)

    def write(self, call: platform_messages.WriteObject) -> Outcome:
        """Write an object, or return the earlier outcome of the change id.

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
                    "expected a value of at most a megabyte",
                    STEP,
                    field="value",
                )
            )
        current = self._objects.get(call.path)
        version = current.version if current else 0
        if version != call.expected_version:
            return expression.Error(
                errors.VersionConflict(
                    f"expected {call.path} at version {call.expected_version},"
                    f" it is at version {version}",
                    STEP,
                )
            )
        self._version += 1
        stored = ports.StoredObject(
            call.path, self._version, call.value, call.change_id
        )
        self._objects[call.path] = stored
        return expression.Ok(stored)


class HostList:
    """Host list whose changes become visible after a delay."""

    def __init__(self, hosts: tuple[ports.HostEntry, ...] = ()) -> None:
        self._visible = hosts
        self._version = 1
        self._pending: list[tuple[float, tuple[ports.HostEntry, ...]]] = []

    def set_hosts(
        self, hosts: tuple[ports.HostEntry, ...], visible_at: float
    ) -> None:
        """Replace the list.

        :param visible_at: time of the clock from which it is visible, in
            seconds
        """
        self._pending.append((visible_at, hosts))

    def mark_leaving(
        self, name: str, leaving: bool, visible_at: float
    ) -> None:
        """Set or clear the leaving mark of one entry.

        :param visible_at: time of the clock from which it is visible, in
            seconds
        """
        latest = self._pending[-1][1] if self._pending else self._visible
        hosts = tuple(
            dataclasses.replace(host, leaving=leaving)
            if host.name == name
            else host
            for host in latest
        )
        self.set_hosts(hosts, visible_at)

    def list_visible(
        self, now: float
    ) -> tuple[int, tuple[ports.HostEntry, ...]]:
        """Return the list's version and the entries visible now."""
        while self._pending and self._pending[0][0] <= now:
            self._visible = self._pending.pop(0)[1]
            self._version += 1
        return self._version, self._visible
