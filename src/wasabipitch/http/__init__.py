"""A small HTTP client and server over httptools.

A host that restarts serves nobody until its imports are done; a full HTTP
library took two thirds of that time.
"""
