"""Record of a run: what was sent, answered and run."""

import pathlib
import time
import typing


class Record:
    """Writes lines with the seconds since the start of the run."""

    def __init__(self, path: pathlib.Path) -> None:
        """Open the file anew."""
        self._file = path.open("w", encoding="utf-8")
        self._began_at = time.monotonic()

    @property
    def now(self) -> float:
        """Seconds since the start of the run."""
        return time.monotonic() - self._began_at

    def write(self, what: str, **fields: typing.Any) -> None:
        """Write a line."""
        text = " ".join(f"{name}={value}" for name, value in fields.items())
        self._file.write(f"{self.now:9.3f} {what} {text}\n")
        self._file.flush()

    def close(self) -> None:
        """Close the file."""
        self._file.close()
