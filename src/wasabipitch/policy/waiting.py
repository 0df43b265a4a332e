"""Who waits for a connection, in which order, and who is refused.

Answers arrivals above what the slots can carry: a request that can't be served
in time is refused when it comes, never held until its deadline.
"""

from dataclasses import dataclass

# More wait only when every instance of a group is gone.
MAX_WAITING = 512


@dataclass(frozen=True, slots=True)
class Line:
    """The requests that wait for the connections a new one would need.

    Args:
        ahead: requests that go before it.
        servers: connections that may serve it, free or in use.
        service_s: how long one request holds a connection.
    """

    ahead: int
    servers: int
    service_s: float


@dataclass(frozen=True, slots=True)
class Refusal:
    """Why a request is refused."""

    reason: str


def expected_wait_s(line: Line) -> float:
    """Return how long a new request is expected to wait."""
    if line.servers <= 0:
        return 0.0
    return (line.ahead + 1) * line.service_s / line.servers


def admit(line: Line, left_s: float) -> Refusal | None:
    """Return why a request is refused, or None if it may wait.

    Args:
        line: of the requests that it would wait behind.
        left_s: the time that it has.
    """
    if left_s <= line.service_s:
        return Refusal("no time is left to run it")
    if line.ahead >= MAX_WAITING:
        return Refusal(f"{MAX_WAITING} requests wait already")
    wait_s = expected_wait_s(line)
    if wait_s + line.service_s > left_s:
        return Refusal(f"the expected wait of {wait_s:.3f} s passes the time limit")
    return None
