"""A database group: who leads it, how statements run, how a primary is replaced."""
