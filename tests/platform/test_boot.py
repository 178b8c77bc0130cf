"""Settings files that can't be read."""

import pytest

from fescuestile_platform import boot


@pytest.mark.parametrize(
    "text",
    ["node: [", "[" * 5000, "\x00", "node: " + "9" * 5000, "", "node: x"],
    ids=["open", "deep", "byte", "number", "empty", "incomplete"],
)
def test_a_malformed_file_is_refused(tmp_path, text):
    """Guards against a reload that ends in an unexpected error."""
    path = tmp_path / "settings.yaml"
    path.write_text(text)
    with pytest.raises(ValueError, match=r"expected YAML|error|limit"):
        boot.read_settings(str(path))


@pytest.mark.parametrize(
    ("limits", "weight"),
    [
        ("", 1.0),
        ("limits: {cores: 4, cpu_share: 0.125}", 0.5),
        ("limits: {cpu_share: 0.5}", 0.5),
        ("limits: {cores: .nan, cpu_share: many}", 1.0),
    ],
)
def test_the_weight_is_the_share_of_the_cores(tmp_path, limits, weight):
    """Guards against limits of another form that prevent a start."""
    path = tmp_path / "settings.yaml"
    path.write_text(
        "node: n\nip: 10.0.0.1\nzone: a\nlisten: {front: x, ready: y}\n"
        f"platform: {{address: x}}\ncloud: {{address: x}}\n{limits}\n"
    )
    assert boot.read_settings(str(path)).limits.weight == weight
