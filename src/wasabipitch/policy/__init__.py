"""Decision rules without I/O: admission, placement, retries, leases, failover.

These modules import only value types. Callers pass in the facts that a decision is
based on, with their times or ages.
"""
