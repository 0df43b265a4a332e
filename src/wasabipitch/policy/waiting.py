"""Who waits for a connection, in which order, and who is refused.

Answers arrivals above what the slots can carry: a request that can't be served
in time is refused when it comes, never held until its deadline.
"""

from dataclasses import dataclass

# More wait only when every instance of a group is gone.
MAX_QUEUED = 512
# Of the response-time objective, what waiting may use up.
WAIT_SHARE = 0.8
# Of the time there is, what the expected wait may use up: it is only a mean.
EXPECTED_WAIT_SHARE = 0.8
# A connection that has to be opened takes some 20 ms.
MIN_WAIT_S = 0.1


@dataclass(frozen=True, slots=True)
class QueueState:
    """The requests that wait for the connections a new one would need.

    Args:
        ahead: requests that go before it.
        servers: connections that may serve it, free or in use.
        held_s: how long one request holds a connection, pauses included.
    """

    ahead: int
    servers: int
    checkout_s: float


@dataclass(frozen=True, slots=True)
class TimeBudget:
    """The time that a request has.

    Args:
        wait_s: that it may spend in queue.
        left_s: until its time limit.
        run_s: that it is expected to run, once it has a connection.
    """

    wait_s: float
    left_s: float
    run_s: float


@dataclass(frozen=True, slots=True)
class Refusal:
    """Why a request is refused."""

    reason: str


def max_wait_s(objective_s: float) -> float:
    """Return how long a request may wait in queue.

    Above what the slots can carry, a line in which all wait for long makes all of
    them late; with this limit those that are served are served in time, and the
    others hear soon that they may come again.

    Args:
        objective_s: the response time that callers look for.
    """
    return max(MIN_WAIT_S, WAIT_SHARE * objective_s)


def expected_wait_s(queue: QueueState) -> float:
    """Return how long a new request is expected to wait."""
    if queue.servers <= 0:
        return 0.0
    return (queue.ahead + 1) * queue.checkout_s / queue.servers


def check_admission(queue: QueueState, budget: TimeBudget) -> Refusal | None:
    """Return why a request is refused, or None if it may wait.

    Others hold connections for as long as their transactions pause; the request
    itself runs for less, so that only its wait depends on them.

    Args:
        queue: of the requests that it would wait behind.
        budget: the time that it has.
    """
    if budget.left_s <= budget.run_s:
        return Refusal("no time is left to run it")
    if queue.ahead >= MAX_QUEUED:
        return Refusal(f"{MAX_QUEUED} requests wait already")
    wait_s = expected_wait_s(queue)
    if wait_s > budget.wait_s * EXPECTED_WAIT_SHARE:
        return Refusal(f"the expected wait of {wait_s:.3f} s is too long")
    if wait_s + budget.run_s > budget.left_s * EXPECTED_WAIT_SHARE:
        return Refusal(f"the expected wait of {wait_s:.3f} s passes the time limit")
    return None
