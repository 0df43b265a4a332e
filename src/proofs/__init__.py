"""Proofs of the promises: histories recorded under faults, and their checker."""
