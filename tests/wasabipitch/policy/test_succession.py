import unittest

from wasabipitch.models import Position
from wasabipitch.policy.succession import (
    Candidate,
    Evidence,
    choose_successor,
    doubts_needed,
    find_reason,
    rank,
)

SOUND = Evidence(
    registered=True, leaving=False, demoted=False, doubts=0, certain=False, hosts=6
)


def candidates(**received):
    return {
        name: Candidate(name, Position(1, number), False)
        for name, number in received.items()
    }


class FindReasonTest(unittest.TestCase):
    def test_a_sound_primary_stays(self):
        self.assertIsNone(find_reason(SOUND))

    def test_one_host_that_is_cut_off_replaces_nobody(self):
        self.assertIsNone(find_reason(Evidence(True, False, False, 1, False, 6)))
        self.assertIsNotNone(find_reason(Evidence(True, False, False, 2, False, 6)))

    def test_one_host_that_found_no_process_is_enough(self):
        self.assertIsNotNone(find_reason(Evidence(True, False, False, 1, True, 6)))

    def test_leaving_gone_and_demoted_primaries_go(self):
        self.assertIsNotNone(find_reason(Evidence(True, True, False, 0, False, 6)))
        self.assertIsNotNone(find_reason(Evidence(False, False, False, 0, False, 6)))
        self.assertIsNotNone(find_reason(Evidence(True, False, True, 0, False, 6)))

    def test_a_lone_host_needs_no_second_opinion(self):
        self.assertEqual([doubts_needed(n) for n in (1, 2, 3, 6, 79)], [1, 1, 2, 2, 26])


class ChooseSuccessorTest(unittest.TestCase):
    def test_the_furthest_replica_leads(self):
        choice = choose_successor(candidates(a=7, b=9), [], Position(1, 9), True)
        self.assertEqual(choice.instance, "b")

    def test_an_acknowledged_commit_that_nobody_holds_keeps_all_waiting(self):
        choice = choose_successor(candidates(a=7, b=8), [], Position(1, 9), True)
        self.assertIsNone(choice.instance)

    def test_a_silent_replica_may_hold_what_a_silent_host_saw(self):
        found = candidates(a=7)
        self.assertIsNone(
            choose_successor(found, ["b"], Position(1, 7), False).instance
        )
        choice = choose_successor(found, ["b"], Position(1, 7), True)
        self.assertEqual(choice.instance, "a")

    def test_a_silent_host_does_not_matter_once_all_replicas_answered(self):
        choice = choose_successor(candidates(a=7, b=9), [], Position(1, 3), False)
        self.assertEqual(choice.instance, "b")

    def test_one_that_stays_goes_before_one_that_leaves(self):
        found = {
            "a": Candidate("a", Position(1, 9), leaving=True),
            "b": Candidate("b", Position(1, 8), leaving=False),
        }
        choice = choose_successor(found, [], Position(1, 8), True)
        self.assertEqual(choice.instance, "b")
        choice = choose_successor(found, [], Position(1, 9), True)
        self.assertEqual(choice.instance, "a")


class RankTest(unittest.TestCase):
    def test_every_host_has_a_place_of_its_own(self):
        hosts = [f"host-{n}" for n in range(8)]
        for group in ("ledger", "bookings"):
            places = [rank(group, host, hosts) for host in hosts]
            self.assertEqual(sorted(places), list(range(8)))
