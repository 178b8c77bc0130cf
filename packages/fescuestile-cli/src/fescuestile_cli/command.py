"""Operators' command line: ``fescuestile``.

Exit codes: 0 success, 1 refused by the daemon, 2 invalid input, 3 daemon
unreachable or outcome not known.
"""

import getpass
import os
import sys
import typing
import uuid

import cleo.application
import cleo.commands.command
import cleo.exceptions
from cleo.helpers import argument
from cleo.helpers import option

from fescuestile import addresses
from fescuestile import errors
from fescuestile_api import fescuestile_pb2 as pb
from fescuestile_cli import calls
from fescuestile_cli import output
from fescuestile_cli import plan_files

VERSION = "0.1.0"
ADDRESS_VARIABLE = "FESCUESTILE_ADDRESS"
TLS_FILE_VARIABLES = {
    "ca-file": "FESCUESTILE_CA_FILE",
    "certificate-file": "FESCUESTILE_CERTIFICATE_FILE",
    "key-file": "FESCUESTILE_KEY_FILE",
}
FORMATS = ("table", "json")
STEP = "read arguments"

Rows = list[tuple[object, ...]]

COMMON_OPTIONS = (
    option("address", "a", "IP:port of a daemon for operators", flag=False),
    option("output", "o", "table or json", flag=False, default="table"),
    option("ca-file", None, "CA certificate of the daemons (TLS)", flag=False),
    option("certificate-file", None, "your certificate (TLS)", flag=False),
    option("key-file", None, "your private key (TLS)", flag=False),
)
CHANGE_OPTIONS = (
    option("operator", None, "who makes the change", flag=False),
    option("change-id", None, "id that makes repeats safe", flag=False),
)
EXPECTED_OPTION = option(
    "expected-revision", "e", "revision the change was made from", flag=False
)


class OperatorCommand(cleo.commands.command.Command):
    """Base of the commands, each of which makes one call.

    :ivar step: name of the call, for errors
    """

    step = ""
    options = [*COMMON_OPTIONS]

    def handle(self) -> int:
        """Run the command; print invalid input without a traceback."""
        self.change_id = ""
        try:
            self._read_common_options()
            return self.run_call()
        except errors.InvalidInput as error:
            self.line_error(f"error: {error}")
            return calls.EXIT_BAD_INPUT

    def run_call(self) -> int:
        """Run the command proper; implemented by each command.

        :returns: the exit code
        :raises: InvalidInput for invalid arguments
        """
        raise NotImplementedError

    def make_call(
        self,
        select_method: calls.MethodSelector,
        request: object,
        *row_builders: typing.Callable[[typing.Any], Rows],
    ) -> int:
        """Make a call and print its reply.

        :param select_method: returns the method of the stub to call
        :param row_builders: functions that return the rows of one table
            each
        :returns: the exit code
        """
        result = calls.call(
            self._address, select_method, request, self.step, self._tls_files
        )
        if result.is_error():
            self.line_error(f"error: {result.error.error}")
            if self.change_id:
                self.line_error(f"change id: {self.change_id}")
            return result.error.exit_code
        if self.option("output") == "json":
            extra = {"change_id": self.change_id} if self.change_id else {}
            print(output.format_json(result.ok, **extra))
            return calls.EXIT_OK
        tables = [
            output.format_table(build_rows(result.ok))
            for build_rows in row_builders
        ]
        print("\n\n".join(tables))
        if self.change_id:
            print(f"change id: {self.change_id}")
        return calls.EXIT_OK

    def read_change_options(self) -> tuple[str, str]:
        """Return operator and change id; generate the id if not given."""
        self.change_id = self.option("change-id") or str(uuid.uuid4())
        return self.option("operator") or _get_user_name(), self.change_id

    def parse_revision(self, name: str, text: str | None) -> int:
        """Return a revision number, at least 1.

        :param name: name of the argument or option, for the error
        """
        if not text or not text.isdecimal() or int(text) < 1:
            raise _build_invalid_argument(
                name, f"expected a revision number, got {text!r}"
            )
        return int(text)

    def read_plan_file(self) -> pb.Plan:
        """Read the plan of the ``file`` argument."""
        result = plan_files.read_plan(self.argument("file"))
        if result.is_error():
            raise result.error
        return result.ok

    def _read_common_options(self) -> None:
        if self.option("output") not in FORMATS:
            raise _build_invalid_argument("--output", "expected table or json")
        self._tls_files = self._read_tls_options()
        address = self.option("address") or os.environ.get(ADDRESS_VARIABLE)
        if not address:
            raise _build_invalid_argument(
                "--address", f"required unless {ADDRESS_VARIABLE} is set"
            )
        try:
            self._address = addresses.parse_address(address)
        except ValueError as error:
            raise _build_invalid_argument("--address", str(error)) from None

    def _read_tls_options(self) -> calls.TlsFiles | None:
        """Return the TLS files, None when no option is given."""
        path_by_option: dict[str, str] = {
            name: self.option(name) or os.environ.get(variable, "")
            for name, variable in TLS_FILE_VARIABLES.items()
        }
        missing = [
            f"--{name}" for name, path in path_by_option.items() if not path
        ]
        if len(missing) == len(path_by_option):
            return None
        if missing:
            raise _build_invalid_argument(
                missing[0], "TLS needs all three files"
            )
        return calls.TlsFiles(*path_by_option.values())


