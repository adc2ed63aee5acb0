"""The control feed: numbered events read and applied once, without I/O or clock."""
