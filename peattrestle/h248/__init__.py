"""H.248.1 text encoding, TPKT framing and transactions: bytes to messages and back, without I/O."""
