"""The call agent: puts runtime, protocol and decisions together; decides nothing itself."""
