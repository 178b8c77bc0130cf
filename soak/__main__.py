"""Command line: ``python -m soak run --seed N``."""

import asyncio
import json
import pathlib
import sys
import tempfile
import typing

import cleo.application
import cleo.commands.command
import cleo.helpers

from soak import faults
from soak import world

RUN_SECONDS = 15.0
DAEMON_COUNT = 3
CALLER_COUNT = 12
FAILED_SEEDS = pathlib.Path(__file__).with_name("seeds.txt")


async def run_seed(
    seed: int, seconds: float, daemons: int, folder: pathlib.Path
) -> dict[str, typing.Any]:
    """Run one seed.

    :param seconds: duration of the run
    :param daemons: number of daemons
    :param folder: folder for settings and logs
    :returns: faults, outcomes, violations and the folder
    """
    planned = faults.draw_faults(seed, seconds)
    environment = world.World(
        seed, folder, daemons, CALLER_COUNT * daemons // DAEMON_COUNT
    )
    try:
        await environment.start()
        await environment.run(planned, seconds)
    finally:
        await environment.close()
    return {
        "seed": seed,
        "faults": len(planned),
        "outcomes": dict(sorted(environment.history.outcomes.items())),
        "broken": environment.history.violations,
        "logs": str(folder),
    }


def run_one(seed: int, seconds: float, daemons: int) -> dict[str, typing.Any]:
    """Run one seed with a new folder for its logs."""
    folder = pathlib.Path(tempfile.mkdtemp(prefix=f"soak-{seed}-"))
    return asyncio.run(run_seed(seed, seconds, daemons, folder))


class RunCommand(cleo.commands.command.Command):
    """Runs seeds in sequence."""

    name = "run"
    description = "Run seeds; fails if a guarantee was violated."
    options = [
        cleo.helpers.option("seed", None, "First seed.", flag=False),
        cleo.helpers.option(
            "count", None, "Number of seeds.", flag=False, default="1"
        ),
        cleo.helpers.option(
            "seconds",
            None,
            "Duration of each run in seconds.",
            flag=False,
            default=str(RUN_SECONDS),
        ),
        cleo.helpers.option(
            "daemons",
            None,
            "Number of daemons.",
            flag=False,
            default=str(DAEMON_COUNT),
        ),
        cleo.helpers.option(
            "output",
            None,
            "Output format: table or json.",
            flag=False,
            default="table",
        ),
    ]

    def handle(self) -> int:
        """Run the seeds and print their results.

        :returns: exit code, 1 if a seed failed
        """
        first = int(self.option("seed") or 1)
        failed = 0
        for seed in range(first, first + int(self.option("count"))):
            result = run_one(
                seed,
                float(self.option("seconds")),
                int(self.option("daemons")),
            )
            failed += bool(result["broken"])
            if self.option("output") == "json":
                self.line(json.dumps(result))
                continue
            state = "broken" if result["broken"] else "ok"
            self.line(f"seed {seed}: {state}, {result['faults']} faults")
            for line in result["broken"][:5]:
                self.line(f"  {line}")
            if result["broken"]:
                self.line(f"  logs: {result['logs']}")
        return 1 if failed else 0


class ListCommand(cleo.commands.command.Command):
    """Lists the faults of a seed."""

    name = "list"
    description = "List the faults of a seed, or the seeds that once failed."
    options = [cleo.helpers.option("seed", None, "Seed.", flag=False)]

    def handle(self) -> int:
        """Print the faults of a seed, or the seeds that once failed."""
        seed = self.option("seed")
        if seed is None:
            self.line(FAILED_SEEDS.read_text(encoding="utf-8").rstrip())
            return 0
        for fault in faults.draw_faults(int(seed), RUN_SECONDS):
            self.line(
                f"{fault.at:6.2f} s  {fault.kind}, {fault.seconds} s,"
                f" {fault.pick}"
            )
        return 0


def main() -> int:
    """Run the command line."""
    application = cleo.application.Application("soak")
    application.add(RunCommand())
    application.add(ListCommand())
    return application.run()


if __name__ == "__main__":
    sys.exit(main())
