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
        """Print names and descriptions."""
        for name, measurement in registry.find_measurements().items():
            self.line(f"{name}: {measurement.description}")
        return 0


class RunCommand(cleo.commands.command.Command):
    """Runs one measurement."""

    name = "run"
    description = "Run a measurement; a missed target is no failure."
    arguments = [cleo.helpers.argument("name", "Name of the measurement.")]
    options = [
        cleo.helpers.option("seed", None, "Seed.", flag=False, default="1"),
        cleo.helpers.option(
            "output", None, "table or json.", flag=False, default="table"
        ),
        cleo.helpers.option("plot", None, "File for a plot.", flag=False),
    ]

    def handle(self) -> int:
        """Run it and print the report."""
        found = registry.find_measurements()
        name = self.argument("name")
        if name not in found:
            known = ", ".join(found)
            return self._refuse(f"name: unknown {name!r}; known: {known}")
        if not self.option("seed").isdecimal():
            return self._refuse("--seed: must be a whole number")
        formats = {"table": output.format_table, "json": output.format_json}
        if self.option("output") not in formats:
            return self._refuse("--output: must be table or json")
        measurement = found[name]
        report = measurement.run(int(self.option("seed")))
        print(formats[self.option("output")](report))
        if self.option("plot"):
            try:
                measurement.plot(report, self.option("plot"))
            except (NotImplementedError, OSError, ValueError) as error:
                return self._refuse(f"--plot: {error}")
        return 0

    def _refuse(self, message: str) -> int:
        print(message, file=sys.stderr)
        return EXIT_USAGE


def create_application() -> cleo.application.Application:
    """Return the command line."""
    created = cleo.application.Application("measurements")
    created.add(ListCommand())
    created.add(RunCommand())
    return created


def main() -> int:
    """Run the command line."""
    return create_application().run()


if __name__ == "__main__":
    sys.exit(main())
