"""A short seeded soak with real processes."""

import pytest

from soak import __main__ as soak

pytestmark = pytest.mark.alone


def read_failed_seeds():
    lines = soak.FAILED_SEEDS.read_text(encoding="utf-8").splitlines()
    rows = [line for line in lines if line and not line.startswith("#")]
    return [int(row.split("|")[0]) for row in rows]


@pytest.mark.parametrize("seed", [1, *read_failed_seeds()])
async def test_seed_violates_no_guarantee(seed, tmp_path):
    result = await soak.run_seed(seed, 8.0, 3, tmp_path)
    assert result["broken"] == []
    assert result["outcomes"]["read done"] > 50
