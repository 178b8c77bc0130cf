"""Answers of the store in which one object cannot be read."""

import contextlib
import json
import time

import hypothesis
import hypothesis.strategies
import pytest

from fescuestile import json_parts
from fescuestile import json_values
from fescuestile_platform import store

# Contents of an object between sound ones; lone surrogates are bytes that
# are not UTF-8.
READABLE_BORDERS = [
    '{"zone":"a\x01b"}',
    '{"zone":"\x00"}',
    '{"zone":"]}{[\x1f"}',
    '{"zone":"\\x"}',
    '{"zone":"\\u12"}',
    '{"zone":"\\ud800"}',
    '{"zone":"\\udc00\\ud800"}',
    '{"zone":"\udcff"}',
    '{"zo\x02ne":1}',
    '{"zone":NaN}',
    '{"zone":-Infinity}',
]
LOST_BORDERS = [
    '{"zone":"open}',
    '{"zone":"open\\"}',
    '{"zone":"open,{\\"meta\\":{\\"name\\"}',
    '{"zone":tru}',
    '{"zone":[1,2}',
    "{" * 50,
    '{"zone":' + "[" * 9000,
    '"',
    "]]}}",
    "",
]
SOUND = ['{"zone":"a"}', '{"zone":"\\ud83d\\ude00"}', '{"zone":"\u00e4"}']


def make_object(number, spec):
    """Return the text of an object."""
    meta = f'{{"name":"i-{number}","revision":{number + 1}}}'
    return f'{{"meta":{meta},"spec":{spec},"status":null}}'


def make_listing(objects):
    """Return the body of a listing of objects."""
    text = f'{{"items":[{",".join(objects)}],"truncated":false,"as_of":7}}'
    return text.encode("utf-8", "surrogateescape")


def decode(body):
    return json_parts.decode(body, store.LAYOUT)


def name_case(value):
    return ascii(value)[:30]


@pytest.mark.parametrize("place", [0, 1, 2])
@pytest.mark.parametrize(
    "spec", READABLE_BORDERS + LOST_BORDERS, ids=name_case
)
def test_an_unreadable_object_leaves_the_others_readable(spec, place):
    """Guards against a listing that one object makes unreadable."""
    objects = [make_object(number, SOUND[0]) for number in range(3)]
    objects[place] = make_object(place, spec)
    decoded = decode(make_listing(objects))
    assert not decoded.is_whole
    assert decoded.value["as_of"] == 7
    names = []
    for number, part in enumerate(decoded.value["items"]):
        plain, unreadable = json_values.take_unreadable(part)
        assert (unreadable is None) == (number != place and number < 3)
        names += [plain["meta"]["name"]] if plain else []
    assert names == ["i-0", "i-1", "i-2"]


def test_many_unreadable_objects_leave_the_others_readable():
    """Guards against a list that is given up for a few odd objects."""
    deep = [
        '{"zone":' + "[" * depth + "]" * depth + "}" for depth in (400, 9000)
    ]
    odd = [*READABLE_BORDERS, *LOST_BORDERS, *deep] * 5
    objects = []
    for number, spec in enumerate(odd):
        objects.append(make_object(number, SOUND[0]))
        objects.append(make_object(number + len(odd), spec))
    found = []
    for part in decode(make_listing(objects)).value["items"]:
        plain, unreadable = json_values.take_unreadable(part)
        if unreadable is None and plain["spec"] == {"zone": "a"}:
            found.append(plain["meta"]["name"])
    assert found == [f"i-{number}" for number in range(len(odd))]


@pytest.mark.parametrize("spec", LOST_BORDERS, ids=name_case)
def test_an_unreadable_object_keeps_its_name_and_revision(spec):
    """Guards against an object that can't be replaced on its revision."""
    body = make_object(4, spec).encode()
    found = store.decode_object(decode(body).value, is_whole=False)
    assert (found.name, found.revision) == ("i-4", 5)
    assert found.unreadable is not None


@pytest.mark.parametrize("spec", SOUND, ids=name_case)
def test_what_is_sound_is_decoded_exactly(spec):
    items = [make_object(1, spec), make_object(2, '{"a":[1.5,-0,1e3,true]}')]
    body = make_listing(items)
    assert decode(body) == json_values.Decoded(json.loads(body), True)


@pytest.mark.parametrize(
    "body",
    [b"", b"[1,", b'"a', b'"a\\', b'{"items":[1', b'{"items":[]', b"\xff"],
)
def test_an_answer_that_is_cut_is_refused(body):
    with pytest.raises(ValueError, match=r"(?i)expect|unterminated"):
        decode(body)


@pytest.mark.parametrize(
    "text",
    [
        '"' + '\\"' * 200_000,
        '{"zone":"' + '\\"' * 200_000,
        '{"meta":[' * 50_000,
        ('{"meta":[0,' + "1," * 200) * 500,
        '{"meta":[0,' * 500 + "1," * 100_000,
        '{"meta":["NaN",' * 500 + "1," * 100_000 + "NaN",
        make_object(1, '{"zone":"open}') * 2000,
    ],
    ids=name_case,
)
def test_much_that_is_unreadable_takes_little_time(text):
    """Guards against a search that grows with the square of the text.

    The bound is 40 times what as much sound text takes.
    """
    sound = [make_object(n, SOUND[0]) for n in range(len(text) // 60)]
    began = time.process_time()
    decode(make_listing(sound))
    limit = 40 * (time.process_time() - began) + 0.05
    began = time.process_time()
    decode(make_listing([make_object(0, SOUND[0]), text]))
    assert time.process_time() - began < limit


def test_a_list_within_the_content_is_not_taken_for_the_answer():
    spec = '{"items":[{"meta":1},{"meta":"open}]}'
    value = decode(make_object(1, spec).encode()).value
    assert "items" not in value
    assert value["meta"]["name"] == "i-1"


@hypothesis.example("0}]", 1)
@hypothesis.example('0}],"as_of":1}', 2)
@hypothesis.example('0}],"as_of":1},{"meta":1},', 0)
@hypothesis.settings(max_examples=300, deadline=None)
@hypothesis.given(
    hypothesis.strategies.text('"\\{}[],:0ntu \x00\x01\udcff', max_size=40),
    hypothesis.strategies.integers(0, 2),
)
def test_any_content_leaves_the_other_objects_as_they_are(spec, place):
    sound = make_object(7, SOUND[0])
    objects = [sound, sound]
    objects.insert(place, make_object(1, spec))
    text = make_listing(objects).decode("utf-8", "surrogateescape")
    decoded = decode(text.encode("utf-8", "surrogateescape"))
    assert decoded.value["as_of"] == 7
    items = decoded.value["items"]
    assert items.count(json.loads(sound)) == 2


PIECES = hypothesis.strategies.sampled_from(
    (
        *('{"items":[', '{"meta":', '"name":', "]", "}", '"', ",", "1", "\\"),
        *("[" * 2000, "]" * 2000, "9" * 5000, "NaN", "-Infinity"),
        '"\\ud800"',
    )
)


@hypothesis.settings(max_examples=300, deadline=None)
@hypothesis.given(
    hypothesis.strategies.lists(PIECES).map("".join).map(str.encode)
    | hypothesis.strategies.binary()
)
def test_any_bytes_are_decoded_or_refused(body):
    with contextlib.suppress(ValueError):
        json_values.take_unreadable(decode(body).value)
