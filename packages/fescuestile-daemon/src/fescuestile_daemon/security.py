"""TLS of a daemon's connections, with keys that are read again on change.

Peers and operators are told apart by the authority that signed their
certificates, so a caller reaches neither links nor operators' calls. Open
connections stay open when keys change; new ones use the new keys.
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

FindAuthority = collections.abc.Callable[[key_files.KeyFiles], bytes]
Stamps = dict[pathlib.Path, tuple[int, int]]


class Security(abc.ABC):
    """How a daemon listens and connects.

    :ivar link_server: context for links accepted, None for plain text
    :ivar link_client: context for links dialed
    :ivar endpoint_client: context for connections to endpoints
    :ivar platform_client: context for the connection to the platform
    """

    link_server: ssl.SSLContext | None = None
    link_client: ssl.SSLContext | None = None
    endpoint_client: ssl.SSLContext | None = None
    platform_client: ssl.SSLContext | None = None

    @abc.abstractmethod
    def add_caller_port(self, server: grpc.aio.Server, address: str) -> None:
        """Let a server listen for callers.

        :raises: ConnectionLost when the address can't be had
        """

    @abc.abstractmethod
    def add_operator_port(self, server: grpc.aio.Server, address: str) -> None:
        """Let a server listen for operators.

        :raises: ConnectionLost when the address can't be had
        """

    @abc.abstractmethod
    def start(self) -> None:
        """Begin to follow changes of the files."""

    @abc.abstractmethod
    async def close(self) -> None:
        """Stop to follow changes."""


class PlainText(Security):
    """No TLS, by explicit setting."""

    def add_caller_port(self, server: grpc.aio.Server, address: str) -> None:
        """Listen in plain text."""
        _add_port(server, address, None)

    def add_operator_port(self, server: grpc.aio.Server, address: str) -> None:
        """Listen in plain text."""
        _add_port(server, address, None)

    def start(self) -> None:
        """Do nothing."""

    async def close(self) -> None:
        """Do nothing."""


class Tls(Security):
    """TLS with the keys of the settings."""

    def __init__(self, options: settings.TlsOptions) -> None:
        """Read the keys.

        :raises: InvalidInput for a file that does not do
        """
        self._options = options
        self._stamps = _stamp(options)
        self._files = key_files.read_files(options)
        self._tasks = tasks.TaskSet()
        self.link_server = _create_server_context()
        self.link_client = _create_client_context(check_address=False)
        self.endpoint_client = _create_client_context(check_address=True)
        self.platform_client = _create_client_context(check_address=True)
        self._apply()

    def add_caller_port(self, server: grpc.aio.Server, address: str) -> None:
        """Listen for anybody who trusts the daemon's certificate."""
        _add_port(server, address, self._make_credentials(None))

    def add_operator_port(self, server: grpc.aio.Server, address: str) -> None:
        """Listen for those whom the operators' authority vouches for."""
        _add_port(
            server,
            address,
            self._make_credentials(lambda files: files.operator_ca),
        )

    def start(self) -> None:
        """Begin to follow changes of the files."""
        self._tasks.spawn(self._follow())

    async def close(self) -> None:
        """Stop to follow changes."""
        await self._tasks.close()

    def reload(self) -> bool:
        """Read the files again if they changed; keep the old if wrong.

        :returns: whether new keys are in use
        """
        stamps = _stamp(self._options)
        if stamps == self._stamps:
            return False
        self._stamps = stamps
        try:
            self._files = key_files.read_files(self._options)
        except errors.InvalidInput as error:
            log.error("keys refused, the old ones stay", error=str(error))
            return False
        self._apply()
        log.info("keys read again")
        return True

    def _apply(self) -> None:
        authorities = (
            (self.link_server, self._files.peer_ca),
            (self.link_client, self._files.peer_ca),
            (self.endpoint_client, self._files.endpoint_ca),
            (self.platform_client, self._files.platform_ca),
        )
        for context, authority in authorities:
            assert context is not None
            context.load_cert_chain(
                self._options.certificate_file, self._options.key_file
            )
            context.load_verify_locations(cadata=authority.decode("ascii"))

    def _make_credentials(
        self, find_authority: FindAuthority | None
    ) -> grpc.ServerCredentials:
        """Return credentials that use the newest keys at each handshake.

        :param find_authority: finds who vouches for the other side, None
            to ask it for no certificate
        """

        def make() -> grpc.ServerCertificateConfiguration:
            files = self._files
            return grpc.ssl_server_certificate_configuration(
                [(files.key, files.certificate)],
                root_certificates=(
                    find_authority(files) if find_authority else None
                ),
            )

        return grpc.dynamic_ssl_server_credentials(
            make(),
            make,
            require_client_authentication=find_authority is not None,
        )

    async def _follow(self) -> None:
        while True:
            await asyncio.sleep(self._options.reload_interval)
            self.reload()


def create_security(options: settings.TlsOptions) -> Security:
    """Return what the settings ask for.

    :raises: InvalidInput for a file that does not do
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
    """Return a context that asks for a certificate of the authority.

    :param check_address: the certificate must name the IP too; daemons
        come and go, and their authority signs for daemons alone
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


def _stamp(options: settings.TlsOptions) -> Stamps:
    """Return time and size of each file, 0 for one that is not there."""
    stamps: Stamps = {}
    for path in key_files.list_paths(options).values():
        try:
            found = path.stat()
            stamps[path] = (found.st_mtime_ns, found.st_size)
        except OSError:
            stamps[path] = (0, 0)
    return stamps
