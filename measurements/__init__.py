"""Measurements of fescuestile, run by name and seed.

A module of this package that has a function ``create_measurements``
returning measurements adds them to the list.
"""
