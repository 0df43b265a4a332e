import random
import unittest

from wasabipitch.group.exchange import RETRY_PAUSE_S
from wasabipitch.policy.window import ConcurrencyWindow

SERVICE_S = 0.012
SLOTS, QUEUE = 4, 16
TICK_S = 0.001
OWNERS, PART = 7, 8


class ReplayTest(unittest.TestCase):
    """Owners that together hold more connections than an instance has places.

    Shape of a crest on a group of the grown fleet whose primary had just been
    replaced: every owner has work for all its connections.
    """

    def replay(self, windows):
        rng = random.Random(7)
        at_instance, ran, refused = [], 0, 0
        at_s = 0.0
        again_at_s = [0.0] * OWNERS
        while at_s < 5.0:
            at_s += TICK_S
            for place in list(at_instance[:SLOTS]):
                if rng.random() < TICK_S / SERVICE_S:
                    at_instance.remove(place)
                    ran += 1
                    if windows:
                        windows[place].note_answer()
            for owner in range(OWNERS):
                mine = at_instance.count(owner)
                full = mine >= (windows[owner].size if windows else PART)
                if full or at_s < again_at_s[owner]:
                    continue
                if len(at_instance) < SLOTS + QUEUE:
                    at_instance.append(owner)
                    continue
                refused += 1
                again_at_s[owner] = at_s + RETRY_PAUSE_S
                if windows:
                    windows[owner].note_busy(mine, at_s)
        return ran, refused

    def test_statements_are_rarely_turned_away_and_as_many_run(self):
        ran_off, refused_off = self.replay([])
        ran_on, refused_on = self.replay([ConcurrencyWindow(PART) for _ in range(7)])
        self.assertGreater(refused_off, ran_off)
        self.assertLess(refused_on, ran_on / 5)
        self.assertGreater(ran_on, 0.95 * ran_off)

    def test_it_never_closes_and_never_passes_its_limit(self):
        window = ConcurrencyWindow(6)
        for n in range(100):
            window.note_busy(1, float(n))
        self.assertEqual(window.size, 1)
        for _ in range(1000):
            window.note_answer()
        self.assertEqual(window.size, 6)

    def test_refusals_that_come_together_count_once(self):
        window = ConcurrencyWindow(8)
        for _ in range(10):
            window.note_busy(8, 1.0)
        self.assertEqual(window.size, 5)
