"""Registries of key and value, spoken to by their published protocols. No I/O, no clock."""
