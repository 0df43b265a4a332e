"""Checks that the checker reports each kind of violation and no false ones."""

import unittest

from proofs.checker import check
from proofs.history import Attempt, FinalState, History, Outcome, Work

GOOD_STATE = FinalState(jobs=("j1",), payments=("p1",), pairs=("left:t1", "right:t1"))


def attempt(work, outcome=Outcome.OK, value="", session="a", **fields):
    return Attempt(session, work, outcome, value, **fields)


class CheckerTest(unittest.TestCase):
    def rules(self, attempts, state):
        history = History()
        for number, each in enumerate(attempts):
            fields = {**vars(each), "answered_at_s": float(number)}
            history.add(Attempt(**fields))
        return [violation.rule for violation in check(history, state)]

    def test_a_good_history_breaks_no_rule(self):
        attempts = [
            attempt(Work.JOB, value="j1"),
            attempt(Work.READ_JOBS, value="a", seen=("j1",)),
            attempt(Work.PAYMENT, Outcome.NO_ANSWER, "p1", request_id="p1"),
            attempt(Work.PAYMENT, Outcome.NOT_RUN, "p1", request_id="p1"),
            attempt(Work.PAYMENT, Outcome.RAN, "p1", request_id="p1"),
            attempt(Work.PAIR, value="t1"),
            attempt(Work.READ_PAIRS, value="a", seen=("left:t1", "right:t1")),
            attempt(Work.PAIR, Outcome.ABORTED, "t2"),
            attempt(Work.JOB, Outcome.NOT_RUN, "j2"),
            attempt(Work.JOB, Outcome.MAY_HAVE_RUN, "j3"),
        ]
        self.assertEqual(self.rules(attempts, GOOD_STATE), [])

    def test_an_acknowledged_write_that_is_lost(self):
        for work in (Work.JOB, Work.PAYMENT, Work.PAIR):
            for outcome in (Outcome.OK, Outcome.RAN):
                attempts = [attempt(work, outcome, "gone")]
                self.assertEqual(
                    self.rules(attempts, GOOD_STATE), ["lost acknowledged write"]
                )

    def test_an_id_that_takes_effect_twice(self):
        state = FinalState(payments=("p1", "p1"))
        attempts = [attempt(Work.PAYMENT, value="p1", request_id="p1")]
        self.assertEqual(self.rules(attempts, state), ["doubled"])

    def test_a_read_that_lacks_an_own_write(self):
        state = FinalState(jobs=("j1",))
        for arrival in (1, 2):
            attempts = [
                attempt(Work.JOB, value="j1", arrival=1),
                attempt(Work.READ_JOBS, value="a", arrival=arrival),
            ]
            self.assertEqual(self.rules(attempts, state), ["read below own write"])

    def test_a_read_that_lacks_rows_of_an_earlier_read(self):
        attempts = [
            attempt(Work.READ_PAIRS, value="b", seen=("left:t1", "right:t1")),
            attempt(Work.READ_PAIRS, value="b"),
        ]
        self.assertEqual(self.rules(attempts, GOOD_STATE), ["read below own write"])

    def test_half_a_transaction(self):
        attempts = [attempt(Work.READ_PAIRS, value="a", seen=("left:t1",))]
        self.assertEqual(self.rules(attempts, GOOD_STATE), ["mixed transaction"])
        state = FinalState(pairs=("right:t1",))
        self.assertEqual(self.rules([], state), ["mixed transaction"])

    def test_a_rolled_back_write_that_is_visible(self):
        attempts = [attempt(Work.PAIR, Outcome.ABORTED, "t1")]
        self.assertEqual(self.rules(attempts, GOOD_STATE), ["mixed transaction"])
        rows = ("left:t9", "right:t9")
        attempts = [
            attempt(Work.PAIR, Outcome.ABORTED, "t9"),
            attempt(Work.READ_PAIRS, value="a", session="b", seen=rows),
        ]
        self.assertEqual(self.rules(attempts, GOOD_STATE), ["mixed transaction"])

    def test_a_not_run_write_that_took_effect(self):
        for work, value in ((Work.JOB, "j1"), (Work.PAYMENT, "p1"), (Work.PAIR, "t1")):
            attempts = [attempt(work, Outcome.NOT_RUN, value)]
            self.assertEqual(self.rules(attempts, GOOD_STATE), ["untrue NOT_RUN"])

    def test_a_foreign_or_partial_answer(self):
        attempts = [attempt(Work.READ_FILLER, whole=False)]
        self.assertEqual(
            self.rules(attempts, GOOD_STATE), ["foreign or partial answer"]
        )
