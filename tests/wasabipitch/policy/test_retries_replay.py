import unittest

from wasabipitch.policy.read_leases import READ_LEASE_S
from wasabipitch.policy.retries import (
    MIN_PROMOTION_S,
    Outage,
    may_wait_for_primary,
    may_wait_for_registration,
)

CALLERS = 40
LIMIT_S = 0.6
# A caller whose request was refused sends it again this many times, after pauses.
RETRIES = 2
RETRY_PAUSE_S = 0.05
TICK_S = 0.005


def replay_restart(registered_at_s, waits):
    """Simulate the callers of a host that has just started.

    After a loss of power all callers reconnect to the listening socket before the host
    is registered.

    Args:
        registered_at_s: When the host may use the primary, after the first request.
        waits: Whether requests wait by ``may_wait_for_registration``, or else are
            refused at once.

    Returns:
        The share of the callers that are served within their time limit.
    """
    served = 0
    for n in range(CALLERS):
        arrived_s = n * TICK_S
        at_s, refusals = arrived_s, 0
        while at_s - arrived_s < LIMIT_S:
            if at_s >= registered_at_s:
                served += 1
                break
            if waits and may_wait_for_registration(at_s):
                at_s += TICK_S
                continue
            refusals += 1
            if refusals > RETRIES:
                break
            at_s += RETRY_PAUSE_S
    return served / CALLERS


def replay_replacement(ends_s, decides):
    """Simulate the requests that arrive while a silent host holds a replacement up.

    Args:
        ends_s: When the new primary is established.
        decides: Whether requests wait by ``may_wait_for_primary``, or else until their
            time limit.

    Returns:
        The share of the requests that are served, and the mean time in seconds for
        which the others are held.
    """
    served, held_s = 0, []
    for n in range(200):
        arrived_s = n * ends_s / 200
        at_s = arrived_s
        while at_s < ends_s:
            left_s = LIMIT_S - (at_s - arrived_s)
            outage = Outage(at_s, None, True)
            if left_s <= 0 or (decides and not may_wait_for_primary(outage, left_s)):
                held_s.append(at_s - arrived_s)
                break
            at_s += TICK_S
        else:
            served += 1
    return served / 200, sum(held_s) / len(held_s)


class RestartReplay(unittest.TestCase):
    def test_callers_that_reconnect_before_the_registration_are_served(self):
        self.assertLess(replay_restart(0.35, waits=False), 0.6)
        self.assertEqual(replay_restart(0.35, waits=True), 1.0)


class ReplacementReplay(unittest.TestCase):
    ends_s = READ_LEASE_S + MIN_PROMOTION_S + 0.05

    def test_requests_that_cannot_be_served_are_refused_early(self):
        served, held_s = replay_replacement(self.ends_s, decides=False)
        self.assertGreater(held_s, 0.5)
        decided, decided_held_s = replay_replacement(self.ends_s, decides=True)
        self.assertAlmostEqual(decided, served, delta=0.05)
        # Those of the first moments wait, since all hosts might answer at once.
        self.assertLess(decided_held_s, 0.15)
