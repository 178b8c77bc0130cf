"""JSON in which one odd value stands among others."""

import pytest

from fescuestile import json_values

DEEP = "[" * 5000 + "]" * 5000
DIGITS = "9" * 5000
RAW_FIELDS = [
    ("zone", DEEP),
    ("other", DEEP),
    ("other", '{"a":' * 5000 + "1" + "}" * 5000),
    ("slots", DIGITS),
    ("other", DIGITS),
    ("born", "-" + DIGITS),
]


def name_case(value):
    return str(value)[:30]


@pytest.mark.parametrize(("field", "text"), RAW_FIELDS, ids=name_case)
def test_an_odd_value_leaves_the_rest_readable(field, text):
    """Guards against a listing that one value makes unreadable."""
    body = f'{{"items": [{{"{field}": {text}}}, {{"zone": "[\\"{{"}}]}}'
    odd, sound = json_values.decode(body.encode()).value["items"]
    assert sound == {"zone": '["{'}
    assert not isinstance(odd[field], int)


@pytest.mark.parametrize(
    "body", [b"", b"[1,", b'{"a" 1}', b"\xff", b"[" * 9999]
)
def test_what_is_not_json_is_refused(body):
    with pytest.raises(ValueError, match=r"(?i)expect"):
        json_values.decode(body)


def test_bytes_that_are_no_text_leave_the_rest_readable():
    decoded = json_values.decode(b'["\xff", 1, true, 1.5, null]')
    assert decoded.value[1:] == [1, True, 1.5, None]
