"""Schema, generated code and border models."""
