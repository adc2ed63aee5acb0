"""Stand-ins for all that surrounds a call agent: exchanges, groups, callers, the list; and their faults."""
