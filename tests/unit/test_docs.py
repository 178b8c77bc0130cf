"""Tests that the docs name what the code has."""

import pathlib
import re

import pydantic

from fescuestile_daemon import metric_names
from fescuestile_daemon import settings

ROOT = pathlib.Path(__file__).parents[2]
DOCS = ROOT / "docs"
FIRST_CELL = re.compile(r"^\| (`[^|]+`) \|", re.MULTILINE)
NAME = re.compile(r"`([^`]+)`")
LINK = re.compile(r"\]\(([^)#:]+)\)")


def read_first_cells(page: str) -> set[str]:
    text = (DOCS / "user" / page).read_text()
    cells = FIRST_CELL.findall(text)
    return {name for cell in cells for name in NAME.findall(cell)}


def test_the_reference_names_each_setting():
    expected = {
        f"{section}.{key}"
        for section, options in settings.OPTIONS_BY_SECTION.items()
        for key in options.model_fields
    }
    assert read_first_cells("settings.md") == expected


def test_the_reference_gives_the_defaults():
    text = (DOCS / "user" / "settings.md").read_text()
    rows = dict(re.findall(r"^\| `(\S+)` \| `([^`]+)` \|", text, re.M))
    for section, options in settings.OPTIONS_BY_SECTION.items():
        for key, field in options.model_fields.items():
            shown = rows.get(f"{section}.{key}")
            if shown is None or shown in options.model_fields:
                continue
            checked = pydantic.TypeAdapter(field.rebuild_annotation())
            assert checked.validate_python(shown) == field.default, key


def test_the_page_names_each_metric():
    timings = {
        f"{name}.{suffix}"
        for name in metric_names.TIMINGS
        for suffix in ("p50", "p99", "max", "count")
    }
    names = {*metric_names.COUNTERS, *metric_names.GAUGES, *timings}
    assert read_first_cells("metrics.md") == names


def test_links_between_pages_lead_somewhere():
    for page in (*DOCS.rglob("*.md"), ROOT / "README.md"):
        for target in LINK.findall(page.read_text()):
            assert (page.parent / target).exists(), f"{page.name}: {target}"
