"""Tests of single parts."""
