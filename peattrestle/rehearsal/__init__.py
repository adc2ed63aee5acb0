"""Plays a script against agents and simulated surroundings, checks the rules from the traffic, reports."""
