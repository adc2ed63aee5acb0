"""Stand-ins for the review's cases: callers, exchanges, control feed, and the call agent as a process."""
