"""Decisions of the call agent other than routing, such as shutdown; no I/O and no clock."""
