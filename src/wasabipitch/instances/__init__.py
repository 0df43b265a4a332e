"""Connections to database instances: opening, lending and taking back."""
