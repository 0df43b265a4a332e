"""The messages between callers, hosts and instances, and their connections.

The messages don't depend on an encoding; the platform's adapter brings the codecs.
"""
