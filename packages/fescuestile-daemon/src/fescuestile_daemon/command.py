"""Command line of the daemon: ``fescuestiled --config FILE``."""

import asyncio
import signal
import sys

from cleo import application
from cleo.commands import command
from cleo.helpers import option
import structlog

from fescuestile import errors
from fescuestile_daemon import logs
from fescuestile_daemon import security
from fescuestile_daemon import server
from fescuestile_daemon import settings

log = structlog.get_logger(__name__)

EXIT_OK = 0
EXIT_BAD_INPUT = 2
EXIT_UNAVAILABLE = 3
VERSION = "0.1.0"


class RunCommand(command.Command):
    """Runs a daemon until SIGTERM or SIGINT."""

    name = "fescuestiled"
    description = "Run a proxy daemon."
    options = [
        option("config", "c", "settings file (INI)", flag=False),
        option("check", None, "check the settings and exit"),
    ]

    def handle(self) -> int:
        """Run the command.

        :returns: exit code
        """
        path = self.option("config")
        if not path:
            self.line_error("the option --config FILE is required")
            return EXIT_BAD_INPUT
        read = settings.read_settings(path)
        if read.is_error():
            self.line_error(str(read.error))
            return EXIT_BAD_INPUT
        try:
            security.create_security(read.ok.tls)
        except errors.InvalidInput as error:
            self.line_error(str(error))
            return EXIT_BAD_INPUT
        if self.option("check"):
            self.line(f"{path}: the settings are valid")
            return EXIT_OK
        logs.configure_logs(read.ok.logging, read.ok.daemon.name)
        try:
            asyncio.run(run_daemon(read.ok))
        except errors.FescuestileError as error:
            self.line_error(str(error))
            return EXIT_UNAVAILABLE
        return EXIT_OK


async def run_daemon(options: settings.Settings) -> None:
    """Run a daemon until SIGTERM or SIGINT, then drain and close it.

    :raises FescuestileError: the daemon could not start
    """
    stop = asyncio.Event()
    loop = asyncio.get_running_loop()
    for number in (signal.SIGTERM, signal.SIGINT):
        loop.add_signal_handler(number, stop.set)
    daemon_server = server.Server(options)
    stop_task = asyncio.create_task(stop.wait())
    start_task = asyncio.create_task(daemon_server.start())
    try:
        await asyncio.wait(
            (start_task, stop_task), return_when=asyncio.FIRST_COMPLETED
        )
        if start_task.done():
            await start_task
            await stop_task
            finished = await daemon_server.drain()
            log.info("daemon drained", finished=finished)
    finally:
        for task in (start_task, stop_task):
            task.cancel()
        await asyncio.gather(start_task, stop_task, return_exceptions=True)
        await daemon_server.close()


def main() -> None:
    """Run the command line: the entry point of ``fescuestiled``."""
    app = application.Application("fescuestiled", VERSION)
    run = RunCommand()
    app.add(run)
    app._default_command = run.name
    app._single_command = True
    sys.exit(app.run())
