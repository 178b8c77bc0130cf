"""TLS configuration of the stand-ins."""

import dataclasses
import ssl


@dataclasses.dataclass(frozen=True)
class TlsFiles:
    """Paths of files in PEM format.

    :ivar certificate: certificate chain
    :ivar key: private key of the certificate
    :ivar authority: certificates of the authorities that are trusted to
        sign the peer's certificate
    """

    certificate: str
    key: str
    authority: str


def create_server_context(files: TlsFiles | None) -> ssl.SSLContext | None:
    """Return a server context that requires client certificates.

    :param files: None for plain text
    """
    return _create_context(files, ssl.PROTOCOL_TLS_SERVER)


def create_client_context(files: TlsFiles | None) -> ssl.SSLContext | None:
    """Return a client context, None for plain text."""
    return _create_context(files, ssl.PROTOCOL_TLS_CLIENT)


def make_uri(address: str, files: TlsFiles | None) -> str:
    """Return the websocket URI of an ``IP:port``."""
    return f"{'ws' if files is None else 'wss'}://{address}"


def parse_files(text: str) -> TlsFiles | None:
    """Return the files of ``CERTIFICATE,KEY,AUTHORITY``, None for ``""``.

    :raises ValueError: the text does not name three files
    """
    if not text:
        return None
    certificate, key, authority = text.split(",")
    return TlsFiles(certificate, key, authority)


def _create_context(
    files: TlsFiles | None, protocol: int
) -> ssl.SSLContext | None:
    if files is None:
        return None
    context = ssl.SSLContext(protocol)
    context.verify_mode = ssl.CERT_REQUIRED
    context.load_cert_chain(files.certificate, files.key)
    context.load_verify_locations(files.authority)
    return context
