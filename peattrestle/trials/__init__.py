"""Fault trials: real agent processes over loopback, stand-ins around them, and a judge."""
