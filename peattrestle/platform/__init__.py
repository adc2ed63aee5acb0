"""The call agent for the platform: SIP callers, JSON-line exchanges, control feed, configuration, signals."""
