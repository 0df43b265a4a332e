"""Observability for operators: decision logs, metrics and the status server."""
