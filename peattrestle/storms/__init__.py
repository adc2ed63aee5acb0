"""Detection and damping of retry and reconnect storms, and notices to gateways; no I/O and no clock."""
