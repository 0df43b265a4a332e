"""Metrics for statsd. docs/OPERATORS.md lists every name."""

from collections import Counter
from typing import Protocol

import statsd

from wasabipitch.models import Address


class Metrics(Protocol):
    """The interface for reporting counters, gauges and timings."""

    def count(self, name: str, value: int = 1) -> None:
        """Add to a counter."""

    def gauge(self, name: str, value: float) -> None:
        """Set a gauge."""

    def timing(self, name: str, ms: float) -> None:
        """Record a duration in milliseconds."""


class StatsdMetrics:
    """Sends metrics to statsd over UDP and keeps the counters for ``ctl status``.

    Args:
        address: The address of the statsd daemon, or None to send nothing.
        prefix: The first part of every metric's name on the wire.
    """

    def __init__(self, address: Address | None = None, prefix: str = "wasabipitch"):
        self.counters: Counter[str] = Counter()
        self.gauges: dict[str, float] = {}
        self._client = None
        if address is not None:
            self._client = statsd.StatsClient(address.ip, address.port, prefix=prefix)

    def count(self, name: str, value: int = 1) -> None:
        """Add to a counter."""
        self.counters[name] += value
        if self._client is not None:
            self._client.incr(name, value)

    def gauge(self, name: str, value: float) -> None:
        """Set a gauge."""
        self.gauges[name] = value
        if self._client is not None:
            self._client.gauge(name, value)

    def timing(self, name: str, ms: float) -> None:
        """Record a duration in milliseconds."""
        if self._client is not None:
            self._client.timing(name, ms)
