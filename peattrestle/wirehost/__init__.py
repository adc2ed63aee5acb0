"""Adapter to the simulator's line protocol on standard input and output; one controller per call agent."""
