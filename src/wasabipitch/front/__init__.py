"""Callers' connections: sessions, their statements and their end."""
