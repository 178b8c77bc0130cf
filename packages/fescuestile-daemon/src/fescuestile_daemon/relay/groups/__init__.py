"""Groups of endpoints: primaries, leadership, freshness, replication."""
