"""Stand-ins for the outside systems: a database instance and the platform."""
