"""Measurements of fescuestile, run by name and seed.

A module of this package adds its measurements to the list by a function
``create_measurements`` that returns them.
"""
