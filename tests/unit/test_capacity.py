"""Tests that the capacity page is computed from the recorded slopes."""

import dataclasses

import pytest

from measurements import capacity
from measurements import capacity_lines
from measurements import capacity_page
from measurements import capacity_roles
from measurements import registry
from measurements import slope_file
from measurements import slopes

RECORDED = slope_file.read()
PAGE = capacity.PAGE.read_text(encoding="utf-8")


def scale(recorded, name, factor):
    """Return recorded slopes with one scaled by a factor."""
    changed = slope_file.SlopeFile(recorded.slopes_by_name.values())
    slope = recorded.slopes_by_name[name]
    fits = tuple(
        dataclasses.replace(
            fit, slope=fit.slope * factor, intercept=fit.intercept * factor
        )
        for fit in slope.fits
    )
    changed.put(dataclasses.replace(slope, fits=fits))
    return changed


def test_the_page_matches_the_recorded_slopes():
    assert capacity_page.read_tables(PAGE) == capacity_page.render(RECORDED)


@pytest.mark.parametrize("name", sorted(RECORDED.slopes_by_name))
def test_each_fit_is_reproduced_from_its_points(name):
    slope = RECORDED.slopes_by_name[name]
    assert name in registry.find_measurements()
    assert slope.command == f"python -m measurements run {name} --seed 1"
    for fit in slope.fits:
        points = [p for p in slope.points if p.quantity == fit.quantity]
        assert len({point.size for point in points}) >= 4
        refitted = slopes.fit_line(
            fit.quantity,
            [point.size for point in points],
            [point.value for point in points],
            fit.logarithmic,
        )
        assert refitted.slope == pytest.approx(fit.slope, rel=1e-6, abs=1e-9)
        assert refitted.residual == pytest.approx(fit.residual, abs=1e-6)


@pytest.mark.parametrize("name", sorted(RECORDED.slopes_by_name))
def test_a_steeper_slope_changes_the_page(name):
    tables = capacity_page.render(scale(RECORDED, name, 2))
    assert tables != capacity_page.read_tables(PAGE)


def test_every_role_has_lines_and_each_line_over_budget_has_a_remedy():
    lines = capacity_page.list_lines(RECORDED)
    assert {line.role for line in lines} == set(capacity_lines.ROLES)
    for line in lines:
        assert line.basis
        assert line.mechanism
        assert line.verdict != "OVER" or line.remedy, line.figure


def test_a_line_over_its_budget_is_printed_as_over():
    steep = scale(RECORDED, "slope_groups", 1000)
    lines = capacity_roles.list_lines(steep)
    over = {line.figure for line in lines if line.verdict == "OVER"}
    assert "processor for changed members" in over


def test_a_line_is_fitted_with_its_residual():
    fit = slopes.fit_line("x", [1, 2, 3, 4], [3, 5, 7, 10])
    assert fit.slope == pytest.approx(2.3)
    assert fit.predict(0) == pytest.approx(0.5)
    assert 0 < fit.residual < 0.1
    exact = slopes.fit_line("x", [1, 2, 4, 8], [1, 2, 3, 4], logarithmic=True)
    assert exact.predict(16) == pytest.approx(5)