class DeclareCommand(OperatorCommand):
    """Declares a database group from a plan file."""

    name = step = "declare"
    description = "Declare a database group from a plan file."
    arguments = [argument("file", "plan file (INI)")]
    options = [*COMMON_OPTIONS, *CHANGE_OPTIONS]

    def run_call(self) -> int:
        """Declare the plan."""
        plan = self.read_plan_file()
        operator, change_id = self.read_change_options()
        request = pb.DeclareRequest(
            plan=plan, change_id=change_id, operator=operator
        )
        return self.make_call(
            lambda stub: stub.Declare, request, output.build_change_rows
        )


class ApplyCommand(OperatorCommand):
    """Applies a changed plan file as the next revision."""

    name = step = "apply"
    description = "Make a plan file the new revision."
    arguments = [argument("file", "plan file (INI)")]
    options = [*COMMON_OPTIONS, *CHANGE_OPTIONS, EXPECTED_OPTION]

    def run_call(self) -> int:
        """Apply the plan."""
        plan = self.read_plan_file()
        expected = self.parse_revision(
            "--expected-revision", self.option("expected-revision")
        )
        operator, change_id = self.read_change_options()
        request = pb.ApplyRequest(
            plan=plan,
            expected_revision=expected,
            change_id=change_id,
            operator=operator,
        )
        return self.make_call(
            lambda stub: stub.Apply, request, output.build_change_rows
        )


class RevertCommand(OperatorCommand):
    """Makes the plan of an earlier revision the next revision."""

    name = step = "revert"
    description = "Make an earlier revision's plan the new revision."
    arguments = [
        argument("database", "name of the database"),
        argument("revision", "revision to take the plan from"),
    ]
    options = [*COMMON_OPTIONS, *CHANGE_OPTIONS, EXPECTED_OPTION]

    def run_call(self) -> int:
        """Revert to the revision."""
        target = self.parse_revision("revision", self.argument("revision"))
        expected = self.parse_revision(
            "--expected-revision", self.option("expected-revision")
        )
        operator, change_id = self.read_change_options()
        request = pb.RevertRequest(
            database=self.argument("database"),
            to_revision=target,
            expected_revision=expected,
            change_id=change_id,
            operator=operator,
        )
        return self.make_call(
            lambda stub: stub.Revert, request, output.build_change_rows
        )


class HistoryCommand(OperatorCommand):
    """Lists the stored revisions of a database."""

    name = step = "history"
    description = "List the kept revisions of a database."
    arguments = [argument("database", "name of the database")]

    def run_call(self) -> int:
        """List the revisions."""
        request = pb.HistoryRequest(database=self.argument("database"))
        return self.make_call(
            lambda stub: stub.History, request, output.build_history_rows
        )


