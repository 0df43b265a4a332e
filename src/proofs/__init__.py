"""Records histories of callers under faults and checks the proxy's guarantees."""
