"""Soak test: checks guarantees of real daemons under injected faults."""
