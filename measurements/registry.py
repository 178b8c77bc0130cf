"""Finds the measurements of this package."""

import importlib
import pkgutil

import measurements
from measurements import frame


def find_measurements() -> dict[str, frame.Measurement]:
    """Return all measurements by name."""
    found: dict[str, frame.Measurement] = {}
    for module in pkgutil.iter_modules(measurements.__path__):
        if module.name.startswith("__"):
            continue
        loaded = importlib.import_module(f"measurements.{module.name}")
        create = getattr(loaded, "create_measurements", tuple)
        for measurement in create():
            if measurement.name in found:
                raise ValueError(f"two measurements named {measurement.name}")
            found[measurement.name] = measurement
    return dict(sorted(found.items()))
