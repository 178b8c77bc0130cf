"""Settings of a daemon, read from an INI file and validated.

Each section has an option class with the section's keys and their defaults.
In the file, durations and sizes are written with a unit; once read, they are
in seconds and bytes.
"""

import configparser
import pathlib
import typing

import expression
import pydantic

from fescuestile import errors
from fescuestile_daemon import units

STEP = "read settings"


class Options(pydantic.BaseModel):
    """Base of the option classes: immutable, rejects unknown keys."""

    model_config = pydantic.ConfigDict(extra="forbid", frozen=True)


class DaemonOptions(Options):
    """``[daemon]``: identity and addresses of the daemon.

    :ivar name: host name in logs, metrics and status
    :ivar zone: availability zone
    :ivar ip: source IP of outgoing connections
    :ivar caller_address: ``IP:port`` for callers
    :ivar link_address: ``IP:port`` for links from other daemons
    :ivar operator_address: ``IP:port`` for operators
    :ivar advertised_caller_address: ``IP:port`` announced to callers that
        roam here, if different from ``caller_address``
    :ivar advertised_link_address: ``IP:port`` announced to other daemons,
        if different from ``link_address``
    :ivar drain_seconds: maximum time in seconds that a drain waits for
        work in flight
    """

    name: units.Name
    zone: units.Name
    ip: units.Ip
    caller_address: units.Address
    link_address: units.Address
    operator_address: units.Address
    advertised_caller_address: units.Address | None = None
    advertised_link_address: units.Address | None = None
    drain_seconds: units.Duration = 20.0


class PlatformOptions(Options):
    """``[platform]``: how to reach the platform.

    :ivar addresses: ``IP:port`` of each of its front ends
    :ivar timeout: timeout of a call in seconds
    """

    addresses: units.Addresses = pydantic.Field(min_length=1)
    timeout: units.Duration = 2.0


class PeersOptions(Options):
    """``[peers]``: daemons to contact on startup.

    :ivar seeds: link ``IP:port`` of some other daemons
    """

    seeds: units.Addresses = ()


class LimitsOptions(Options):
    """``[limits]``: limits on callers.

    :ivar request_bytes: maximum size of a request
    :ivar answer_bytes: maximum size of an answer
    :ivar chunk_bytes: maximum size of an answer's chunk in one frame
    :ivar sessions: maximum number of open sessions
    :ivar in_flight: maximum number of requests in flight per session
    :ivar default_deadline: seconds, for a request without a deadline
    :ivar maximum_deadline: upper limit of a request's deadline, in seconds
    :ivar session_bytes: requests and unsent answers of a session above which
        no further request of it is read
    :ivar total_bytes: the same for all sessions; the ones that hold most are
        closed above it
    :ivar open_timeout: time in seconds within which a stream has to open a
        session, and for which a connection may be without a stream
    :ivar write_timeout: time in seconds for which a caller may take nothing
        of its answers
    """

    request_bytes: units.Size = 256 * 1024
    answer_bytes: units.Size = 16 * 1024 * 1024
    chunk_bytes: units.Size = 64 * 1024
    sessions: int = pydantic.Field(default=4000, gt=0)
    in_flight: int = pydantic.Field(default=64, gt=0)
    default_deadline: units.Duration = 5.0
    maximum_deadline: units.Duration = 60.0
    session_bytes: units.Size = 32 * 1024 * 1024
    total_bytes: units.Size = 256 * 1024 * 1024
    open_timeout: units.Duration = 10.0
    write_timeout: units.Duration = 30.0

    @pydantic.model_validator(mode="after")
    def check_deadlines(self) -> "LimitsOptions":
        """Check that the default deadline is within the maximum."""
        if self.default_deadline > self.maximum_deadline:
            raise ValueError(
                "expected a default_deadline of at most maximum_deadline"
            )
        return self


class LoggingOptions(Options):
    """``[logging]``: format and minimum level of the log."""

    format: typing.Literal["json", "console"] = "json"
    level: typing.Literal["debug", "info", "warning", "error"] = "info"


class StatsdOptions(Options):
    """``[statsd]``: destination of metrics; without it, none are sent.

    :ivar address: ``IP:port`` of a statsd server, reached by UDP
    :ivar prefix: prefix of all metric names
    :ivar interval: seconds between two flushes
    """

    address: units.Address
    prefix: units.Name = "fescuestile"
    interval: units.Duration = 1.0


TLS_FILE_KEYS = (
    "certificate_file",
    "key_file",
    "peer_ca_file",
    "operator_ca_file",
    "endpoint_ca_file",
    "platform_ca_file",
)


