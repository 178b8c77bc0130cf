"""Creates certificate authorities and certificates for tests."""

import collections.abc
import contextlib
import datetime
import ipaddress
import pathlib

import cryptography.hazmat.primitives.asymmetric.ec as ec
import cryptography.hazmat.primitives.hashes as hashes
import cryptography.hazmat.primitives.serialization as serialization
import cryptography.x509 as x509
import cryptography.x509.oid as oid

from fescuestile_standins import fleet as process_fleets
from fescuestile_standins import hosts
from fescuestile_standins import launcher as launchers
from tests import endpoint_groups
from tests import fleets

PEM = serialization.Encoding.PEM
FLEET_IPS = (
    hosts.make_ip(0, 2),
    *(
        hosts.make_ip(zone, 1 + process_fleets.LISTENING_HOST_OFFSET)
        for zone in (1, 2, 3)
    ),
)
DAY = datetime.timedelta(days=1)


class CertificateAuthority:
    """A CA with its own certificate in a file."""

    def __init__(self, directory: pathlib.Path, name: str) -> None:
        self.name = name
        self.directory = directory
        self.path = directory / f"{name}.pem"
        self._key = ec.generate_private_key(ec.SECP256R1())
        self._subject = make_x509_name(name)
        own = self._build(name, self._key, is_ca=True)
        self.path.write_bytes(own.public_bytes(PEM))

    def sign(self, name: str) -> tuple[str, str]:
        """Create a certificate and its key; return the paths of both."""
        key = ec.generate_private_key(ec.SECP256R1())
        certificate = self._build(name, key, is_ca=False)
        paths = (
            self.directory / f"{name}-certificate.pem",
            self.directory / f"{name}-key.pem",
        )
        paths[0].write_bytes(certificate.public_bytes(PEM))
        paths[1].write_bytes(
            key.private_bytes(
                PEM,
                serialization.PrivateFormat.PKCS8,
                serialization.NoEncryption(),
            )
        )
        return str(paths[0]), str(paths[1])

    def _build(
        self, name: str, key: ec.EllipticCurvePrivateKey, is_ca: bool
    ) -> x509.Certificate:
        now = datetime.datetime.now(datetime.UTC)
        names = [x509.IPAddress(ipaddress.ip_address(ip)) for ip in list_ips()]
        builder = (
            x509.CertificateBuilder()
            .subject_name(make_x509_name(name))
            .issuer_name(self._subject)
            .public_key(key.public_key())
            .serial_number(x509.random_serial_number())
            .not_valid_before(now - DAY)
            .not_valid_after(now + DAY)
            .add_extension(x509.BasicConstraints(is_ca, None), True)
        )
        if not is_ca:
            builder = builder.add_extension(
                x509.SubjectAlternativeName(names), False
            )
        return builder.sign(self._key, hashes.SHA256())


def list_ips() -> tuple[str, ...]:
    """Return the IPs that test servers listen on."""
    return (endpoint_groups.HOST, *fleets.list_listening_ips(), *FLEET_IPS)


def make_x509_name(name: str) -> x509.Name:
    return x509.Name([x509.NameAttribute(oid.NameOID.COMMON_NAME, name)])


class Certificates:
    """CAs of daemons, operators and outside systems, and an untrusted one."""

    def __init__(self, directory: pathlib.Path) -> None:
        self.peers = CertificateAuthority(directory, "peers")
        self.operators = CertificateAuthority(directory, "operators")
        self.outside = CertificateAuthority(directory, "outside")
        self.untrusted = CertificateAuthority(directory, "untrusted")
        self.daemon = self.peers.sign("daemon")
        self.endpoint = self.outside.sign("endpoint")

    def list_settings(self, **changes) -> dict[str, str]:
        """Return the ``[tls]`` section of a daemon's settings."""
        return {
            "certificate_file": self.daemon[0],
            "key_file": self.daemon[1],
            "peer_ca_file": str(self.peers.path),
            "operator_ca_file": str(self.operators.path),
            "endpoint_ca_file": str(self.outside.path),
            "platform_ca_file": str(self.outside.path),
            **changes,
        }

    @property
    def combined_ca_path(self) -> pathlib.Path:
        """Path of a file with the CAs of the daemons and outside systems."""
        path = self.peers.directory / "both.pem"
        path.write_bytes(
            self.peers.path.read_bytes() + self.outside.path.read_bytes()
        )
        return path


@contextlib.asynccontextmanager
async def serve_fleet(
    keys: Certificates, directory: pathlib.Path
) -> collections.abc.AsyncIterator[process_fleets.DaemonProcess]:
    """Run a platform and a daemon as processes that use TLS."""
    async with launchers.Launcher(directory) as launcher:
        fleet = process_fleets.Fleet(launcher)
        address = launchers.choose_address(0, 2)
        files = ",".join((*keys.endpoint, str(keys.combined_ca_path)))
        fleet.platform = launcher.start_module(
            "platform",
            process_fleets.PLATFORM_MODULE,
            ("--address", address, "--tls", files),
            address,
        )
        await fleet.platform.wait_ready()
        section = {"plain_text": "no", **keys.list_settings()}
        yield await fleet.start_daemon(
            "host-1", fleet.zones[0], {"tls": section}
        )
