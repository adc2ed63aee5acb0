"""The subset of SIP that callers speak: bytes to messages and back, without I/O or clock."""
