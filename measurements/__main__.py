"""Command line of the measurements."""

import sys

import cleo.application
import cleo.commands.command
import cleo.helpers

from measurements import output
from measurements import registry

EXIT_USAGE = 2


class ListCommand(cleo.commands.command.Command):
    """Lists the measurements."""

    name = "list"
    description = "List the measurements."

    def handle(self) -> int:
        """Print the name and description of each measurement."""
        for name, measurement in registry.find_measurements().items():
            self.line(f"{name}: {measurement.description}")
        return 0


class RunCommand(cleo.commands.command.Command):
    """Runs one measurement."""

    name = "run"
    description = "Run a measurement; a missed target does not fail it."
    arguments = [cleo.helpers.argument("name", "Name of the measurement.")]
    options = [
        cleo.helpers.option("seed", None, "Seed.", flag=False, default="1"),
        cleo.helpers.option(
            "output", None, "table or json.", flag=False, default="table"
        ),
        cleo.helpers.option("plot", None, "File for a plot.", flag=False),
    ]

    def handle(self) -> int:
        """Run the measurement, print its report and draw its plot."""
        available = registry.find_measurements()
        name = self.argument("name")
        if name not in available:
            known = ", ".join(available)
            return self._report_usage_error(
                f"name: unknown {name!r}; known: {known}"
            )
        if not self.option("seed").isdecimal():
            return self._report_usage_error("--seed: must be a whole number")
        formats = {"table": output.format_table, "json": output.format_json}
        if self.option("output") not in formats:
            return self._report_usage_error("--output: must be table or json")
        measurement = available[name]
        report = measurement.run(int(self.option("seed")))
        print(formats[self.option("output")](report))
        if self.option("plot"):
            try:
                measurement.plot(report, self.option("plot"))
            except (NotImplementedError, OSError, ValueError) as error:
                return self._report_usage_error(f"--plot: {error}")
        return 0

    def _report_usage_error(self, message: str) -> int:
        print(message, file=sys.stderr)
        return EXIT_USAGE


def create_application() -> cleo.application.Application:
    """Create the command line application."""
    created = cleo.application.Application("measurements")
    created.add(ListCommand())
    created.add(RunCommand())
    return created


def main() -> int:
    """Run the command line."""
    return create_application().run()


if __name__ == "__main__":
    sys.exit(main())
