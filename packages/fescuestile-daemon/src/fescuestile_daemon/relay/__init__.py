"""Relay of callers' statements over its own connections to endpoints."""
