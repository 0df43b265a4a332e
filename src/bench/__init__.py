"""Open-loop load and measurements against a fleet of real processes."""
