"""Coordination of the hosts through the platform's store, and through each other."""
