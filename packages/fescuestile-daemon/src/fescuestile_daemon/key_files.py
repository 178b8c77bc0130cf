"""Loads the TLS certificates and keys named in the settings."""

import dataclasses
import pathlib
import ssl

from fescuestile import errors
from fescuestile_daemon import settings

STEP = "read keys"


@dataclasses.dataclass(frozen=True)
class KeyFiles:
    """Contents of all TLS files, in PEM."""

    certificate: bytes
    key: bytes
    peer_ca: bytes
    operator_ca: bytes
    endpoint_ca: bytes
    platform_ca: bytes


def list_paths(options: settings.TlsOptions) -> dict[str, pathlib.Path]:
    """Return the paths of the configured files by settings key."""
    named = {key: getattr(options, key) for key in settings.TLS_FILE_KEYS}
    return {key: pathlib.Path(path) for key, path in named.items() if path}


def read_files(options: settings.TlsOptions) -> KeyFiles:
    """Read and validate all files.

    :raises: InvalidInput that names the settings key of an unusable file
    """
    content = {
        key: _read_file(key, path) for key, path in list_paths(options).items()
    }
    files = KeyFiles(
        **{key.removesuffix("_file"): data for key, data in content.items()}
    )
    _check_key_pair(options)
    for key, data in content.items():
        if key.endswith("_ca_file"):
            _check_ca(key, data)
    return files


def _read_file(key: str, path: pathlib.Path) -> bytes:
    try:
        return path.read_bytes()
    except OSError as error:
        raise _make_error(key, f"cannot read {path}: {error}") from error


def _check_key_pair(options: settings.TlsOptions) -> None:
    context = ssl.SSLContext(ssl.PROTOCOL_TLS_SERVER)
    try:
        context.load_cert_chain(options.certificate_file, options.key_file)
    except (ssl.SSLError, OSError) as error:
        message = (
            "expected a certificate and its private key in "
            f"{options.certificate_file} and {options.key_file}: {error}"
        )
        raise _make_error("certificate_file", message) from error


def _check_ca(key: str, data: bytes) -> None:
    context = ssl.SSLContext(ssl.PROTOCOL_TLS_CLIENT)
    try:
        context.load_verify_locations(cadata=data.decode("ascii"))
    except (ssl.SSLError, ValueError) as error:
        raise _make_error(
            key, f"expected CA certificates in PEM: {error}"
        ) from error


def _make_error(key: str, message: str) -> errors.InvalidInput:
    return errors.InvalidInput(message=message, step=STEP, field=f"tls.{key}")
