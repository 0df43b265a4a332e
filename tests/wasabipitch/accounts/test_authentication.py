import json
import unittest
from unittest.mock import patch

from wasabipitch.accounts.authentication import Authentication
from wasabipitch.coordination.currency import CopyCurrency
from wasabipitch.coordination.documents import (
    Account,
    Configuration,
    Consistency,
    Route,
)
from wasabipitch.operations.decisions import LATE_LINES_PER_S, DecisionLog
from wasabipitch.operations.measures import Measures
from wasabipitch.policy.authorization import Refused, Served
from wasabipitch.wire.messages import Code, Startup

REVOCATION_S = 5.0
DATABASES = ("private", "open", "unknown")
ROUTES = {
    name: Route(name, "g", Consistency.PRIMARY, 0.0, 1.0, 0.2, 1, name == "open")
    for name in DATABASES[:2]
}


class Lines:
    """Keeps the lines of a decision log."""

    def __init__(self):
        self.lines = []
        self.dropped = {}

    def write(self, line, event, routine):
        self.lines.append(json.loads(line))


def make_configuration(version=3, keys=("k1",)):
    accounts = {"north": Account("north")}
    names = dict.fromkeys(keys, "north")
    return Configuration(version, ROUTES, accounts=accounts, account_names=names)


class AuthenticationTest(unittest.TestCase):
    def setUp(self):
        self.configuration = make_configuration()
        self.currency = CopyCurrency()
        self.currency.advance(1)
        self.currency.record_read(100.0, 1)
        self.measures, self.lines = Measures(), Lines()
        self.authentication = self.make_authentication(REVOCATION_S)

    def make_authentication(self, revocation_s):
        return Authentication(
            lambda: self.configuration,
            self.currency,
            revocation_s,
            DecisionLog("host-1", self.lines, self.measures),
            self.measures,
        )

    def check_at(self, at_s, key="k1"):
        with patch("wasabipitch.coordination.currency.now_s", return_value=at_s):
            return self.authentication.check(Startup("private", key))

    def test_each_check_uses_the_configuration_in_force(self):
        self.assertEqual(self.check_at(101.0), Served("north"))
        self.configuration = make_configuration(4, ["k2"])
        self.assertEqual(self.check_at(101.0).code, Code.NOT_AUTHENTICATED)
        self.assertEqual(self.check_at(101.0, "k2"), Served("north"))

    def test_a_withdrawn_key_is_never_accepted_after_the_bound(self):
        # The key may have been withdrawn just after the proof.
        accepted = [
            at_s / 100 - 100.0
            for at_s in range(10_000, 11_000)
            if isinstance(self.check_at(at_s / 100), Served)
        ]
        self.assertLess(max(accepted), REVOCATION_S)
        self.assertGreater(max(accepted), REVOCATION_S - 1.0)

    def test_a_host_that_was_frozen_refuses_until_it_has_a_new_proof(self):
        self.assertEqual(self.check_at(160.0).code, Code.BUSY)
        self.currency.record_read(160.5, 1)
        self.assertEqual(self.check_at(161.0), Served("north"))

    def test_a_host_that_has_just_started_refuses(self):
        self.currency = CopyCurrency()
        self.authentication = self.make_authentication(REVOCATION_S)
        self.assertEqual(self.check_at(100.0).code, Code.BUSY)
        self.assertFalse(self.authentication.is_refusing_longer_than(2.0))

    def test_callers_wait_for_the_first_proof_until_the_peers_were_asked(self):
        # If a peer knows a greater version, the host may have no proof for long.
        self.currency = CopyCurrency(needs_survey=True)
        self.authentication = self.make_authentication(REVOCATION_S)
        waiting = self.authentication.is_awaiting_proof
        self.assertEqual([waiting(n) for n in DATABASES], [True, False, False])
        self.currency.record_survey(9, 0)
        self.assertEqual([waiting(n) for n in DATABASES], [False, False, False])

    def test_without_a_bound_no_proof_is_needed(self):
        self.authentication = self.make_authentication(None)
        self.assertEqual(self.check_at(1e6), Served("north"))
        self.assertFalse(self.authentication.is_refusing)

    def test_a_host_reports_whether_it_refuses(self):
        for at_s, refusing, longer in (
            (101.0, False, False),
            (105.0, True, False),
            (108.0, True, True),
        ):
            with patch("wasabipitch.coordination.currency.now_s", return_value=at_s):
                self.assertEqual(self.authentication.is_refusing, refusing)
                is_longer = self.authentication.is_refusing_longer_than(2.4)
                self.assertEqual(is_longer, longer)

    def test_without_accounts_the_host_refuses_nobody(self):
        self.configuration = Configuration(3)
        self.assertEqual(self.check_at(1e6), Served(""))
        self.assertFalse(self.authentication.is_refusing)
        self.assertFalse(self.authentication.is_awaiting_proof("private"))

    def test_a_refusal_names_what_it_was_decided_by(self):
        refusal = Refused(Code.BUSY, "reason", "north")
        with patch("wasabipitch.coordination.currency.now_s", return_value=105.25):
            self.authentication.report("request failed", refusal, request="5c0e")
        (line,) = self.lines.lines
        self.assertEqual(
            {name: line[name] for name in ("event", "account", "version", "request")},
            {
                "event": "request failed",
                "account": "north",
                "version": 3,
                "request": "5c0e",
            },
        )
        self.assertEqual(line["proof_age_s"], 5.25)
        series = self.measures.counters["account_refusals"]
        self.assertEqual(dict(series), {(("account", "north"), ("code", "busy")): 1})

    def test_lines_of_refusals_are_bounded(self):
        # A caller with a withdrawn key may go on trying.
        for _ in range(1000):
            self.authentication.report("session refused", Refused(Code.BUSY, "r"))
        self.assertLessEqual(len(self.lines.lines), 2 * LATE_LINES_PER_S)
