"""Command line of operators: ``fescuestile``.

Exit codes: 0 done, 1 refused, 2 bad input, 3 not reachable or the outcome
is not known.
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
KEY_FILE_VARIABLES = {
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
    option("ca-file", None, "authority of the daemons (TLS)", flag=False),
    option("certificate-file", None, "your certificate (TLS)", flag=False),
    option("key-file", None, "your private key (TLS)", flag=False),
)
CHANGE_OPTIONS = (
    option("operator", None, "who makes the change", flag=False),
    option("change-id", None, "names the change if repeated", flag=False),
)
EXPECTED_OPTION = option(
    "expected-revision", "e", "revision the change was made from", flag=False
)


class OperatorCommand(cleo.commands.command.Command):
    """Base of the commands: one call and its reply."""

    step = ""
    options = [*COMMON_OPTIONS]

    def handle(self) -> int:
        """Run the command and print errors without a traceback."""
        self.change_id = ""
        try:
            self._check_common()
            return self.run_call()
        except errors.InvalidInput as error:
            self.line_error(f"error: {error}")
            return calls.EXIT_BAD_INPUT

    def run_call(self) -> int:
        """Make the call; the hook of each command.

        :raises: InvalidInput for wrong arguments
        """
        raise NotImplementedError

    def make_call(
        self,
        choose: calls.Call,
        request: object,
        *tables: typing.Callable[[typing.Any], Rows],
    ) -> int:
        """Make a call and print its reply.

        :param tables: make the rows of one table each
        """
        result = calls.call(
            self._address, choose, request, self.step, self._files
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
        parts = [output.format_table(make(result.ok)) for make in tables]
        print("\n\n".join(parts))
        if self.change_id:
            print(f"change id: {self.change_id}")
        return calls.EXIT_OK

    def read_change(self) -> tuple[str, str]:
        """Return operator and change id; the id is made when not given."""
        self.change_id = self.option("change-id") or str(uuid.uuid4())
        return self.option("operator") or _find_user(), self.change_id

    def read_number(self, name: str, text: str | None) -> int:
        """Return a revision number."""
        if not text or not text.isdecimal() or int(text) < 1:
            raise _refuse(name, f"expected a revision number, got {text!r}")
        return int(text)

    def read_plan(self) -> pb.Plan:
        """Return the plan of the file argument."""
        result = plan_files.read_plan(self.argument("file"))
        if result.is_error():
            raise result.error
        return result.ok

    def _check_common(self) -> None:
        if self.option("output") not in FORMATS:
            raise _refuse("--output", "expected table or json")
        self._files = self._find_files()
        address = self.option("address") or os.environ.get(ADDRESS_VARIABLE)
        if not address:
            raise _refuse("--address", f"required, or {ADDRESS_VARIABLE}")
        try:
            self._address = addresses.parse_address(address)
        except ValueError as error:
            raise _refuse("--address", str(error)) from None

    def _find_files(self) -> calls.KeyFiles | None:
        """Return the files for TLS, None when none is given."""
        found: dict[str, str] = {
            name: self.option(name) or os.environ.get(variable, "")
            for name, variable in KEY_FILE_VARIABLES.items()
        }
        missing = [f"--{name}" for name, path in found.items() if not path]
        if len(missing) == len(found):
            return None
        if missing:
            raise _refuse(missing[0], "TLS needs all three files")
        return calls.KeyFiles(*found.values())


class DeclareCommand(OperatorCommand):
    """Declares a database group."""

    name = step = "declare"
    description = "Declare a database group from a plan file."
    arguments = [argument("file", "plan file (INI)")]
    options = [*COMMON_OPTIONS, *CHANGE_OPTIONS]

    def run_call(self) -> int:
        """Declare the plan."""
        plan = self.read_plan()
        operator, change_id = self.read_change()
        request = pb.DeclareRequest(
            plan=plan, change_id=change_id, operator=operator
        )
        return self.make_call(
            lambda stub: stub.Declare, request, output.list_changes
        )


class ApplyCommand(OperatorCommand):
    """Applies a changed plan."""

    name = step = "apply"
    description = "Make a plan file the new revision."
    arguments = [argument("file", "plan file (INI)")]
    options = [*COMMON_OPTIONS, *CHANGE_OPTIONS, EXPECTED_OPTION]

    def run_call(self) -> int:
        """Apply the plan."""
        plan = self.read_plan()
        expected = self.read_number(
            "--expected-revision", self.option("expected-revision")
        )
        operator, change_id = self.read_change()
        request = pb.ApplyRequest(
            plan=plan,
            expected_revision=expected,
            change_id=change_id,
            operator=operator,
        )
        return self.make_call(
            lambda stub: stub.Apply, request, output.list_changes
        )


class RevertCommand(OperatorCommand):
    """Takes a database back to an earlier plan."""

    name = step = "revert"
    description = "Make an earlier revision's plan the new revision."
    arguments = [
        argument("database", "name of the database"),
        argument("revision", "revision to take the plan from"),
    ]
    options = [*COMMON_OPTIONS, *CHANGE_OPTIONS, EXPECTED_OPTION]

    def run_call(self) -> int:
        """Revert to the revision."""
        target = self.read_number("revision", self.argument("revision"))
        expected = self.read_number(
            "--expected-revision", self.option("expected-revision")
        )
        operator, change_id = self.read_change()
        request = pb.RevertRequest(
            database=self.argument("database"),
            to_revision=target,
            expected_revision=expected,
            change_id=change_id,
            operator=operator,
        )
        return self.make_call(
            lambda stub: stub.Revert, request, output.list_changes
        )


class HistoryCommand(OperatorCommand):
    """Lists the kept revisions of a database."""

    name = step = "history"
    description = "List the kept revisions of a database."
    arguments = [argument("database", "name of the database")]

    def run_call(self) -> int:
        """List the revisions."""
        request = pb.HistoryRequest(database=self.argument("database"))
        return self.make_call(
            lambda stub: stub.History, request, output.list_history
        )


class StatusCommand(OperatorCommand):
    """Shows daemons, the revisions they run, and endpoints."""

    name = step = "status"
    description = "Show daemons, revisions in force, and endpoints."
    arguments = [argument("database", "only this database", optional=True)]

    def run_call(self) -> int:
        """Show the status."""
        request = pb.StatusRequest(database=self.argument("database") or "")
        return self.make_call(
            lambda stub: stub.Status,
            request,
            output.list_daemons,
            output.list_endpoints,
        )


class DrainCommand(OperatorCommand):
    """Drains a daemon."""

    name = step = "drain"
    description = "Drain a daemon: no new work, callers roam."
    arguments = [
        argument("daemon", "id or host name; default: the one called", True)
    ]
    options = [*COMMON_OPTIONS, CHANGE_OPTIONS[0]]

    def run_call(self) -> int:
        """Begin the drain."""
        request = pb.DrainRequest(
            daemon=self.argument("daemon") or "",
            operator=self.option("operator") or _find_user(),
        )
        return self.make_call(
            lambda stub: stub.Drain,
            request,
            lambda reply: [("STATE",), (reply.state,)],
        )


class SwitchoverCommand(OperatorCommand):
    """Moves a primary."""

    name = step = "switchover"
    description = "Make another endpoint the primary."
    arguments = [
        argument("database", "name of the database"),
        argument("target", "endpoint that becomes the primary"),
    ]
    options = [*COMMON_OPTIONS, *CHANGE_OPTIONS]

    def run_call(self) -> int:
        """Move the primary."""
        operator, change_id = self.read_change()
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
    """Lists the audit trail."""

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
            raise _refuse("--limit", f"expected a number, got {limit!r}")
        request = pb.AuditRequest(
            database=self.argument("database") or "", limit=int(limit)
        )
        return self.make_call(
            lambda stub: stub.Audit, request, output.list_audit
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
    """Return the command line."""
    created = cleo.application.Application("fescuestile", VERSION)
    for cls in COMMANDS:
        created.add(cls())
    return created


def main() -> None:
    """Run the command line; the binary's entry point."""
    created = create_application()
    created.catch_exceptions(False)
    try:
        sys.exit(created.run())
    except cleo.exceptions.CleoError as error:
        print(f"error: {error} (step {STEP})", file=sys.stderr)
        sys.exit(calls.EXIT_BAD_INPUT)


def _find_user() -> str:
    try:
        return getpass.getuser()
    except (KeyError, OSError):
        return "unknown"


def _refuse(field: str, message: str) -> errors.InvalidInput:
    return errors.InvalidInput(message, STEP, field=field)
