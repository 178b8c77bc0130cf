"""Callers' sessions, statements and transactions."""
