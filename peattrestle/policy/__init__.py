"""Decisions of the call agent that stand apart from routing; pure, without I/O or clock."""
