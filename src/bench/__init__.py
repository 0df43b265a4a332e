"""Open-loop load tests and measurements on a fleet of real processes."""
