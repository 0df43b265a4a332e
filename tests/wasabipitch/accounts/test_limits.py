import asyncio
import unittest

from wasabipitch.accounts.counting import Grant
from wasabipitch.accounts.limits import (
    ASK_TIMEOUT_S,
    LOG_INTERVAL_S,
    NO_COUNTER,
    OVER_LIMIT,
    SILENT,
    STARTING_PATIENCE_S,
    STARTING_S,
    AccountLimits,
)
from wasabipitch.coordination.documents import Account, Configuration
from wasabipitch.exceptions import LinkDown
from wasabipitch.operations.measures import Measures
from wasabipitch.peer_messages import AskTokens, TokensReport
from wasabipitch.policy.counters import Candidate, Membership, rank

ACCOUNT = Account("acme", 10.0, 5.0)
FREE = Account("free")
HOSTS = [Candidate(f"host-{number}") for number in range(4)]
FIRST, SECOND = rank(ACCOUNT.name, HOSTS)
OTHER = next(host.name for host in HOSTS if host.name not in (FIRST, SECOND))


class FakeCounter:
    """Grants what the test put into ``tokens``."""

    def __init__(self):
        self.tokens = 0
        self.counts = True
        self.proof_age_s = 0.25
        self.accounts = 0
        self.membership = Membership(10.0)
        self.membership.record(frozenset(HOSTS), 1.0)

    def grant(self, account, count):
        granted = min(count, self.tokens)
        self.tokens -= granted
        return Grant(granted, 0, self.counts)

    def observe_proof(self):
        pass

    def drop_unused(self, accounts):
        pass


class FakeLinks:
    """Answers for the other hosts; ``answers`` holds a function for each."""

    def __init__(self):
        self.answers = {}
        self.asked = []

    def find(self, host):
        links = self

        class Link:
            async def call(self, message, timeout_s):
                links.asked.append((host, message.count))
                return await links.answers[host](message)

        return Link()


class FakeDecisions:
    def __init__(self):
        self.lines = []

    def request(self, event, **fields):
        self.lines.append((event, fields))


def reply(granted, counts=True):
    async def answer(message):
        return TokensReport(granted, counts, 3, 0.4)

    return answer


async def refuse_connection(message):
    raise LinkDown("refused")


async def stay_silent(message):
    await asyncio.sleep(60)


