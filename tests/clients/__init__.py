"""Tests with clients that misbehave, against a real host process."""
