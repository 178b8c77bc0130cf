"""Tests of the settings: samples, errors for invalid fields, fuzzing."""

import pathlib

from hypothesis import given
from hypothesis import settings as hypothesis_settings
from hypothesis import strategies
import pytest

from fescuestile import addresses
from fescuestile import errors
from fescuestile_daemon import settings
from fescuestile_daemon import units

SAMPLES = pathlib.Path(__file__).parents[2] / "samples"
ZONES = {
    "luftdienst": {"muenchen", "ingolstadt", "landshut"},
    "scaduto": {"etna-uno", "etna-due", "aretusa-tre"},
}
MINIMAL = """\
[daemon]
name = a
zone = z
ip = 127.0.1.1
caller_address = 127.0.1.1:1
link_address = 127.0.1.1:2
operator_address = 127.0.1.1:3
[platform]
addresses = 127.0.9.1:4
"""
PLAIN = "[tls]\nplain_text = yes\n"


def parse_invalid(text: str) -> errors.InvalidInput:
    if "[tls]" not in text:
        text = PLAIN + text
    return settings.parse_settings(text, "a.ini").error


def test_plain_text_has_to_be_set_explicitly():
    error = settings.parse_settings(MINIMAL, "a.ini").error
    assert (error.field, error.message) == ("tls", "the section is required")


@pytest.mark.parametrize("user", ZONES)
def test_samples_configure_four_daemons_in_the_users_zones(user):
    read = [
        settings.read_settings(path).ok
        for path in sorted((SAMPLES / user).glob("*.ini"))
    ]
    links = {one.daemon.link_address for one in read}
    assert len(links) == 4
    assert {one.daemon.zone for one in read} == ZONES[user]
    for one in read:
        assert set(one.peers.seeds) == links - {one.daemon.link_address}


def test_units_are_converted_to_seconds_and_bytes():
    text = (
        PLAIN
        + MINIMAL
        + (
            "timeout = 200ms\n[limits]\nrequest_bytes = 64KiB\n"
            "maximum_deadline = 1.5min\n"
            "[peers]\nseeds = 127.0.1.1:1,\n 127.0.1.2:1"
        )
    )
    read = settings.parse_settings(text).ok
    assert read.platform.timeout == pytest.approx(0.2)
    assert read.limits.request_bytes == 65536
    assert read.limits.maximum_deadline == 90.0
    assert read.peers.seeds == ("127.0.1.1:1", "127.0.1.2:1")


@pytest.mark.parametrize(
    ("extra", "field", "form"),
    [
        ("timeout = 200", "platform.timeout", units.DURATION_FORM),
        ("timeout = 3 fortnights", "platform.timeout", units.DURATION_FORM),
        ("timeout = 0s", "platform.timeout", "greater than 0"),
        ("color = red", "platform.color", "addresses, timeout"),
        ("[oddities]", "oddities", "daemon, platform"),
        ("[limits]\nsessions = no", "limits.sessions", "integer"),
        ("[limits]\nsessions = 0", "limits.sessions", "greater than 0"),
        ("[limits]\nrequest_bytes = 9", "limits.request_bytes", "64KiB"),
        ("[limits]\nanswer_bytes = 1kb", "limits.answer_bytes", "64KiB"),
        ("[limits]\nchunk_bytes = 0.3B", "limits.chunk_bytes", "whole"),
        ("[limits]\ndefault_deadline = 2h", "limits", "maximum_deadline"),
        ("[peers]\nseeds = host:1", "peers.seeds", addresses.ADDRESS_FORM),
        ("[peers]\nseeds = 127.0.0.1", "peers.seeds", addresses.ADDRESS_FORM),
        ("[peers]\nseeds = ::1:80", "peers.seeds", addresses.ADDRESS_FORM),
        ("[statsd]\nprefix = x", "statsd.address", "required"),
        ("[logging]\nformat = xml", "logging.format", "'json' or 'console'"),
        ("[platform]\n", "platform", "already exists"),
        ("timeout = 1s\ntimeout = 2s", "platform.timeout", "already exists"),
        ("nonsense", "", "not INI"),
        ("[tls]\nplain_text = maybe", "tls.plain_text", "boolean"),
        ("[tls]\nkey_file = k", "tls", "plain_text = yes, or also"),
        ("[tls]\nplain_text = yes\nkey_file = k", "tls", "excludes"),
    ],
)
def test_an_error_names_file_section_key_and_form(extra, field, form):
    error = parse_invalid(MINIMAL + extra)
    assert (error.peer, error.field) == ("a.ini", field)
    assert form in error.message


def test_a_host_name_is_not_an_ip():
    error = parse_invalid(MINIMAL.replace("ip = 127.0.1.1", "ip = localhost"))
    assert error.field == "daemon.ip"
    assert addresses.IP_FORM in error.message


def test_an_error_names_a_missing_file(tmp_path):
    error = settings.read_settings(tmp_path / "none.ini").error
    assert error.peer == str(tmp_path / "none.ini")


@hypothesis_settings(derandomize=True, max_examples=300)
@given(strategies.text(alphabet="[]=:%;#\n abc01.ms\0\x85é", max_size=60))
def test_any_text_gives_settings_or_an_error(text):
    for candidate in (text, PLAIN + MINIMAL + text):
        result = settings.parse_settings(candidate)
        assert result.is_ok() or result.error.step == settings.STEP
