"""Retry and reconnect storms: seen, damped, signalled. Decisions only: no I/O, no clock."""