class TlsOptions(Options):
    """``[tls]``: either all files, or ``plain_text``.

    :ivar plain_text: ``yes`` for connections without TLS
    :ivar certificate_file: the daemon's certificate chain, in PEM
    :ivar key_file: private key of the certificate, in PEM
    :ivar peer_ca_file: CA of the daemons' certificates
    :ivar operator_ca_file: CA of the operators' certificates
    :ivar endpoint_ca_file: CA of the endpoints' certificates
    :ivar platform_ca_file: CA of the platform's certificate
    :ivar reload_interval: seconds between two checks of the files
    """

    plain_text: bool = False
    certificate_file: str = ""
    key_file: str = ""
    peer_ca_file: str = ""
    operator_ca_file: str = ""
    endpoint_ca_file: str = ""
    platform_ca_file: str = ""
    reload_interval: units.Duration = 10.0

    @pydantic.model_validator(mode="after")
    def check_files(self) -> "TlsOptions":
        """Check that all files are named, or none with ``plain_text``."""
        missing = [key for key in TLS_FILE_KEYS if not getattr(self, key)]
        if self.plain_text and len(missing) < len(TLS_FILE_KEYS):
            raise ValueError("plain_text = yes excludes the files")
        if not self.plain_text and missing:
            raise ValueError(
                f"expected plain_text = yes, or also {', '.join(missing)}"
            )
        if not self.plain_text and self.peer_ca_file == self.operator_ca_file:
            raise ValueError(
                "expected operator_ca_file to differ from peer_ca_file"
            )
        return self


class TimingOptions(Options):
    """``[timing]``: intervals and timeouts, in seconds.

    :ivar probe_interval: time without a message from an endpoint after
        which a heartbeat is sent
    :ivar probe_timeout: timeout of a heartbeat
    :ivar report_interval: minimum time between two endpoint reports
    :ivar gossip_interval: time between two gossip rounds
    :ivar member_suspicion: time that a daemon stays suspected before it is
        declared dead
    :ivar confirm_timeout: timeout of a write's confirmation
    :ivar failover_step_timeout: timeout of one step of a failover
    """

    probe_interval: units.Duration = 0.4
    probe_timeout: units.Duration = 0.5
    report_interval: units.Duration = 0.02
    gossip_interval: units.Duration = 0.2
    member_suspicion: units.Duration = 1.0
    confirm_timeout: units.Duration = 2.0
    failover_step_timeout: units.Duration = 0.5


class Settings(Options):
    """All settings of a daemon, one attribute per section."""

    daemon: DaemonOptions
    platform: PlatformOptions
    tls: TlsOptions
    peers: PeersOptions = PeersOptions()
    limits: LimitsOptions = LimitsOptions()
    logging: LoggingOptions = LoggingOptions()
    statsd: StatsdOptions | None = None
    timing: TimingOptions = TimingOptions()


OPTIONS_BY_SECTION: typing.Mapping[str, type[Options]] = {
    "daemon": DaemonOptions,
    "platform": PlatformOptions,
    "peers": PeersOptions,
    "tls": TlsOptions,
    "limits": LimitsOptions,
    "logging": LoggingOptions,
    "statsd": StatsdOptions,
    "timing": TimingOptions,
}


def read_settings(
    path: str | pathlib.Path,
) -> expression.Result[Settings, errors.InvalidInput]:
    """Read and validate a settings file.

    :param path: the INI file
    :returns: the settings, or an error that names the file, the key
        (``section.key``) and the expected form
    """
    try:
        text = pathlib.Path(path).read_text(encoding="utf-8")
    except (OSError, ValueError) as error:
        return _fail(path, "", f"cannot read the file: {error}")
    return parse_settings(text, str(path))


def parse_settings(
    text: str, path: str | pathlib.Path = "<text>"
) -> expression.Result[Settings, errors.InvalidInput]:
    """Parse and validate the text of a settings file.

    :param text: INI text
    :param path: name of the file in errors
    """
    parser = configparser.ConfigParser(
        interpolation=None,
        default_section="",
        empty_lines_in_values=False,
    )
    try:
        parser.read_string(text, source=str(path))
    except configparser.Error as error:
        section = getattr(error, "section", "")
        option = getattr(error, "option", "")
        field = f"{section}.{option}" if option else section
        return _fail(path, field, f"not INI: {error.message}")
    sections = {name: dict(parser.items(name)) for name in parser.sections()}
    try:
        return expression.Ok(Settings.model_validate(sections))
    except pydantic.ValidationError as error:
        return _describe_error(path, error)


def _describe_error(
    path: str | pathlib.Path, error: pydantic.ValidationError
) -> expression.Result[Settings, errors.InvalidInput]:
    """Return a readable error for the first invalid field."""
    first = error.errors()[0]
    parts = [str(part) for part in first["loc"][:2]]
    field = ".".join(parts)
    if first["type"] == "extra_forbidden":
        return _fail(path, field, _describe_allowed(parts))
    if first["type"] == "missing":
        noun = "key" if len(parts) > 1 else "section"
        return _fail(path, field, f"the {noun} is required")
    message = first["msg"].removeprefix("Value error, ")
    return _fail(path, field, f"{message}, got {first['input']!r}")


def _describe_allowed(parts: list[str]) -> str:
    if len(parts) == 1:
        allowed = ", ".join(Settings.model_fields)
        return f"unknown section; the sections are {allowed}"
    allowed = ", ".join(OPTIONS_BY_SECTION[parts[0]].model_fields)
    return f"unknown key; the keys are {allowed}"


def _fail(
    path: str | pathlib.Path, field: str, message: str
) -> expression.Result[Settings, errors.InvalidInput]:
    return expression.Error(
        errors.InvalidInput(
            message=message, step=STEP, peer=str(path), field=field
        )
    )
