"""Test that the committed generated code matches the schema."""

import pathlib

from grpc_tools import protoc
import pytest

import fescuestile_api

PACKAGE = pathlib.Path(fescuestile_api.__file__).parent
GENERATED = (
    "fescuestile_pb2.py",
    "fescuestile_pb2.pyi",
    "fescuestile_pb2_grpc.py",
)


@pytest.mark.parametrize("name", GENERATED)
def test_generated_code_matches_the_schema(name, tmp_path):
    status = protoc.main(
        [
            "protoc",
            f"-I{PACKAGE.parent}",
            f"--python_out={tmp_path}",
            f"--pyi_out={tmp_path}",
            f"--grpc_python_out={tmp_path}",
            str(PACKAGE / "fescuestile.proto"),
        ]
    )
    assert status == 0
    fresh = tmp_path / PACKAGE.name / name
    assert (PACKAGE / name).read_text() == fresh.read_text()
