"""Plan files: one database group in INI.

The section ``[database]`` names the database. Each ``[rank NAME]``,
``[kind NAME]`` and ``[endpoint NAME]`` section is one rank, kind or
endpoint; ranks stand in order of urgency, the most urgent first.
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


class _Fault(Exception):
    """What is wrong with a plan file, and where."""

    def __init__(self, field: str, message: str) -> None:
        super().__init__(message)
        self.field = field
        self.message = message


def read_plan(
    path: str | pathlib.Path,
) -> expression.Result[pb.Plan, errors.InvalidInput]:
    """Read and check a plan file.

    :param path: the INI file
    :returns: the plan's message, or an error that names file, section and
        key (``section.key``)
    """
    parser = configparser.ConfigParser(interpolation=None, default_section="")
    try:
        text = pathlib.Path(path).read_text(encoding="utf-8")
        parser.read_string(text, source=str(path))
        plan = _build(parser)
    except (OSError, UnicodeDecodeError) as error:
        return _refuse(path, "", f"cannot read the file: {error}")
    except configparser.Error as error:
        return _refuse(path, "", f"not INI: {error.message}")
    except _Fault as fault:
        return _refuse(path, fault.field, fault.message)
    checked = models.read_plan(plan)
    if checked.is_error():
        return _refuse(path, checked.error.field, checked.error.message)
    return expression.Ok(plan)


def _build(parser: configparser.ConfigParser) -> pb.Plan:
    if not parser.has_section("database"):
        raise _Fault("database", "the section is required")
    plan = pb.Plan()
    for title in parser.sections():
        sort, _, name = title.partition(" ")
        section = parser[title]
        _check_keys(title, sort, section)
        match sort:
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
        raise _Fault(f"{title}.floor", "expected a share, as 0.1") from None
    return pb.Rank(name=name, floor=floor)


def _build_kind(title: str, name: str, section: Section) -> pb.Kind:
    text = section.get("staleness", "0ms")
    found = _DURATION.fullmatch(text)
    if found is None:
        raise _Fault(
            f"{title}.staleness",
            f"expected a duration such as 200ms, 5s or 1min, got {text!r}",
        )
    milliseconds = int(found[1]) * MILLISECONDS_BY_UNIT[found[2]]
    return pb.Kind(name=name, rank=section["rank"], staleness_ms=milliseconds)


def _build_endpoint(title: str, name: str, section: Section) -> pb.Endpoint:
    readable = section.get("readable", "yes").lower()
    if readable not in BOOLEANS:
        raise _Fault(f"{title}.readable", "expected yes or no")
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
        raise _Fault(f"{title}.{key}", f"expected a number, got {text!r}")
    return int(text)


def _check_keys(title: str, sort: str, section: Section) -> None:
    allowed = KEYS_BY_SECTION.get(sort)
    if allowed is None:
        known = ", ".join(KEYS_BY_SECTION)
        raise _Fault(title, f"unknown section; the sections are {known}")
    for key in section:
        if key not in allowed:
            keys = ", ".join(sorted(allowed))
            raise _Fault(f"{title}.{key}", f"unknown key; known: {keys}")
    for key in sorted(allowed - OPTIONAL_KEYS):
        if key not in section:
            raise _Fault(f"{title}.{key}", "the key is required")


def _refuse(
    path: str | pathlib.Path, field: str, message: str
) -> expression.Result[pb.Plan, errors.InvalidInput]:
    return expression.Error(
        errors.InvalidInput(message, STEP, str(path), field)
    )
