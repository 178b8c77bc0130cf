"""Actor that owns the plans, session keys and leaving marks of a daemon."""

import collections.abc
import dataclasses

import pykka
import structlog

from fescuestile import clock
from fescuestile import configuration
from fescuestile import gossip_messages
from fescuestile import leaving
from fescuestile import plans
from fescuestile import ports
from fescuestile import session_keys
from fescuestile import sessions
from fescuestile_daemon import published

log = structlog.get_logger(__name__)

Entries = tuple[gossip_messages.Entry, ...]


@dataclasses.dataclass(frozen=True, slots=True)
class EntriesChanged:
    """Entries that the gossip has merged."""

    entries: Entries


@dataclasses.dataclass(frozen=True, slots=True)
class HostsListed:
    """The platform's host list, as read by a watcher."""

    hosts: tuple[ports.HostEntry, ...]


@dataclasses.dataclass(frozen=True, slots=True)
class LeavingSet:
    """Endpoints and daemons that are marked as leaving.

    :ivar endpoints: names of endpoints
    :ivar daemons: link addresses of daemons
    """

    endpoints: frozenset[str] = frozenset()
    daemons: frozenset[str] = frozenset()


@dataclasses.dataclass(frozen=True)
class ConfigurationParts:
    """Dependencies of the configuration actor.

    :ivar announce: gossips entries; called in the actor's thread
    """

    time_source: clock.Clock
    plans: published.Published[dict[str, plans.PlanRevision]]
    keys: published.Published[sessions.KeyRing | None]
    leaving_set: published.Published[LeavingSet]
    announce: collections.abc.Callable[[Entries], None]


def is_well_formed(entry: gossip_messages.Entry) -> bool:
    """Return whether an entry of the configuration is well formed."""
    if entry.key.startswith(configuration.PLAN_PREFIX):
        return configuration.decode_entry(entry).is_ok()
    if entry.key.startswith(leaving.PREFIX):
        return leaving.decode_entry(entry) is not None
    if entry.key == session_keys.PATH:
        return session_keys.decode(entry.value).is_ok()
    return False


class ConfigurationActor(pykka.ThreadingActor):
    """Puts plan revisions in force; a database's revision never decreases."""

    def __init__(self, parts: ConfigurationParts) -> None:
        """Initialize without a configuration."""
        super().__init__()
        self._parts = parts
        self._store = configuration.PlanStore()
        self._marks = leaving.LeavingMarks()
        self._key_number = 0

    def on_receive(self, message: object) -> None:
        """Process one message."""
        match message:
            case EntriesChanged():
                self._apply_entries(message.entries)
            case HostsListed():
                now = self._parts.time_source.now()
                entries = self._marks.reconcile(message.hosts, now)
                if entries:
                    self._parts.announce(tuple(entries))
            case _:
                raise TypeError(f"unknown message {message!r}")

    def _apply_entries(self, entries: Entries) -> None:
        changed: dict[str, plans.PlanRevision] = {}
        marked = False
        for entry in entries:
            if entry.key.startswith(configuration.PLAN_PREFIX):
                self._apply_plan(entry, changed)
            elif entry.key.startswith(leaving.PREFIX):
                marked = self._marks.apply(entry) or marked
            elif entry.key == session_keys.PATH:
                self._apply_keys(entry)
        if changed:
            self._parts.plans.publish(self._parts.plans.get() | changed)
        if marked:
            self._parts.leaving_set.publish(
                LeavingSet(
                    self._marks.list_endpoints(), self._marks.list_daemons()
                )
            )

    def _apply_plan(
        self,
        entry: gossip_messages.Entry,
        changed: dict[str, plans.PlanRevision],
    ) -> None:
        result = configuration.decode_entry(entry)
        if result.is_error():
            log.warning("invalid plan rejected", error=str(result.error))
            return
        revision = result.ok
        if self._store.apply(revision):
            changed[revision.plan.database] = revision
            log.info(
                "plan in force",
                database=revision.plan.database,
                revision=revision.revision,
                change_id=revision.change_id,
            )

    def _apply_keys(self, entry: gossip_messages.Entry) -> None:
        result = session_keys.decode(entry.value)
        if result.is_ok() and result.ok.number > self._key_number:
            self._key_number = result.ok.number
            self._parts.keys.publish(result.ok.ring)
            log.info("session keys in force", number=result.ok.number)
