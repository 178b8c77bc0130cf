"""Tests of whole paths inside one process."""
