"""Spreads bulk data over time, so that short messages on the same link go first."""

from collections.abc import Callable

from wasabipitch.clock import now_s

# The share of a link's bandwidth that bulk data may take. Statements of callers wait
# for at most the part that is being sent.
LINK_SHARE = 0.5
BITS_PER_BYTE = 8


def find_bulk_rate(link_mbps: float) -> float:
    """Return the bytes per second of bulk data on a link, or 0 for no limit.

    Args:
        link_mbps: The bandwidth of the link in Mbit/s, or 0 if it is unknown.
    """
    return link_mbps * 1e6 / BITS_PER_BYTE * LINK_SHARE


class Pacer:
    """Keeps the parts that are sent below a rate.

    Args:
        bytes_per_s: The rate, or 0 for no limit.
        read_time_s: Returns the time in seconds.
    """

    def __init__(
        self, bytes_per_s: float, read_time_s: Callable[[], float] = now_s
    ) -> None:
        self._bytes_per_s = bytes_per_s
        self._read_time_s = read_time_s
        self._free_at_s = 0.0

    def reserve(self, size: int) -> float:
        """Reserve the time of a part; return the seconds to wait before sending it.

        Args:
            size: The size of the part in bytes.
        """
        if self._bytes_per_s <= 0:
            return 0.0
        at_s = self._read_time_s()
        starts_at_s = max(at_s, self._free_at_s)
        self._free_at_s = starts_at_s + size / self._bytes_per_s
        return starts_at_s - at_s
