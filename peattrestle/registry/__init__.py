"""Clients of key-value registries, each for its published protocol. No I/O and no clock."""
