"""Detection of failed primaries and their replacement."""
