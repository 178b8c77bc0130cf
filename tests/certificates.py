"""Certificates of made-up authorities, in files."""

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
        hosts.make_ip(zone, 1 + process_fleets.LISTENING_HOSTS)
        for zone in (1, 2, 3)
    ),
)
DAY = datetime.timedelta(days=1)


class Authority:
    """Signs certificates and keeps its own in a file."""

    def __init__(self, directory: pathlib.Path, name: str) -> None:
        self.name = name
        self.directory = directory
        self.path = directory / f"{name}.pem"
        self._key = ec.generate_private_key(ec.SECP256R1())
        self._subject = make_name(name)
        own = self._build(name, self._key, authority=True)
        self.path.write_bytes(own.public_bytes(PEM))

    def sign(self, name: str) -> tuple[str, str]:
        """Write a certificate and its key; return both paths."""
        key = ec.generate_private_key(ec.SECP256R1())
        certificate = self._build(name, key, authority=False)
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
        self, name: str, key: ec.EllipticCurvePrivateKey, authority: bool
    ) -> x509.Certificate:
        now = datetime.datetime.now(datetime.UTC)
        names = [x509.IPAddress(ipaddress.ip_address(ip)) for ip in list_ips()]
        builder = (
            x509.CertificateBuilder()
            .subject_name(make_name(name))
            .issuer_name(self._subject)
            .public_key(key.public_key())
            .serial_number(x509.random_serial_number())
            .not_valid_before(now - DAY)
            .not_valid_after(now + DAY)
            .add_extension(x509.BasicConstraints(authority, None), True)
        )
        if not authority:
            builder = builder.add_extension(
                x509.SubjectAlternativeName(names), False
            )
        return builder.sign(self._key, hashes.SHA256())


def list_ips() -> tuple[str, ...]:
    """Return the IPs that tests listen on."""
    return (endpoint_groups.HOST, *fleets.list_listening_hosts(), *FLEET_IPS)


def make_name(name: str) -> x509.Name:
    return x509.Name([x509.NameAttribute(oid.NameOID.COMMON_NAME, name)])


class Certificates:
    """Authorities of peers, operators and outside systems."""

    def __init__(self, directory: pathlib.Path) -> None:
        self.peers = Authority(directory, "peers")
        self.operators = Authority(directory, "operators")
        self.outside = Authority(directory, "outside")
        self.strangers = Authority(directory, "strangers")
        self.daemon = self.peers.sign("daemon")
        self.endpoint = self.outside.sign("endpoint")

    def list_settings(self, **changes) -> dict[str, str]:
        """Return the section ``[tls]`` of a daemon."""
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
    def both(self) -> pathlib.Path:
        """Authorities of the endpoints and of the daemons in one file."""
        path = self.peers.directory / "both.pem"
        path.write_bytes(
            self.peers.path.read_bytes() + self.outside.path.read_bytes()
        )
        return path


@contextlib.asynccontextmanager
async def serve_fleet(
    keys: Certificates, directory: pathlib.Path
) -> collections.abc.AsyncIterator[process_fleets.DaemonProcess]:
    """Run a platform and a daemon as processes, over TLS."""
    async with launchers.Launcher(directory) as launcher:
        fleet = process_fleets.Fleet(launcher)
        address = launchers.choose_address(0, 2)
        files = ",".join((*keys.endpoint, str(keys.both)))
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
