"""The JSON-lines protocol of exchanges: decoding and encoding, without I/O or clock."""
