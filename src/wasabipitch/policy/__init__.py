"""Decisions without input or output: who waits, who is refused, who goes where.

Modules here import only values; what they decide on is passed in with its age.
"""
