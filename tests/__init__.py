"""Tests of fescuestile."""
