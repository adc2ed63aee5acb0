"""JSON lines as exchanges speak them: bytes to lines and back, without I/O or clock."""
