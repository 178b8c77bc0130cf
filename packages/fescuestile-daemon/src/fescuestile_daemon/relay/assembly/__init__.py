"""Builds and runs the relay of one daemon."""
