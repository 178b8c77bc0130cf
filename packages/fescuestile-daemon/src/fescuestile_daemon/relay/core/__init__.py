"""What all parts of the relay share: messages, ports, options."""
