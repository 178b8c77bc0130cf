"""Settings of a daemon: an INI file, checked key by key.

One option class per section holds the section's keys with their defaults.
Durations are in seconds and sizes in bytes once read; in the file both
carry their unit.
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
    """Base of the option classes: immutable and without unknown keys."""

    model_config = pydantic.ConfigDict(extra="forbid", frozen=True)


class DaemonOptions(Options):
    """``[daemon]``: who the daemon is and where it listens.

    :ivar name: host name in logs, metrics and status
    :ivar zone: availability zone
    :ivar ip: IP that outgoing connections bind to
    :ivar caller_address: ``IP:port`` for callers
    :ivar link_address: ``IP:port`` for links from other daemons
    :ivar operator_address: ``IP:port`` for operators
    :ivar advertised_caller_address: ``IP:port`` that callers are told to
        roam to, where it is not ``caller_address``
    :ivar advertised_link_address: ``IP:port`` that other daemons are told,
        where it is not ``link_address``
    :ivar drain_seconds: longest time a planned stop waits for work in
        flight
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
    """``[platform]``: where the platform answers.

    :ivar addresses: ``IP:port`` of each of its front ends
    :ivar timeout: seconds until a call counts as unanswered
    """

    addresses: units.Addresses = pydantic.Field(min_length=1)
    timeout: units.Duration = 2.0


class PeersOptions(Options):
    """``[peers]``: daemons to ask first at a start.

    :ivar seeds: link ``IP:port`` of some other daemons
    """

    seeds: units.Addresses = ()


class LimitsOptions(Options):
    """``[limits]``: bounds on what one caller can ask for.

    :ivar request_bytes: largest request
    :ivar answer_bytes: largest answer
    :ivar chunk_bytes: largest piece of an answer in one frame
    :ivar sessions: sessions open at a time
    :ivar in_flight: requests in flight in one session
    :ivar default_deadline: seconds, for a request that names none
    :ivar maximum_deadline: seconds
    """

    request_bytes: units.Size = 256 * 1024
    answer_bytes: units.Size = 16 * 1024 * 1024
    chunk_bytes: units.Size = 64 * 1024
    sessions: int = pydantic.Field(default=4000, gt=0)
    in_flight: int = pydantic.Field(default=64, gt=0)
    default_deadline: units.Duration = 5.0
    maximum_deadline: units.Duration = 60.0

    @pydantic.model_validator(mode="after")
    def check_deadlines(self) -> "LimitsOptions":
        """Check that the default deadline is allowed."""
        if self.default_deadline > self.maximum_deadline:
            raise ValueError("default_deadline is above maximum_deadline")
        return self


class LoggingOptions(Options):
    """``[logging]``: form and level of the log on standard error."""

    format: typing.Literal["json", "console"] = "json"
    level: typing.Literal["debug", "info", "warning", "error"] = "info"


class StatsdOptions(Options):
    """``[statsd]``: where metrics go; without the section, nowhere.

    :ivar address: ``IP:port`` of a statsd server, by UDP
    :ivar prefix: prefix of all names
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
    """``[tls]``: either all files, or plain text by explicit setting.

    :ivar plain_text: ``yes`` for connections without TLS
    :ivar certificate_file: the daemon's certificate chain, in PEM
    :ivar key_file: its private key
    :ivar peer_ca_file: authority of the daemons' certificates
    :ivar operator_ca_file: authority of the operators' certificates
    :ivar endpoint_ca_file: authority of the endpoints' certificates
    :ivar platform_ca_file: authority of the platform's certificate
    :ivar reload_interval: seconds between two looks at the files
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
        """Check that all files are named, or none for plain text."""
        missing = [key for key in TLS_FILE_KEYS if not getattr(self, key)]
        if self.plain_text and len(missing) < len(TLS_FILE_KEYS):
            raise ValueError("plain_text = yes excludes the files")
        if not self.plain_text and missing:
            raise ValueError(
                f"expected plain_text = yes, or also {', '.join(missing)}"
            )
        if not self.plain_text and self.peer_ca_file == self.operator_ca_file:
            raise ValueError("peers and operators need two authorities")
        return self


class TimingOptions(Options):
    """``[timing]``: pace of the control work, in seconds.

    :ivar probe_interval: silence of an endpoint until a heartbeat is asked
    :ivar probe_timeout: until a heartbeat counts as unanswered
    :ivar report_interval: least time between two endpoint reports
    :ivar gossip_interval: between two rounds of gossip
    :ivar member_suspicion: from suspicion of a daemon to its death
    :ivar confirm_timeout: longest wait for a write's confirmation
    :ivar failover_step_timeout: for one step of a failover
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
    """Read and check a settings file.

    :param path: the INI file
    :returns: the settings, or an error that names file, section and key
        (``section.key``) and the allowed form
    """
    try:
        text = pathlib.Path(path).read_text(encoding="utf-8")
    except (OSError, ValueError) as error:
        return _refuse(path, "", f"cannot read the file: {error}")
    return parse_settings(text, str(path))


def parse_settings(
    text: str, path: str | pathlib.Path = "<text>"
) -> expression.Result[Settings, errors.InvalidInput]:
    """Check the text of a settings file.

    :param text: INI text
    :param path: name of the file, for errors
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
        return _refuse(path, field, f"not INI: {error.message}")
    sections = {name: dict(parser.items(name)) for name in parser.sections()}
    try:
        return expression.Ok(Settings.model_validate(sections))
    except pydantic.ValidationError as error:
        return _explain(path, error)


def _explain(
    path: str | pathlib.Path, error: pydantic.ValidationError
) -> expression.Result[Settings, errors.InvalidInput]:
    """Return the first fault of a settings file, for a person."""
    first = error.errors()[0]
    parts = [str(part) for part in first["loc"][:2]]
    field = ".".join(parts)
    if first["type"] == "extra_forbidden":
        return _refuse(path, field, _list_allowed(parts))
    if first["type"] == "missing":
        noun = "key" if len(parts) > 1 else "section"
        return _refuse(path, field, f"the {noun} is required")
    message = first["msg"].removeprefix("Value error, ")
    return _refuse(path, field, f"{message}, got {first['input']!r}")


def _list_allowed(parts: list[str]) -> str:
    if len(parts) == 1:
        allowed = ", ".join(Settings.model_fields)
        return f"unknown section; the sections are {allowed}"
    allowed = ", ".join(OPTIONS_BY_SECTION[parts[0]].model_fields)
    return f"unknown key; the keys are {allowed}"


def _refuse(
    path: str | pathlib.Path, field: str, message: str
) -> expression.Result[Settings, errors.InvalidInput]:
    return expression.Error(
        errors.InvalidInput(
            message=message, step=STEP, peer=str(path), field=field
        )
    )
