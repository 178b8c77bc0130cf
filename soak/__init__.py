"""Fault soak: real daemons as processes, faults from outside, promises."""
