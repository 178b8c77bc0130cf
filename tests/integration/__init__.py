"""Tests of several daemons and endpoints inside one process."""
