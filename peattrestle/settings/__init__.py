"""HCL to one checked, typed, immutable value; the table of defaults with units and bounds."""