class StatusCommand(OperatorCommand):
    """Shows daemons, their revisions in force, and endpoints."""

    name = step = "status"
    description = "Show daemons, revisions in force, and endpoints."
    arguments = [argument("database", "only this database", optional=True)]

    def run_call(self) -> int:
        """Show the status."""
        request = pb.StatusRequest(database=self.argument("database") or "")
        return self.make_call(
            lambda stub: stub.Status,
            request,
            output.build_daemon_rows,
            output.build_endpoint_rows,
        )


class DrainCommand(OperatorCommand):
    """Drains a daemon, so that its sessions roam."""

    name = step = "drain"
    description = "Drain a daemon: no new work, callers roam."
    arguments = [
        argument("daemon", "id or host name; default: the one called", True)
    ]
    options = [*COMMON_OPTIONS, CHANGE_OPTIONS[0]]

    def run_call(self) -> int:
        """Start the drain."""
        request = pb.DrainRequest(
            daemon=self.argument("daemon") or "",
            operator=self.option("operator") or _get_user_name(),
        )
        return self.make_call(
            lambda stub: stub.Drain,
            request,
            lambda reply: [("STATE",), (reply.state,)],
        )


class SwitchoverCommand(OperatorCommand):
    """Makes another endpoint the primary."""

    name = step = "switchover"
    description = "Make another endpoint the primary."
    arguments = [
        argument("database", "name of the database"),
        argument("target", "endpoint that becomes the primary"),
    ]
    options = [*COMMON_OPTIONS, *CHANGE_OPTIONS]

    def run_call(self) -> int:
        """Request the switchover."""
        operator, change_id = self.read_change_options()
        request = pb.SwitchoverRequest(
            database=self.argument("database"),
            target=self.argument("target"),
            operator=operator,
            change_id=change_id,
        )
        return self.make_call(
            lambda stub: stub.Switchover,
            request,
            lambda reply: [("TERM", "PRIMARY"), (reply.term, reply.primary)],
        )


class AuditCommand(OperatorCommand):
    """Lists the audit trail, newest entry first."""

    name = step = "audit"
    description = "List changes, the newest first."
    arguments = [argument("database", "only this database", optional=True)]
    options = [
        *COMMON_OPTIONS,
        option("limit", "l", "entries at most", flag=False, default="50"),
    ]

    def run_call(self) -> int:
        """List the entries."""
        limit = self.option("limit")
        if not limit.isdecimal():
            raise _build_invalid_argument(
                "--limit", f"expected a number, got {limit!r}"
            )
        request = pb.AuditRequest(
            database=self.argument("database") or "", limit=int(limit)
        )
        return self.make_call(
            lambda stub: stub.Audit, request, output.build_audit_rows
        )


COMMANDS = (
    DeclareCommand,
    ApplyCommand,
    RevertCommand,
    HistoryCommand,
    StatusCommand,
    DrainCommand,
    SwitchoverCommand,
    AuditCommand,
)


def create_application() -> cleo.application.Application:
    """Return the application with all commands."""
    application = cleo.application.Application("fescuestile", VERSION)
    for cls in COMMANDS:
        application.add(cls())
    return application


def main() -> None:
    """Run the command line and exit; entry point of ``fescuestile``."""
    application = create_application()
    application.catch_exceptions(False)
    try:
        sys.exit(application.run())
    except cleo.exceptions.CleoError as error:
        print(f"error: {error} (step {STEP})", file=sys.stderr)
        sys.exit(calls.EXIT_BAD_INPUT)


def _get_user_name() -> str:
    try:
        return getpass.getuser()
    except (KeyError, OSError):
        return "unknown"


def _build_invalid_argument(field: str, message: str) -> errors.InvalidInput:
    return errors.InvalidInput(message, STEP, field=field)
