"""Accepts callers' connections and runs their sessions."""
