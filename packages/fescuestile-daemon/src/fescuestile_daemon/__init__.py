"""Proxy daemon between callers and endpoints."""
