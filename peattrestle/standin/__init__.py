"""Simulated surroundings of a call agent: exchanges, trunk groups, callers, the exchange list, faults."""
