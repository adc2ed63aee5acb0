"""The simulator's wire: lines in, lines out, one controller for each call agent."""
