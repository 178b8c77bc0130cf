"""Scenarios in Gherkin against real processes."""
