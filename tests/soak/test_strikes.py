import random
import unittest

from soak.strikes import draw_strike


class StrikeTest(unittest.TestCase):
    def test_a_seed_fixes_the_strikes(self):
        first, second = (
            [draw_strike(rng, number) for number in range(5)]
            for rng in (random.Random(7), random.Random(7))
        )
        self.assertEqual(first, second)
