"""Command line of the capacity page.

``python -m measurements.capacity record [NAME ...]`` runs slope measurements
and stores their results in ``slopes.json``; ``python -m measurements.capacity
page`` writes the tables of ``docs/CAPACITY.md`` from these results.
"""

import pathlib
import sys

import cleo.application
from cleo.commands import command
import cleo.helpers

from measurements import capacity_page
from measurements import registry
from measurements import slope_file
from measurements import slopes

PAGE = pathlib.Path(__file__).parents[1] / "docs" / "CAPACITY.md"


class RecordCommand(command.Command):
    """Runs slope measurements and stores their results."""

    name = "record"
    description = "Run slope measurements and store them in slopes.json."
    arguments = [
        cleo.helpers.argument("names", optional=True, multiple=True),
    ]
    options = [cleo.helpers.option("seed", flag=False, default="1")]

    def handle(self) -> int:
        """Run the named slope measurements, or all of them."""
        available = registry.find_measurements()
        for name in self.argument("names") or available:
            measurement = available.get(name)
            if isinstance(measurement, slopes.SlopeMeasurement):
                report = measurement.run(int(self.option("seed")))
                recorded = slope_file.read()
                recorded.put(slope_file.convert_report(measurement, report))
                recorded.write()
                self.line(f"recorded {name}")
        return 0


class PageCommand(command.Command):
    """Writes the tables of the capacity page."""

    name = "page"
    description = "Write the tables of docs/CAPACITY.md."

    def handle(self) -> int:
        """Replace the tables between the page's markers."""
        tables = capacity_page.render(slope_file.read())
        text = PAGE.read_text(encoding="utf-8")
        page = capacity_page.replace_tables(text, tables)
        PAGE.write_text(page, encoding="utf-8")
        return 0


def main() -> int:
    """Run the command line."""
    app = cleo.application.Application("measurements.capacity")
    app.add(RecordCommand())
    app.add(PageCommand())
    return app.run()


if __name__ == "__main__":
    sys.exit(main())
