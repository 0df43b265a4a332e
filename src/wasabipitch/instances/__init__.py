"""Connections to database instances, their pools, and the queue for them."""
