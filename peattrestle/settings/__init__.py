"""Reads HCL settings files into immutable, validated dataclasses that declare defaults, units and bounds."""
