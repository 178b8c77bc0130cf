"""Gherkin scenarios, most of them against real processes."""
