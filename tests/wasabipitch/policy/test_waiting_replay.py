import random
import unittest

from wasabipitch.policy.waiting import (
    QueueState,
    TimeBudget,
    check_admission,
    max_wait_s,
)

SERVICE_S = 0.012
SLOTS = 4
OBJECTIVE_S, LIMIT_S = 0.2, 0.8
TICK_S = 0.001


def replay(load, limited):
    """Simulate an instance and its queue, and return two shares.

    With more arrivals than the slots can run, a queue without a limit on the wait
    makes all requests late. This happens when one instance has to carry the load of
    two, as after the failure of a primary while a replica is unreachable.

    Args:
        load: The rate of arrivals as a multiple of the capacity.
        limited: Whether the wait is limited by ``max_wait_s``, or else by the time
            limit only.

    Returns:
        The share of the arrived requests that were served within the objective, and
        the share of the refusals that were made on arrival.
    """
    rng = random.Random(11)
    queue, running, at_s = [], [], 0.0
    arrived = in_time = refused = refused_soon = 0
    while at_s < 20.0:
        at_s += TICK_S
        running = [end_s for end_s in running if end_s > at_s]
        if rng.random() < load * SLOTS / SERVICE_S * TICK_S:
            arrived += 1
            left_s = max_wait_s(OBJECTIVE_S) if limited else LIMIT_S
            budget = TimeBudget(left_s, LIMIT_S, SERVICE_S)
            if (
                check_admission(QueueState(len(queue), SLOTS, SERVICE_S), budget)
                is None
            ):
                queue.append((at_s, at_s + left_s))
            else:
                refused, refused_soon = refused + 1, refused_soon + 1
        expired = [entry for entry in queue if entry[1] <= at_s]
        refused += len(expired)
        queue = [entry for entry in queue if entry[1] > at_s]
        while queue and len(running) < SLOTS:
            arrived_s, _ = queue.pop(0)
            end_s = at_s + rng.expovariate(1 / SERVICE_S)
            running.append(end_s)
            in_time += end_s - arrived_s <= OBJECTIVE_S
    return in_time / arrived, refused_soon / max(1, refused)


class ReplayTest(unittest.TestCase):
    def test_requests_within_capacity_are_served_in_time_under_overload(self):
        for load in (1.2, 1.4, 2.0):
            with self.subTest(load=load):
                self.assertLess(replay(load, limited=False)[0], 0.5 / load)
                in_time, refused_soon = replay(load, limited=True)
                self.assertGreater(in_time, 0.9 / load)
                self.assertGreater(refused_soon, 0.95)

    def test_requests_are_not_refused_below_capacity(self):
        self.assertGreater(replay(0.7, limited=True)[0], 0.99)
