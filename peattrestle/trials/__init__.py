"""Fault trials: real agent processes among stand-ins on loopback, checked against the documented rules."""
