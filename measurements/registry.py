"""Finds the measurements that modules of this package declare."""

import importlib
import pkgutil

import measurements
from measurements import base


def find_measurements() -> dict[str, base.Measurement]:
    """Return all measurements, sorted by name.

    :raises ValueError: two measurements have the same name
    """
    measurements_by_name: dict[str, base.Measurement] = {}
    for module in pkgutil.iter_modules(measurements.__path__):
        if module.name.startswith("__"):
            continue
        loaded = importlib.import_module(f"measurements.{module.name}")
        create = getattr(loaded, "create_measurements", tuple)
        for measurement in create():
            if measurement.name in measurements_by_name:
                raise ValueError(
                    f"duplicate measurement name: {measurement.name}"
                )
            measurements_by_name[measurement.name] = measurement
    return dict(sorted(measurements_by_name.items()))
