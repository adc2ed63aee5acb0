"""Turns registry keys into the list of exchanges that the router may use. No I/O and no clock."""
