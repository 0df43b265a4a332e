"""What an operator sees: decision logs, metrics and the status server."""
