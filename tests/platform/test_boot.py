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
