"""The messages between callers, hosts and instances, whatever their encoding."""
