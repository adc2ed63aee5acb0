"""H.248.1 text encoding, TPKT framing and transactions, without I/O."""
