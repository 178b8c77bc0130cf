"""Drills: the stand-in store comes back from a copy that is seconds old."""

import asyncio
import copy
import dataclasses
import enum
import math
import typing

if typing.TYPE_CHECKING:
    from tests.platform.standins import store as wire_store

Key = tuple[str, str]
OPERATOR_KIND = "config"
ENDPOINT_KIND = "servers"


class Way(enum.StrEnum):
    """How calls fail while the store is away.

    :cvar RESET: their connections are reset
    :cvar SILENT: they get no answer; watches that wait then never get one
    :cvar BUSY: they are refused; watches that wait go on to do so
    """

    RESET = "reset"
    SILENT = "silent"
    BUSY = "busy"


@dataclasses.dataclass(frozen=True)
class Copy:
    """The store's contents at some time."""

    revision: int
    objects: dict[Key, dict[str, typing.Any]]
    history: list[tuple[int, str, dict[str, typing.Any]]]
    dropped_revision: int


@dataclasses.dataclass(frozen=True)
class Drill:
    """How the store goes away, and what happens after its return.

    :ivar away_seconds: time without answers
    :ivar way: how calls fail in that time
    :ivar era_step: what the era rises by
    :ivar operator_seconds: time after the return at which the operator writes
        its newest configuration again
    :ivar endpoint_seconds: likewise for entries of endpoints; infinite for
        endpoints that never reach the store
    :ivar removal_seconds: likewise for the removal of entries that the copy
        still holds; infinite for never
    """

    away_seconds: float = 0.5
    way: Way = Way.RESET
    era_step: int = 1
    operator_seconds: float = 1.0
    endpoint_seconds: float = 1.0
    removal_seconds: float = 3.6


def take_copy(store: "wire_store.Store") -> Copy:
    """Copy what the store holds now."""
    return Copy(
        store.revision,
        copy.deepcopy(store.objects),
        copy.deepcopy(store.history),
        store.dropped_revision,
    )


async def restore(
    store: "wire_store.Store", older: Copy, drill: Drill | None = None
) -> None:
    """Let the store be away and come back from a copy.

    Returns when it is back. The operator and the endpoints write again later;
    what the system wrote since the copy stays lost.
    """
    drill = drill or Drill()
    _set_away(store, drill.way, is_away=True)
    store.cut_watches(drill.way)
    await asyncio.sleep(drill.away_seconds)
    newest = _list_outside(store.objects)
    store.return_from(older)
    if isinstance(store.era, int):
        store.era += drill.era_step
    _set_away(store, drill.way, is_away=False)
    _schedule_rewrites(store, newest, drill)


def _set_away(store: "wire_store.Store", way: Way, is_away: bool) -> None:
    faults = store.faults
    match way:
        case Way.RESET:
            faults.reset = is_away
        case Way.SILENT:
            faults.silent = is_away
        case Way.BUSY:
            faults.status = 503 if is_away else 0


def _list_outside(
    objects: dict[Key, dict[str, typing.Any]],
) -> dict[Key, typing.Any]:
    """Return what the operator and the endpoints wrote."""
    return {
        key: stored["spec"]
        for key, stored in objects.items()
        if key[0] in (OPERATOR_KIND, ENDPOINT_KIND)
    }


def _schedule_rewrites(
    store: "wire_store.Store", newest: dict[Key, typing.Any], drill: Drill
) -> None:
    """Write again what the copy lacks, unless somebody has written since."""
    restored = _list_outside(store.objects)
    loop = asyncio.get_running_loop()
    for key in restored.keys() | newest.keys():
        if key in restored and restored[key] == newest.get(key):
            continue
        seconds = drill.removal_seconds
        if key in newest:
            seconds = (
                drill.operator_seconds
                if key[0] == OPERATOR_KIND
                else drill.endpoint_seconds
            )
        if seconds < math.inf:
            stored = store.objects.get(key)
            loop.call_later(
                seconds, _rewrite, store, key, stored, newest.get(key)
            )


def _rewrite(
    store: "wire_store.Store",
    key: Key,
    restored: dict[str, typing.Any] | None,
    spec: typing.Any,
) -> None:
    if store.objects.get(key) is not restored:
        return
    if spec is None:
        store.remove(*key)
    else:
        store.put(*key, spec)
