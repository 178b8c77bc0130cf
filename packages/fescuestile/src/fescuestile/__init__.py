"""Coordination logic of a database proxy with session consistency."""
