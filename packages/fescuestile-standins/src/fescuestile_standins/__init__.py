"""Stand-ins for the platform, endpoints and callers."""
