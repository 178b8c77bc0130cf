"""Measurements of fescuestile, run by name and seed."""
