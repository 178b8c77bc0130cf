"""Tests of TLS: access by certificate, and reloading of certificates."""

import asyncio
import json
import pathlib
import ssl
import subprocess
import sys

from cryptography import x509
import grpc
import pytest
from websockets.asyncio import client as websockets_client
import websockets.exceptions

from fescuestile import errors
from fescuestile_client import options as client_options
from fescuestile_client import session as client_session
from fescuestile_daemon import security
from fescuestile_daemon import settings
from fescuestile_standins import tls
from tests import certificates
from tests import endpoint_groups
from tests import fleets


@pytest.fixture
def keys(tmp_path):
    return certificates.Certificates(tmp_path)


@pytest.fixture
async def daemons(keys):
    certificate, key = keys.endpoint
    files = tls.TlsFiles(certificate, key, str(keys.combined_ca_path))
    async with endpoint_groups.serve_group(tls_files=files) as group:
        plan = fleets.build_group_plan(group)
        section = keys.list_settings()
        async with fleets.serve_daemons(2, plan, tls=section) as daemons:
            yield daemons


def make_options(keys) -> client_options.SessionOptions:
    root = keys.peers.path.read_bytes()
    return client_options.SessionOptions(
        timeout=5.0, credentials=grpc.ssl_channel_credentials(root)
    )


def open_session(daemon, options) -> client_session.Session:
    address = daemon.options.daemon.caller_address
    return client_session.Session([address], "caller", options=options)


async def fetch_serial(daemon) -> int:
    """Return the serial number of the certificate presented to callers."""
    host, port = daemon.options.daemon.caller_address.split(":")
    context = ssl.SSLContext(ssl.PROTOCOL_TLS_CLIENT)
    context.check_hostname = False
    context.verify_mode = ssl.CERT_NONE
    context.set_alpn_protocols(["h2"])
    _, writer = await asyncio.open_connection(host, int(port), ssl=context)
    presented = writer.get_extra_info("ssl_object").getpeercert(
        binary_form=True
    )
    writer.close()
    return x509.load_der_x509_certificate(presented).serial_number


def read_serial(path: str) -> int:
    data = pathlib.Path(path).read_bytes()
    return x509.load_pem_x509_certificate(data).serial_number


async def test_statements_are_forwarded_over_tls(daemons, keys):
    for daemon in daemons:
        async with open_session(daemon, make_options(keys)) as session:
            for number in range(4):
                await session.execute(
                    fleets.DATABASE, "fault-report", f"PUT k{number} v"
                )
    assert all(daemon.links.count == 1 for daemon in daemons)


async def test_plain_text_is_refused_to_callers(daemons):
    options = client_options.SessionOptions(timeout=0.5)
    with pytest.raises(errors.NotRun):
        await open_session(daemons[0], options).start()


@pytest.mark.parametrize("authority", ["operators", "untrusted", None])
async def test_a_link_requires_a_peers_certificate(daemons, keys, authority):
    context = ssl.SSLContext(ssl.PROTOCOL_TLS_CLIENT)
    context.check_hostname = False
    context.verify_mode = ssl.CERT_NONE
    if authority:
        context.load_cert_chain(*getattr(keys, authority).sign("caller"))
    address = daemons[0].options.daemon.link_address
    with pytest.raises((OSError, websockets.exceptions.InvalidMessage)):
        async with asyncio.timeout(5):
            await websockets_client.connect(
                f"wss://{address}", ssl=context, proxy=None
            )
    async with asyncio.timeout(5):
        context.load_cert_chain(*keys.daemon)
        await websockets_client.connect(
            f"wss://{address}", ssl=context, proxy=None
        )


async def test_reloaded_keys_keep_sessions_and_invalid_keys_are_refused(
    daemons, keys
):
    daemon = daemons[0]
    before = await fetch_serial(daemon)
    async with open_session(daemon, make_options(keys)) as session:
        await session.execute(fleets.DATABASE, "fault-report", "PUT a 1")
        keys.peers.sign("daemon")
        assert daemon.security.reload()
        after = await fetch_serial(daemon)
        assert after == read_serial(keys.daemon[0]) != before
        pathlib.Path(keys.daemon[0]).write_text("malformed")
        assert not daemon.security.reload()
        assert await fetch_serial(daemon) == after
        await session.execute(fleets.DATABASE, "fault-report", "PUT a 2")
    async with open_session(daemon, make_options(keys)) as session:
        await session.execute(fleets.DATABASE, "fault-report", "PUT a 3")


@pytest.mark.parametrize(
    ("changes", "field"),
    [
        ({"key_file": "/nowhere"}, "tls.key_file"),
        ({"certificate_file": "untrusted"}, "tls.certificate_file"),
        ({"peer_ca_file": "key"}, "tls.peer_ca_file"),
    ],
)
def test_an_error_names_the_unusable_file(keys, changes, field):
    path_by_name = {
        "untrusted": str(keys.untrusted.path),
        "key": keys.daemon[1],
        "/nowhere": "/nowhere",
    }
    named = {key: path_by_name[name] for key, name in changes.items()}
    options = settings.TlsOptions(**keys.list_settings(**named))
    with pytest.raises(errors.InvalidInput) as refused:
        security.create_security(options)
    assert refused.value.field == field


def test_operators_calls_require_an_operators_certificate(keys, tmp_path):
    asyncio.run(check_operators(keys, tmp_path))


async def check_operators(keys, tmp_path) -> None:
    async with certificates.serve_fleet(keys, tmp_path) as daemon:
        operator = keys.operators.sign("operator")
        done = await run_status(daemon, keys, operator)
        assert done.returncode == 0, done.stderr
        assert json.loads(done.stdout)["daemons"]
        for other in (keys.untrusted.sign("caller"), keys.daemon):
            refused = await run_status(daemon, keys, other)
            assert refused.returncode == 3
        assert (await run_status(daemon, keys, None)).returncode == 3


async def run_status(daemon, keys, pair) -> "subprocess.CompletedProcess[str]":
    """Run ``fescuestile status``.

    :param pair: certificate and key files, None for plain text
    """
    binary = pathlib.Path(sys.executable).parent / "fescuestile"
    arguments = [str(binary), "status", "--output", "json"]
    arguments += ["--address", daemon.operator_address]
    if pair:
        arguments += ["--ca-file", str(keys.peers.path)]
        arguments += ["--certificate-file", pair[0], "--key-file", pair[1]]
    return await asyncio.to_thread(
        subprocess.run,
        arguments,
        capture_output=True,
        text=True,
        timeout=30,
    )
