"""A small HTTP client and server over httptools.

A restarting host serves no callers until its imports are done, and importing a full
HTTP library took two thirds of that time.
"""
