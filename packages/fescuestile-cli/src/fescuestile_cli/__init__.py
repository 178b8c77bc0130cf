"""Operators' command line ``fescuestile``."""
