import unittest

from wasabipitch.policy.connection_use import (
    HANDSHAKE_S,
    HELD_BACK,
    MAX_DELAY_S,
    Demand,
    FairOrder,
    IdleConnection,
    PoolUse,
    Use,
    choose_closed,
    count_ahead,
    decide,
    replacement_loss_s,
)

CHECKOUT_S = 0.02


def make_demand(**changes):
    fields = {"position": 1, "in_use": 0, "opening": 0, "checkout_s": CHECKOUT_S}
    return Demand(**{**fields, **changes})


def make_pool(**changes):
    fields = {
        "limit": 6,
        "held": 6,
        "opening": 0,
        "max_opening": 3,
        "own": 0,
        "own_idle": 0,
        "others_idle": 2,
        "others_active": True,
    }
    return PoolUse(**{**fields, **changes})


class DecideTest(unittest.TestCase):
    def check(self, use, demand, pool):
        decision = decide(make_demand(**demand), make_pool(**pool))
        self.assertIs(decision.use, use, decision.reason)

    def test_account_without_a_connection_has_one_opened_or_replaced(self):
        self.check(Use.OPEN, {}, {"held": 5})
        self.check(Use.REPLACE, {}, {})

    def test_nothing_is_closed_that_is_in_use(self):
        self.check(Use.WAIT, {}, {"others_idle": 0})

    def test_idle_connection_of_the_account_prevents_a_handshake(self):
        # An instance that runs all statements it may offers no idle connection.
        self.check(Use.IDLE, {}, {"own": 1, "own_idle": 1, "held": 3})

    def test_connections_that_are_closed_or_being_opened_count(self):
        self.check(Use.WAIT, {}, {"held": 6, "others_idle": 0})
        self.check(Use.WAIT, {}, {"held": 5, "opening": 3})

    def test_one_connection_is_replaced_at_a_time(self):
        # At a peak the handshakes of an instance at its limit took as many of its slots
        # as the statements.
        self.check(Use.WAIT, {}, {"opening": 1})
        self.check(Use.OPEN, {}, {"held": 5, "opening": 1})

    def test_each_waiting_request_has_at_most_one_connection_opened(self):
        self.check(Use.WAIT, {"opening": 1}, {"held": 2, "own": 1})
        self.check(Use.OPEN, {"opening": 1, "position": 2}, {"held": 2, "own": 1})

    def test_handshake_is_weighed_against_the_wait_for_an_own_connection(self):
        busy = {"in_use": 1}
        # With room, the price is one handshake; without, it is another account's too.
        self.check(Use.OPEN, {**busy, "checkout_s": 0.016}, {"held": 5, "own": 1})
        self.check(Use.WAIT, {**busy, "checkout_s": 0.012}, {"held": 5, "own": 1})
        self.check(Use.WAIT, {**busy, "checkout_s": 0.016}, {"own": 1})
        self.check(Use.REPLACE, {**busy, "checkout_s": 0.03}, {"own": 1})
        self.check(Use.REPLACE, {**busy, "position": 2}, {"own": 1})

    def test_request_that_has_waited_for_long_is_not_put_off_again(self):
        waited = {"in_use": 1, "checkout_s": 0.001, "waited_s": 0.03}
        self.check(Use.REPLACE, waited, {"own": 1})

    def test_hot_account_is_held_back_only_while_others_are_active(self):
        hot = {"in_use": 3, "position": 30}
        decision = decide(make_demand(**hot), make_pool(own=3))
        self.assertEqual((decision.use, decision.reason), (Use.WAIT, HELD_BACK))
        self.check(Use.REPLACE, hot, {"own": 3, "others_active": False})

    def test_account_may_hold_the_only_connection(self):
        self.check(Use.REPLACE, {}, {"limit": 1, "held": 1, "others_idle": 1})


class ChooseClosedTest(unittest.TestCase):
    def choose(self, *idle):
        return choose_closed([IdleConnection(*fields) for fields in idle], 15.0)

    def test_account_with_the_most_connections_makes_room(self):
        self.assertEqual(self.choose((1, 5.0), (3, 4.0), (3, 1.0)), 1)

    def test_least_recently_used_connection_among_equals_makes_room(self):
        self.assertEqual(self.choose((1, 5.0), (1, 4.0), (1, 1.0)), 0)

    def test_connection_near_its_idle_timeout_makes_room_first(self):
        self.assertEqual(self.choose((1, 14.0), (3, 4.0)), 0)

    def test_loss_falls_with_the_time_without_use(self):
        self.assertGreater(replacement_loss_s(0.1), replacement_loss_s(5.0))
        self.assertLessEqual(replacement_loss_s(0.0), HANDSHAKE_S)


class FairOrderTest(unittest.TestCase):
    def setUp(self):
        self.order = FairOrder()

    def place(self, account, at_s, priority=1):
        return self.order.place(priority, account, at_s, CHECKOUT_S)

    def test_hot_account_delays_itself_first(self):
        hot = [self.place("hot", 10.0) for _ in range(3)]
        small = self.place("small", 10.001)
        self.assertEqual(sorted([*hot, small]).index(small), 1)

    def test_nobody_is_overtaken_for_longer_than_the_bound(self):
        last = [self.place("hot", 10.0) for _ in range(500)][-1]
        self.assertLessEqual(last, 10.0 + MAX_DELAY_S)
        self.assertGreater(self.place("small", 10.1), last)

    def test_single_account_is_served_in_order_of_arrival(self):
        times = [self.place("", 10.0 + n * 0.003) for n in range(100)]
        self.assertEqual(times, sorted(times))

    def test_other_priorities_of_an_account_are_not_delayed(self):
        for _ in range(10):
            self.place("hot", 10.0, priority=2)
        self.assertEqual(self.place("hot", 10.0, priority=0), 10.0)

    def test_accounts_without_recent_requests_are_forgotten(self):
        self.place("small", 10.0)
        self.order.forget_before(20.0)
        self.assertEqual(self.order._last_s, {})


class CountAheadTest(unittest.TestCase):
    def test_queue_of_a_hot_account_counts_as_far_as_it_may_use_connections(self):
        ahead = {"hot": 80, "north": 2}
        self.assertEqual(count_ahead("small", ahead, 9), (0, 11))
        self.assertEqual(count_ahead("hot", ahead, 9), (80, 82))
