"""Plan files: the plan of one database group in INI format.

The section ``[database]`` names the database. Each ``[rank NAME]``,
``[kind NAME]`` and ``[endpoint NAME]`` section declares one rank, kind or
endpoint. Ranks are listed by urgency, the most urgent first.
"""

import collections.abc
import configparser
import pathlib
import re

import expression

from fescuestile import errors
from fescuestile_api import fescuestile_pb2 as pb
from fescuestile_api import models

STEP = "read plan"
MILLISECONDS_BY_UNIT = {"ms": 1, "s": 1000, "min": 60_000}
KEYS_BY_SECTION = {
    "database": {"name"},
    "rank": {"floor"},
    "kind": {"rank", "staleness"},
    "endpoint": {"zone", "address", "slots", "connections", "readable"},
}
OPTIONAL_KEYS = {"floor", "staleness", "readable"}
BOOLEANS = {"yes": True, "true": True, "no": False, "false": False}

_DURATION = re.compile(r"([0-9]+) ?(ms|s|min)", re.ASCII)

Section = collections.abc.Mapping[str, str]


class _FieldError(Exception):
    """Invalid section or key of a plan file.

    :ivar field: ``section`` or ``section.key``
    """

    def __init__(self, field: str, message: str) -> None:
        super().__init__(message)
        self.field = field
        self.message = message


def read_plan(
    path: str | pathlib.Path,
) -> expression.Result[pb.Plan, errors.InvalidInput]:
    """Read and validate a plan file.

    :param path: path of the INI file
    :returns: the plan's message, or an error whose peer is the path and
        whose field is ``section.key``
    """
    parser = configparser.ConfigParser(interpolation=None, default_section="")
    try:
        text = pathlib.Path(path).read_text(encoding="utf-8")
        parser.read_string(text, source=str(path))
        plan = _build_plan(parser)
    except (OSError, UnicodeDecodeError) as error:
        return _build_error(path, "", f"cannot read the file: {error}")
    except configparser.Error as error:
        return _build_error(path, "", f"not a valid INI file: {error.message}")
    except _FieldError as error:
        return _build_error(path, error.field, error.message)
    decoded = models.decode_plan(plan)
    if decoded.is_error():
        return _build_error(path, decoded.error.field, decoded.error.message)
    return expression.Ok(plan)


def _build_plan(parser: configparser.ConfigParser) -> pb.Plan:
    if not parser.has_section("database"):
        raise _FieldError("database", "the section is required")
    plan = pb.Plan()
    for title in parser.sections():
        section_type, _, name = title.partition(" ")
        section = parser[title]
        _check_keys(title, section_type, section)
        match section_type:
            case "database":
                plan.database = section["name"]
            case "rank":
                plan.ranks.append(_build_rank(title, name, section))
            case "kind":
                plan.kinds.append(_build_kind(title, name, section))
            case "endpoint":
                plan.endpoints.append(_build_endpoint(title, name, section))
    return plan


def _build_rank(title: str, name: str, section: Section) -> pb.Rank:
    try:
        floor = float(section.get("floor", "0"))
    except ValueError:
        raise _FieldError(
            f"{title}.floor", "expected a share such as 0.1"
        ) from None
    return pb.Rank(name=name, floor=floor)


def _build_kind(title: str, name: str, section: Section) -> pb.Kind:
    text = section.get("staleness", "0ms")
    matched = _DURATION.fullmatch(text)
    if matched is None:
        raise _FieldError(
            f"{title}.staleness",
            f"expected a duration such as 200ms, 5s or 1min, got {text!r}",
        )
    milliseconds = int(matched[1]) * MILLISECONDS_BY_UNIT[matched[2]]
    return pb.Kind(name=name, rank=section["rank"], staleness_ms=milliseconds)


def _build_endpoint(title: str, name: str, section: Section) -> pb.Endpoint:
    readable = section.get("readable", "yes").lower()
    if readable not in BOOLEANS:
        raise _FieldError(f"{title}.readable", "expected yes or no")
    return pb.Endpoint(
        name=name,
        zone=section["zone"],
        address=section["address"],
        slots=_read_count(title, "slots", section),
        connections=_read_count(title, "connections", section),
        readable=BOOLEANS[readable],
    )


def _read_count(title: str, key: str, section: Section) -> int:
    text = section[key]
    if not (text.isascii() and text.isdigit() and int(text) < 2**31):
        raise _FieldError(f"{title}.{key}", f"expected a number, got {text!r}")
    return int(text)


def _check_keys(title: str, section_type: str, section: Section) -> None:
    allowed = KEYS_BY_SECTION.get(section_type)
    if allowed is None:
        known = ", ".join(KEYS_BY_SECTION)
        raise _FieldError(title, f"unknown section; the sections are {known}")
    for key in section:
        if key not in allowed:
            keys = ", ".join(sorted(allowed))
            raise _FieldError(
                f"{title}.{key}", f"unknown key; the keys are {keys}"
            )
    for key in sorted(allowed - OPTIONAL_KEYS):
        if key not in section:
            raise _FieldError(f"{title}.{key}", "the key is required")


def _build_error(
    path: str | pathlib.Path, field: str, message: str
) -> expression.Result[pb.Plan, errors.InvalidInput]:
    return expression.Error(
        errors.InvalidInput(message, STEP, str(path), field)
    )
