"""Runs the real programs under random faults and checks the promises to callers."""