class LimitsTest(unittest.IsolatedAsyncioTestCase):
    def make(self, own):
        self.counter, self.links = FakeCounter(), FakeLinks()
        self.decisions, self.measures = FakeDecisions(), Measures()
        self.configuration = Configuration(
            3, accounts={account.name: account for account in (ACCOUNT, FREE)}
        )
        self.limits = AccountLimits(
            own,
            self.counter,
            self.links,
            lambda name: name,
            lambda: self.configuration,
            self.decisions,
            self.measures,
        )
        # The host has run for long.
        self.limits._started_at_s -= STARTING_S

    async def test_the_counter_itself_decides_without_a_message(self):
        self.make(FIRST)
        self.counter.tokens = 1
        acquire = self.limits.acquire(ACCOUNT)
        with self.assertRaises(StopIteration) as done:
            acquire.send(None)
        self.assertIsNone(done.exception.value)
        self.assertEqual(await self.limits.acquire(ACCOUNT), OVER_LIMIT)
        self.assertEqual(self.links.asked, [])

    async def test_an_account_without_a_limit_needs_no_token(self):
        self.make(OTHER)
        self.assertIsNone(await self.limits.acquire(FREE))
        self.assertEqual(self.links.asked, [])

    async def test_operations_that_arrive_during_a_question_are_sent_together(self):
        self.make(OTHER)
        gate = asyncio.Event()

        async def answer(message):
            await gate.wait()
            return TokensReport(message.count, True)

        self.links.answers[FIRST] = answer
        first = asyncio.ensure_future(self.limits.acquire(ACCOUNT))
        await asyncio.sleep(0.01)
        others = [asyncio.ensure_future(self.limits.acquire(ACCOUNT)) for _ in range(9)]
        await asyncio.sleep(0.01)
        gate.set()
        self.assertEqual(await asyncio.gather(first, *others), [None] * 10)
        self.assertEqual(self.links.asked, [(FIRST, 1), (FIRST, 9)])

    async def test_each_token_admits_exactly_one_operation(self):
        self.make(OTHER)
        self.links.answers[FIRST] = reply(2)
        # The first question is for one operation, so one of the two tokens is dropped.
        waiting = [self.limits.acquire(ACCOUNT) for _ in range(6)]
        results = await asyncio.gather(*waiting)
        self.assertEqual(results.count(None), 2)
        self.assertEqual(results.count(OVER_LIMIT), 4)

    async def test_a_silent_counter_is_replaced_and_then_avoided(self):
        self.make(OTHER)
        self.links.answers = {FIRST: stay_silent, SECOND: reply(1, counts=False)}
        started_s = asyncio.get_running_loop().time()
        self.assertIsNone(await self.limits.acquire(ACCOUNT))
        took_s = asyncio.get_running_loop().time() - started_s
        self.assertGreaterEqual(took_s, ASK_TIMEOUT_S - 0.01)
        self.assertIsNone(await self.limits.acquire(ACCOUNT))
        self.assertEqual([host for host, _ in self.links.asked].count(FIRST), 1)

    async def test_a_broken_link_is_no_reason_to_wait(self):
        self.make(OTHER)
        self.links.answers = {FIRST: refuse_connection, SECOND: reply(1, counts=False)}
        started_s = asyncio.get_running_loop().time()
        self.assertIsNone(await self.limits.acquire(ACCOUNT))
        took_s = asyncio.get_running_loop().time() - started_s
        self.assertLess(took_s, ASK_TIMEOUT_S)

    async def test_tokens_of_a_late_answer_are_never_used(self):
        self.make(OTHER)
        answered = []

        async def answer_late(message):
            try:
                await asyncio.sleep(ASK_TIMEOUT_S + 0.05)
            finally:
                answered.append(message)
            return TokensReport(message.count, True)

        self.links.answers = {FIRST: answer_late, SECOND: reply(0, counts=False)}
        self.assertEqual(await self.limits.acquire(ACCOUNT), SILENT)
        await asyncio.sleep(0.1)
        self.assertEqual(len(answered), 1)
        self.assertEqual(await self.limits.acquire(ACCOUNT), SILENT)

    async def test_tokens_for_callers_that_left_are_dropped(self):
        self.make(OTHER)
        gate = asyncio.Event()

        async def answer(message):
            await gate.wait()
            return TokensReport(message.count, True)

        self.links.answers[FIRST] = answer
        leaving = asyncio.ensure_future(self.limits.acquire(ACCOUNT))
        await asyncio.sleep(0.01)
        leaving.cancel()
        late = asyncio.ensure_future(self.limits.acquire(ACCOUNT))
        await asyncio.sleep(0.01)
        gate.set()
        self.assertIsNone(await late)
        # The second operation has a token of its own.
        self.assertEqual(self.links.asked, [(FIRST, 1), (FIRST, 1)])

    async def test_a_counter_that_may_not_count_yet_leaves_the_rest_to_the_second(self):
        self.make(OTHER)
        self.links.answers = {
            FIRST: reply(0, counts=False),
            SECOND: reply(1, counts=False),
        }
        self.assertIsNone(await self.limits.acquire(ACCOUNT))

    async def test_without_any_answer_the_operation_is_refused(self):
        self.make(OTHER)
        self.links.answers = {FIRST: refuse_connection, SECOND: refuse_connection}
        self.assertEqual(await self.limits.acquire(ACCOUNT), SILENT)
        # Both are avoided now, and nothing is sent.
        self.assertEqual(await self.limits.acquire(ACCOUNT), SILENT)
        self.assertEqual(len(self.links.asked), 2)

    async def test_after_its_start_a_host_waits_for_one_that_counts(self):
        # After a power loss the counter may start later than this host.
        self.make(OTHER)
        self.limits._started_at_s += STARTING_S
        self.links.answers = {FIRST: refuse_connection, SECOND: refuse_connection}
        waiting = asyncio.ensure_future(self.limits.acquire(ACCOUNT))
        await asyncio.sleep(0.15)
        self.assertFalse(waiting.done())
        self.links.answers[FIRST] = reply(1)
        self.assertIsNone(await waiting)

    async def test_a_host_that_starts_does_not_wait_for_long(self):
        self.make(OTHER)
        self.limits._started_at_s += STARTING_S
        self.links.answers = {FIRST: refuse_connection, SECOND: refuse_connection}
        started_s = asyncio.get_running_loop().time()
        self.assertEqual(await self.limits.acquire(ACCOUNT), SILENT)
        took_s = asyncio.get_running_loop().time() - started_s
        self.assertLess(took_s, STARTING_PATIENCE_S + 0.1)

    async def test_an_operation_above_the_limit_never_waits(self):
        self.make(OTHER)
        self.limits._started_at_s += STARTING_S
        self.links.answers[FIRST] = reply(0)
        started_s = asyncio.get_running_loop().time()
        self.assertEqual(await self.limits.acquire(ACCOUNT), OVER_LIMIT)
        self.assertLess(asyncio.get_running_loop().time() - started_s, 0.05)

    async def test_without_live_hosts_the_operation_is_refused(self):
        self.make(OTHER)
        self.counter.membership = Membership(10.0)
        self.assertEqual(await self.limits.acquire(ACCOUNT), NO_COUNTER)

    async def test_the_second_host_uses_its_own_reserve(self):
        self.make(SECOND)
        self.counter.tokens, self.counter.counts = 1, False
        self.links.answers[FIRST] = refuse_connection
        self.assertIsNone(await self.limits.acquire(ACCOUNT))
        self.assertEqual(self.counter.tokens, 0)

    async def test_a_limit_that_is_removed_frees_the_waiting_operations(self):
        self.make(OTHER)
        gate = asyncio.Event()

        async def answer(message):
            await gate.wait()
            return TokensReport(0, True)

        self.links.answers[FIRST] = answer
        first = asyncio.ensure_future(self.limits.acquire(ACCOUNT))
        await asyncio.sleep(0.01)
        second = asyncio.ensure_future(self.limits.acquire(ACCOUNT))
        await asyncio.sleep(0.01)
        self.configuration = Configuration(4, accounts={"acme": Account("acme")})
        gate.set()
        self.assertEqual(await first, OVER_LIMIT)
        self.assertIsNone(await second)

    async def test_the_counter_answers_by_its_own_configuration(self):
        self.make(FIRST)
        self.counter.tokens = 3
        report = await self.limits.answer(AskTokens("acme", 5))
        self.assertEqual((report.granted, report.counts, report.version), (3, True, 3))
        unlimited = await self.limits.answer(AskTokens("free", 5))
        self.assertEqual((unlimited.granted, unlimited.counts), (5, True))
        # The sender's configuration is newer, or the account was removed.
        unknown = await self.limits.answer(AskTokens("new", 5))
        self.assertEqual((unknown.granted, unknown.counts), (0, False))
        self.configuration = None
        self.assertEqual((await self.limits.answer(AskTokens("acme", 5))).granted, 0)

    async def test_an_answer_above_the_question_grants_no_more(self):
        self.make(OTHER)
        self.links.answers[FIRST] = reply(1000)
        results = await asyncio.gather(*(self.limits.acquire(ACCOUNT) for _ in "ab"))
        self.assertEqual(results, [None, None])
        self.assertLessEqual(sum(count for _, count in self.links.asked), 2)

    async def test_refusals_are_logged_once_in_an_interval(self):
        self.make(FIRST)
        for _ in range(50):
            await self.limits.acquire(ACCOUNT)
        self.assertEqual(len(self.decisions.lines), 1)
        await asyncio.sleep(LOG_INTERVAL_S + 0.05)
        await self.limits.acquire(ACCOUNT)
        self.assertEqual(len(self.decisions.lines), 2)
        _, fields = self.decisions.lines[1]
        self.assertEqual(fields["refused_before"], 49)
        self.assertEqual(fields["account"], "acme")
        self.assertEqual((fields["rate_per_s"], fields["burst"]), (10.0, 5.0))
        self.assertEqual((fields["version"], fields["proof_age_s"]), (3, 0.25))
        counts = self.measures.counters["operations_refused"]
        self.assertEqual(counts[(("reason", "limit"),)], 51)


if __name__ == "__main__":
    unittest.main()
