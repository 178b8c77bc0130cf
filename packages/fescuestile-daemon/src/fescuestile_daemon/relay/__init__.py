"""Relay of callers' statements to endpoints by connections of its own."""
