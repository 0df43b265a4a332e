"""Admission control for requests that wait for a connection.

Above the capacity of the instances not all requests can be served in time. A request
that is expected to wait too long is refused on arrival, so that its caller doesn't
have to wait until the deadline for the refusal.
"""

import msgspec

# A gateway's queue grows this long only if every instance of a group is gone. A pool
# has a limit of its own, in ``limits``.
MAX_QUEUED = 512
# Share of the response-time objective that a request may spend in the queue.
WAIT_SHARE = 0.8
# Share of the remaining time that the expected wait may take. The expected wait is a
# mean, and the actual one may be longer.
EXPECTED_WAIT_SHARE = 0.8
# Leaves time to open a connection, which takes some 20 ms.
MIN_WAIT_S = 0.1


class QueueState(msgspec.Struct, frozen=True):
    """The queue for the connections that can serve a new request.

    Args:
        ahead: The number of queued requests that are served before it.
        servers: The number of connections that may serve it, free or in use.
        checkout_s: The mean duration of a checkout, including the pauses of
            transactions.
    """

    ahead: int
    servers: int
    checkout_s: float


class TimeBudget(msgspec.Struct, frozen=True):
    """The time that a request has left.

    Args:
        wait_s: The time that it may spend in the queue.
        left_s: The time until its time limit.
        run_s: The time that it is expected to run once it has a connection.
    """

    wait_s: float
    left_s: float
    run_s: float


class Refusal(msgspec.Struct, frozen=True):
    """The reason why a request is refused."""

    reason: str


def max_wait_s(objective_s: float) -> float:
    """Return how long a request may wait in the queue.

    Above capacity, a queue without this limit makes all requests late. With it, the
    requests that are served are served in time, and the others are refused early
    and can be retried by their callers.

    Args:
        objective_s: The response-time objective of the request.
    """
    return max(MIN_WAIT_S, WAIT_SHARE * objective_s)


def expected_wait_s(queue: QueueState) -> float:
    """Return how long a new request is expected to wait, 0 without connections."""
    if queue.servers <= 0:
        return 0.0
    return (queue.ahead + 1) * queue.checkout_s / queue.servers


def check_admission(queue: QueueState, budget: TimeBudget) -> Refusal | None:
    """Return why a request is refused, or None if it may wait.

    The expected wait depends on how long other requests keep their connections
    checked out, pauses of transactions included. The request's own run time is that
    of one statement.

    Args:
        queue: The state of the queue on arrival.
        budget: The time that the request has left.
    """
    if budget.left_s <= budget.run_s:
        return Refusal("no time is left to run it")
    if queue.ahead >= MAX_QUEUED:
        return Refusal(f"{MAX_QUEUED} requests wait already")
    wait_s = expected_wait_s(queue)
    if wait_s > budget.wait_s * EXPECTED_WAIT_SHARE:
        return Refusal(f"the expected wait of {wait_s:.3f} s is too long")
    if wait_s + budget.run_s > budget.left_s * EXPECTED_WAIT_SHARE:
        return Refusal(f"the expected wait of {wait_s:.3f} s exceeds the time limit")
    return None
