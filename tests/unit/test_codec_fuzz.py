"""Fuzz tests of all codecs, which are found by importing all modules."""

import importlib
import pkgutil

import cbor2
from hypothesis import given
from hypothesis import settings
from hypothesis import strategies
import pytest

from fescuestile import codec

PACKAGES = (
    "fescuestile",
    "fescuestile_api",
    "fescuestile_cli",
    "fescuestile_client",
    "fescuestile_daemon",
    "fescuestile_standins",
)


def find_codecs() -> dict[str, codec.Codec]:
    """Return each module-level codec by its module's name."""
    found: dict[int, tuple[str, codec.Codec]] = {}
    for package in PACKAGES:
        root = importlib.import_module(package)
        for info in pkgutil.walk_packages(root.__path__, package + "."):
            if info.name.endswith("__main__"):
                continue
            module = importlib.import_module(info.name)
            for value in vars(module).values():
                if isinstance(value, codec.Codec):
                    found.setdefault(id(value), (info.name, value))
    return dict(found.values())


CODECS = find_codecs()
SCALARS = (
    strategies.none()
    | strategies.booleans()
    | strategies.integers(-(2**64), 2**64)
    | strategies.floats()
    | strategies.text(max_size=8)
    | strategies.binary(max_size=8)
)
VALUES = strategies.recursive(
    SCALARS,
    lambda inner: (
        strategies.lists(inner, max_size=4)
        | strategies.dictionaries(strategies.text(max_size=8), inner)
    ),
    max_leaves=8,
)


def check(result, peer: str) -> None:
    assert result.is_ok() or (
        result.error.step == codec.STEP
        and result.error.peer == peer
        and result.error.field
    )


@pytest.mark.parametrize("name", CODECS)
@settings(derandomize=True, max_examples=200, deadline=None)
@given(data=strategies.data())
def test_any_frame_gives_a_message_or_an_error(name, data):
    frames = CODECS[name]
    check(frames.decode(data.draw(strategies.binary(max_size=64)), "p"), "p")
    tag = data.draw(strategies.sampled_from(sorted(frames._adapters)))
    body = data.draw(VALUES)
    check(frames.decode(cbor2.dumps([tag, body]), "p"), "p")
    check(frames.decode(cbor2.dumps(body), "p"), "p")


@pytest.mark.parametrize("name", CODECS)
def test_hostile_frames_are_refused(name):
    frames = CODECS[name]
    hostile = (
        b"",
        b"\x81" * 100_000,
        b"\x9b" + b"\xff" * 8,
        b"\x5b\x7f" + b"\xff" * 7,
        bytes.fromhex("d81c82" + "6454727565" + "d81d00"),
        b"\0" * (codec.MAX_FRAME_BYTES + 1),
        cbor2.dumps(["x" * 100_000, {}]),
    )
    for frame in hostile:
        fault = frames.decode(frame, "p").error
        assert fault.field in ("frame", "tag")
        assert len(fault.message) < 500
