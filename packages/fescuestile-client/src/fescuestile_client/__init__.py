"""Client library: sessions, statements and transactions of a caller."""
