"""Plays a script against agents and stand-ins, judges the rules from the traffic, reports."""
