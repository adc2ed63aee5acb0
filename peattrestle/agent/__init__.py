"""The call agent: connects the runtime, the H.248 protocol and the routing module."""
