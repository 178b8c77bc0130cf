"""Certificates and keys, read from the files that the settings name."""

import dataclasses
import pathlib
import ssl

from fescuestile import errors
from fescuestile_daemon import settings

STEP = "read keys"


@dataclasses.dataclass(frozen=True)
class KeyFiles:
    """Content of all files, in PEM."""

    certificate: bytes
    key: bytes
    peer_ca: bytes
    operator_ca: bytes
    endpoint_ca: bytes
    platform_ca: bytes


def list_paths(options: settings.TlsOptions) -> dict[str, pathlib.Path]:
    """Return the named files by their key in the settings."""
    named = {key: getattr(options, key) for key in settings.TLS_FILE_KEYS}
    return {key: pathlib.Path(path) for key, path in named.items() if path}


def read_files(options: settings.TlsOptions) -> KeyFiles:
    """Read and check all files.

    :raises: InvalidInput that names the key of a file that does not do
    """
    content = {
        key: _read_file(key, path) for key, path in list_paths(options).items()
    }
    files = KeyFiles(
        **{key.removesuffix("_file"): data for key, data in content.items()}
    )
    _check_pair(options)
    for key, data in content.items():
        if key.endswith("_ca_file"):
            _check_authority(key, data)
    return files


def _read_file(key: str, path: pathlib.Path) -> bytes:
    try:
        return path.read_bytes()
    except OSError as error:
        raise _refuse(key, f"cannot read {path}: {error}") from error


def _check_pair(options: settings.TlsOptions) -> None:
    context = ssl.SSLContext(ssl.PROTOCOL_TLS_SERVER)
    try:
        context.load_cert_chain(options.certificate_file, options.key_file)
    except (ssl.SSLError, OSError) as error:
        message = (
            f"{options.certificate_file} and {options.key_file} "
            f"are no certificate and its key: {error}"
        )
        raise _refuse("certificate_file", message) from error


def _check_authority(key: str, data: bytes) -> None:
    context = ssl.SSLContext(ssl.PROTOCOL_TLS_CLIENT)
    try:
        context.load_verify_locations(cadata=data.decode("ascii"))
    except (ssl.SSLError, ValueError) as error:
        raise _refuse(key, f"no certificate in PEM: {error}") from error


def _refuse(key: str, message: str) -> errors.InvalidInput:
    return errors.InvalidInput(message=message, step=STEP, field=f"tls.{key}")
