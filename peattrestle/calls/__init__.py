"""State of calls and route tries, shared by all protocol front ends, and the checks before each send."""
