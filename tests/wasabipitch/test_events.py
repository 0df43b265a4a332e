import unittest

from wasabipitch.events import LOGICAL_BITS, Clock, Timeline
from wasabipitch.messages import AskEvents


class ClockTest(unittest.TestCase):
    def test_never_goes_back(self):
        wall = iter([5, 5, 3, 9])
        clock = Clock(lambda: next(wall))
        ticks = [clock.tick() for _ in range(4)]
        self.assertEqual(ticks, sorted(set(ticks)))
        self.assertEqual(ticks[-1], 9 << LOGICAL_BITS)

    def test_an_event_after_a_message_is_later_than_it(self):
        sender, receiver = Clock(lambda: 100), Clock(lambda: 1)
        sent = sender.tick()
        receiver.observe(sent)
        self.assertGreater(receiver.tick(), sent)


class TimelineTest(unittest.TestCase):
    def test_filters_and_bounds(self):
        timeline = Timeline("pool-1", capacity=3)
        for term in range(5):
            timeline.record("failover.fenced", group="a", term=term)
        kept = timeline.select(AskEvents())
        self.assertEqual([e.term for e in kept], [2, 3, 4])
        self.assertEqual([e.term for e in timeline.select(AskEvents(term=3))], [3])
        self.assertEqual(timeline.select(AskEvents(group="b")), ())
        self.assertEqual([e.term for e in timeline.select(AskEvents(limit=1))], [4])
