"""TLS of a daemon's connections, with certificates reloaded on change.

Peers and operators are distinguished by the certificate authority (CA) that
signed their certificates, so a caller can use neither links nor operators'
calls. Open connections are kept when certificates change; new connections
use the new ones.
"""

import abc
import asyncio
import collections.abc
import pathlib
import ssl

import grpc
import structlog

from fescuestile import errors
from fescuestile_daemon import key_files
from fescuestile_daemon import settings
from fescuestile_daemon import tasks

log = structlog.get_logger(__name__)

CaSelector = collections.abc.Callable[[key_files.KeyFiles], bytes]
FileStamps = dict[pathlib.Path, tuple[int, int]]


class TransportSecurity(abc.ABC):
    """Transport security of listening ports and outgoing connections.

    :ivar link_server: context for accepted links, None for plain text
    :ivar link_client: context for dialed links
    :ivar endpoint_client: context for connections to endpoints
    :ivar platform_client: context for the connection to the platform
    """

    link_server: ssl.SSLContext | None = None
    link_client: ssl.SSLContext | None = None
    endpoint_client: ssl.SSLContext | None = None
    platform_client: ssl.SSLContext | None = None

    @abc.abstractmethod
    def add_caller_port(self, server: grpc.aio.Server, address: str) -> None:
        """Add a listening port for callers to a server.

        :raises: ConnectionLost when the address cannot be bound
        """

    @abc.abstractmethod
    def add_operator_port(self, server: grpc.aio.Server, address: str) -> None:
        """Add a listening port for operators to a server.

        :raises: ConnectionLost when the address cannot be bound
        """

    @abc.abstractmethod
    def start(self) -> None:
        """Start watching the files for changes."""

    @abc.abstractmethod
    async def close(self) -> None:
        """Stop watching the files."""


class PlainText(TransportSecurity):
    """Connections without TLS; has to be set explicitly."""

    def add_caller_port(self, server: grpc.aio.Server, address: str) -> None:
        """Add a port without TLS."""
        _add_port(server, address, None)

    def add_operator_port(self, server: grpc.aio.Server, address: str) -> None:
        """Add a port without TLS."""
        _add_port(server, address, None)

    def start(self) -> None:
        """Do nothing: there are no files to watch."""

    async def close(self) -> None:
        """Do nothing: there are no files to watch."""


class Tls(TransportSecurity):
    """TLS with the certificates named in the settings."""

    def __init__(self, options: settings.TlsOptions) -> None:
        """Load the certificates and keys.

        :raises: InvalidInput for an unusable file
        """
        self._options = options
        self._stamps = _read_stamps(options)
        self._files = key_files.read_files(options)
        self._tasks = tasks.TaskSet()
        self.link_server = _create_server_context()
        self.link_client = _create_client_context(check_address=False)
        self.endpoint_client = _create_client_context(check_address=True)
        self.platform_client = _create_client_context(check_address=True)
        self._load_contexts()

    def add_caller_port(self, server: grpc.aio.Server, address: str) -> None:
        """Add a TLS port that requests no client certificate of callers."""
        _add_port(server, address, self._make_credentials(None))

    def add_operator_port(self, server: grpc.aio.Server, address: str) -> None:
        """Add a TLS port that requires a certificate of the operators' CA."""
        _add_port(
            server,
            address,
            self._make_credentials(lambda files: files.operator_ca),
        )

    def start(self) -> None:
        """Start watching the files for changes."""
        self._tasks.spawn(self._watch_files())

    async def close(self) -> None:
        """Stop watching the files."""
        await self._tasks.close()

    def reload(self) -> bool:
        """Reload changed files; keep the current ones if any is unusable.

        :returns: whether new certificates are in use
        """
        stamps = _read_stamps(self._options)
        if stamps == self._stamps:
            return False
        self._stamps = stamps
        try:
            self._files = key_files.read_files(self._options)
        except errors.InvalidInput as error:
            log.error(
                "certificate reload failed, keeping the current certificates",
                error=str(error),
            )
            return False
        self._load_contexts()
        log.info("certificates reloaded")
        return True

    def _load_contexts(self) -> None:
        contexts = (
            (self.link_server, self._files.peer_ca),
            (self.link_client, self._files.peer_ca),
            (self.endpoint_client, self._files.endpoint_ca),
            (self.platform_client, self._files.platform_ca),
        )
        for context, ca in contexts:
            assert context is not None
            context.load_cert_chain(
                self._options.certificate_file, self._options.key_file
            )
            context.load_verify_locations(cadata=ca.decode("ascii"))

    def _make_credentials(
        self, select_ca: CaSelector | None
    ) -> grpc.ServerCredentials:
        """Return credentials that use the current files at each handshake.

        :param select_ca: selects the CA of client certificates, None
            to request no client certificate
        """

        def make() -> grpc.ServerCertificateConfiguration:
            files = self._files
            return grpc.ssl_server_certificate_configuration(
                [(files.key, files.certificate)],
                root_certificates=(select_ca(files) if select_ca else None),
            )

        return grpc.dynamic_ssl_server_credentials(
            make(),
            make,
            require_client_authentication=select_ca is not None,
        )

    async def _watch_files(self) -> None:
        while True:
            await asyncio.sleep(self._options.reload_interval)
            self.reload()


def create_security(options: settings.TlsOptions) -> TransportSecurity:
    """Create the transport security that the settings describe.

    :raises: InvalidInput for an unusable file
    """
    return PlainText() if options.plain_text else Tls(options)


def make_uri(address: str, context: ssl.SSLContext | None) -> str:
    """Return the websocket URI of an ``IP:port``."""
    scheme = "ws" if context is None else "wss"
    return f"{scheme}://{address}"


def _create_server_context() -> ssl.SSLContext:
    context = ssl.SSLContext(ssl.PROTOCOL_TLS_SERVER)
    context.verify_mode = ssl.CERT_REQUIRED
    return context


def _create_client_context(check_address: bool) -> ssl.SSLContext:
    """Return a context that requires a server certificate.

    :param check_address: the certificate must also name the IP. Not needed
        for daemons: they come and go, and their CA signs only daemons.
    """
    context = ssl.SSLContext(ssl.PROTOCOL_TLS_CLIENT)
    context.check_hostname = check_address
    return context


def _add_port(
    server: grpc.aio.Server,
    address: str,
    credentials: grpc.ServerCredentials | None,
) -> None:
    try:
        if credentials is None:
            server.add_insecure_port(address)
        else:
            server.add_secure_port(address, credentials)
    except RuntimeError as error:
        raise errors.ConnectionLost(
            message=str(error), step="listen", peer=address
        ) from error


def _read_stamps(options: settings.TlsOptions) -> FileStamps:
    """Return modification time and size of each file, 0 if missing."""
    stamps: FileStamps = {}
    for path in key_files.list_paths(options).values():
        try:
            found = path.stat()
            stamps[path] = (found.st_mtime_ns, found.st_size)
        except OSError:
            stamps[path] = (0, 0)
    return stamps
