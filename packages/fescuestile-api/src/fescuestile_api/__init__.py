"""Protobuf schema, generated code and validation of messages."""
