import unittest

from wasabipitch.coordination.documents import Member
from wasabipitch.models import ORIGIN, Position
from wasabipitch.policy.succession import (
    Candidate,
    Evidence,
    choose_successor,
    find_gone_members,
    find_replacement_reason,
    may_drop_members,
    rank,
    suspicions_needed,
)

HEALTHY = Evidence(
    registered=True, leaving=False, demoted=False, suspicions=0, certain=False, hosts=6
)


def candidates(**received):
    return {
        name: Candidate(name, Position(1, number), False)
        for name, number in received.items()
    }


class FindReplacementReasonTest(unittest.TestCase):
    def test_healthy_primary_stays(self):
        self.assertIsNone(find_replacement_reason(HEALTHY))

    def test_suspicion_of_one_host_is_not_enough(self):
        self.assertIsNone(
            find_replacement_reason(Evidence(True, False, False, 1, False, 6))
        )
        self.assertIsNotNone(
            find_replacement_reason(Evidence(True, False, False, 2, False, 6))
        )

    def test_one_host_that_found_no_process_is_enough(self):
        self.assertIsNotNone(
            find_replacement_reason(Evidence(True, False, False, 1, True, 6))
        )

    def test_leaving_unregistered_and_demoted_primaries_are_replaced(self):
        self.assertIsNotNone(
            find_replacement_reason(Evidence(True, True, False, 0, False, 6))
        )
        self.assertIsNotNone(
            find_replacement_reason(Evidence(False, False, False, 0, False, 6))
        )
        self.assertIsNotNone(
            find_replacement_reason(Evidence(True, False, True, 0, False, 6))
        )

    def test_suspicions_needed_by_number_of_hosts(self):
        self.assertEqual(
            [suspicions_needed(n) for n in (1, 2, 3, 6, 79)], [1, 1, 2, 2, 26]
        )


class ChooseSuccessorTest(unittest.TestCase):
    def test_replica_with_the_highest_position_is_chosen(self):
        choice = choose_successor(
            candidates(a=7, b=9), [], Position(1, 9), Position(1, 9)
        )
        self.assertEqual(choice.instance, "b")

    def test_no_successor_while_an_acknowledged_commit_is_missing(self):
        choice = choose_successor(
            candidates(a=7, b=8), [], Position(1, 9), Position(1, 9)
        )
        self.assertIsNone(choice.instance)

    def test_a_silent_replica_may_hold_what_a_silent_host_saw(self):
        found = candidates(a=7)
        self.assertIsNone(choose_successor(found, ["b"], Position(1, 7), None).instance)
        choice = choose_successor(found, ["b"], Position(1, 7), Position(1, 7))
        self.assertEqual(choice.instance, "a")

    def test_a_silent_host_does_not_matter_once_all_replicas_answered(self):
        choice = choose_successor(candidates(a=7, b=9), [], Position(1, 3), None)
        self.assertEqual(choice.instance, "b")

    def test_a_silent_replica_counts_if_no_candidate_reaches_the_limit(self):
        limit = Position(1, 8)
        choice = choose_successor(candidates(a=7), ["b"], Position(1, 3), limit)
        self.assertIsNone(choice.instance)
        choice = choose_successor(candidates(a=7, b=7), [], Position(1, 3), limit)
        self.assertEqual(choice.instance, "b")

    def test_the_log_of_a_candidate_whose_promotion_was_refused_counts(self):
        # Left out, it let a replica be promoted that lacks what it had confirmed.
        refused = Candidate("b", Position(1, 9), leaving=False, refused=True)
        found = candidates(a=7) | {"b": refused}
        for limit in (None, Position(1, 7), Position(1, 9)):
            choice = choose_successor(found, [], Position(1, 3), limit)
            self.assertEqual(choice.instance, "b")
        found["a"] = Candidate("a", Position(1, 9), leaving=False)
        choice = choose_successor(found, [], Position(1, 3), None)
        self.assertEqual(choice.instance, "a")

    def test_staying_candidate_is_preferred_to_a_leaving_one(self):
        found = {
            "a": Candidate("a", Position(1, 9), leaving=True),
            "b": Candidate("b", Position(1, 9), leaving=False),
        }
        choice = choose_successor(found, [], Position(1, 9), Position(1, 9))
        self.assertEqual(choice.instance, "b")

    def test_a_longer_log_is_preferred_even_if_its_instance_leaves(self):
        # A replica received a commit beyond the limit that the hosts reported. It was
        # passed over as it was about to leave, and the commit was lost.
        found = {
            "a": Candidate("a", Position(1, 9), leaving=True),
            "b": Candidate("b", Position(1, 8), leaving=False),
        }
        for limit in (None, Position(1, 8), Position(1, 9)):
            choice = choose_successor(found, [], Position(1, 8), limit)
            self.assertEqual(choice.instance, "a")

    def test_a_limit_that_a_replica_exceeds_is_none(self):
        # The primary had started again without its log, which then ended at 0.
        choice = choose_successor(candidates(a=9), ["b"], ORIGIN, ORIGIN)
        self.assertIsNone(choice.instance)


class MembersTest(unittest.TestCase):
    """An instance is waited for until another replica has what it confirmed."""

    def test_members_without_registration_and_those_born_again_are_gone(self):
        members = [Member("a", 1), Member("b", 1), Member("c", 1)]
        registered = [Member("a", 1), Member("b", 2)]
        self.assertEqual(
            find_gone_members(members, registered), {Member("b", 1), Member("c", 1)}
        )

    def test_they_are_dropped_once_a_member_has_received_the_log(self):
        a, b, end = Member("a", 1), Member("b", 1), Position(1, 9)
        self.assertFalse(may_drop_members(end, {}, [a, b]))
        self.assertFalse(may_drop_members(end, {a: Position(1, 8)}, [a, b]))
        self.assertTrue(may_drop_members(end, {a: Position(1, 9)}, [a, b]))
        self.assertFalse(may_drop_members(end, {a: Position(1, 9)}, [b]))


class RankTest(unittest.TestCase):
    def test_ranks_are_distinct(self):
        hosts = [f"host-{n}" for n in range(8)]
        for group in ("ledger", "bookings"):
            ranks = [rank(group, host, hosts) for host in hosts]
            self.assertEqual(sorted(ranks), list(range(8)))
