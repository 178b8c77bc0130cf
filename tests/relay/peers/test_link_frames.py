"""Frames of links between daemons are read as they were written."""

import contextlib
import itertools

import cbor2
import hypothesis
from hypothesis import strategies
import pytest

from fescuestile_daemon.relay.peers import link_frames

Kind = link_frames.Kind
BODIES = strategies.dictionaries(
    strategies.text(max_size=8),
    strategies.integers(-(2**60), 2**60)
    | strategies.text(max_size=50)
    | strategies.binary(max_size=50)
    | strategies.none(),
    max_size=5,
)
FRAMES = strategies.lists(
    strategies.tuples(
        strategies.sampled_from(Kind),
        strategies.integers(0, link_frames.MAX_NUMBER - 1),
        BODIES,
    ),
    max_size=5,
)


def feed(reader, stream, cuts):
    """Feed a stream in pieces that end at the cuts."""
    edges = [0, *sorted(cut % (len(stream) + 1) for cut in cuts), len(stream)]
    return [
        frame
        for start, end in itertools.pairwise(edges)
        for frame in reader.feed(stream[start:end])
    ]


@hypothesis.given(FRAMES, strategies.lists(strategies.integers(0, 2000)))
def test_frames_survive_any_division_of_the_stream(frames, cuts):
    """Guards against answers that get lost or mixed at packet borders."""
    stream = b"".join(link_frames.encode(*frame) for frame in frames)
    reader = link_frames.FrameReader()
    read = feed(reader, stream, cuts)
    assert [frame[:3] for frame in read] == frames
    assert reader.buffered == 0


@hypothesis.given(
    strategies.binary(max_size=300), strategies.lists(strategies.integers(0))
)
@hypothesis.example(b"\x00\x00\x00\x00", [])
@hypothesis.example(b"\x00\x00\x00\x02\x81\x81", [])
@hypothesis.example(b"\x00\x00\x00\x03\x83\x01\x02", [])
def test_any_bytes_are_read_or_refused(stream, cuts):
    """Guards against an unexpected error, which would leave a link hanging."""
    with contextlib.suppress(link_frames.MalformedFrame):
        feed(link_frames.FrameReader(), stream, cuts)


@pytest.mark.parametrize(
    "content",
    [
        [1, 2],
        [99, 1, {}],
        [True, 1, {}],
        [1, -1, {}],
        [1, 2**63, {}],
        [1, 1, {7: 1}],
        [1, 1, []],
        {"kind": 1},
    ],
    ids=str,
)
def test_frames_of_another_form_are_refused(content):
    """Guards against bodies on which a handler would fail."""
    with pytest.raises(link_frames.MalformedFrame):
        link_frames.decode(cbor2.dumps(content))


def test_a_frame_over_the_limit_is_refused_by_its_length():
    """Guards against a reader that buffers whatever length is announced."""
    reader = link_frames.FrameReader()
    announced = (link_frames.MAX_FRAME_BYTES + 1).to_bytes(4, "big")
    with pytest.raises(link_frames.MalformedFrame):
        list(reader.feed(announced))
    with pytest.raises(link_frames.MalformedFrame):
        link_frames.encode(
            Kind.REQUEST, 1, {"text": "x" * link_frames.MAX_FRAME_BYTES}
        )


def test_a_statement_of_the_longest_form_fits():
    """Guards against a legal statement that no gateway can be asked for."""
    text = "x" * 1024 * 1024
    stream = link_frames.encode(Kind.REQUEST, 1, {"text": text, "args": text})
    (frame,) = link_frames.FrameReader().feed(stream)
    assert frame.body["text"] == text


def test_a_body_that_is_not_encodable_is_refused():
    """Guards against an error of the library that callers don't expect."""
    with pytest.raises(link_frames.MalformedFrame):
        link_frames.encode(Kind.REQUEST, 1, {"odd": object()})
