"""What a daemon on the platform imports before it serves."""

import subprocess
import sys

# Libraries and modules of other borders, or of pages that are seldom asked
# for. A start on a small host takes as long as its imports.
UNUSED = (
    "argparse",
    "cbor2",
    "cryptography",
    "fescuestile.codec",
    "fescuestile.configuration_checks",
    "fescuestile.gossip",
    "fescuestile_platform.command",
    "grpc",
    "google.protobuf",
    "pykka",
    "prometheus_client",
    "websockets",
)
LIST_MODULES = """
import sys
import fescuestile_platform.__main__
print(*sys.modules)
"""


def test_a_start_imports_nothing_that_it_does_not_use():
    """Guards against slow starts after a loss of power."""
    output = subprocess.run(
        [sys.executable, "-c", LIST_MODULES],
        capture_output=True,
        check=True,
        text=True,
    ).stdout
    assert sorted(set(output.split()) & set(UNUSED)) == []
