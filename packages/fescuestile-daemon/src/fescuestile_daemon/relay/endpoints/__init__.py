"""Endpoints of a group: their connections, admission and health."""
