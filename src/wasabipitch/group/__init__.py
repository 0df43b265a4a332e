"""Serves a database group: runs its statements and replaces a failed primary."""
