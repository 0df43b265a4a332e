import random
import unittest

from wasabipitch.policy.waiting import Budget, Line, admit, longest_wait_s

SERVICE_S = 0.012
SLOTS = 4
OBJECTIVE_S, LIMIT_S = 0.2, 0.8
TICK_S = 0.001


def replay(load, limited):
    """Return the shares of requests served in time, and refused within a quarter.

    Shape of a group of the grown fleet that has lost its primary while a replica
    was deaf: one instance carries what two should.
    """
    rng = random.Random(11)
    line, running, at_s = [], [], 0.0
    asked = in_time = refused = refused_soon = 0
    while at_s < 20.0:
        at_s += TICK_S
        running = [end_s for end_s in running if end_s > at_s]
        if rng.random() < load * SLOTS / SERVICE_S * TICK_S:
            asked += 1
            left_s = longest_wait_s(OBJECTIVE_S) if limited else LIMIT_S
            budget = Budget(left_s, LIMIT_S, SERVICE_S)
            if admit(Line(len(line), SLOTS, SERVICE_S), budget) is None:
                line.append((at_s, at_s + left_s))
            else:
                refused, refused_soon = refused + 1, refused_soon + 1
        gone = [entry for entry in line if entry[1] <= at_s]
        refused += len(gone)
        line = [entry for entry in line if entry[1] > at_s]
        while line and len(running) < SLOTS:
            arrived_s, _ = line.pop(0)
            end_s = at_s + rng.expovariate(1 / SERVICE_S)
            running.append(end_s)
            in_time += end_s - arrived_s <= OBJECTIVE_S
    return in_time / asked, refused_soon / max(1, refused)


class ReplayTest(unittest.TestCase):
    def test_above_capacity_what_the_slots_carry_is_served_in_time(self):
        for load in (1.2, 1.4, 2.0):
            with self.subTest(load=load):
                self.assertLess(replay(load, limited=False)[0], 0.5 / load)
                in_time, refused_soon = replay(load, limited=True)
                self.assertGreater(in_time, 0.9 / load)
                self.assertGreater(refused_soon, 0.95)

    def test_below_capacity_nobody_is_refused(self):
        self.assertGreater(replay(0.7, limited=True)[0], 0.99)
