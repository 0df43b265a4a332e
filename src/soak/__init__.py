"""Runs the real programs under random faults and checks their guarantees."""
