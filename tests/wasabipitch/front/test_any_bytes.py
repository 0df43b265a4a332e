"""Any bytes in any pieces end at worst the connection that sent them."""

import asyncio
import unittest
from unittest.mock import patch

from hypothesis import given, settings
from hypothesis import strategies as st

from tests.adapter import PLATFORM  # noqa: F401 (puts the adapter on the path)
from tests.wasabipitch.wire.test_lines import Transport, feed
from wasabipitch.accounts.authentication import Authentication
from wasabipitch.coordination.currency import CopyCurrency
from wasabipitch.coordination.documents import Configuration, Consistency, Route
from wasabipitch.exceptions import MalformedMessage
from wasabipitch.front.budget import MemoryBudget
from wasabipitch.front.server import CallerServer
from wasabipitch.operations.decisions import DecisionLog
from wasabipitch.operations.measures import Measures
from wasabipitch.policy.memory_budget import MIB, MemoryPlan
from wasabipitch.wire.messages import Reply

from adapter.wire import LineCallerCodec, LineInstanceCodec  # isort: skip

WORDS = (
    b"STARTUP payments key",
    b"QUERY 1 ",
    b"READ a",
    b"WRITE a b",
    b"BEGIN",
    b"BEGIN READ",
    b"COMMIT",
    b"ROLLBACK",
    b"SET a b",
    b"PREPARE p READ ",
    b"EXECUTE p 1",
    b"DEALLOC p",
    b"QUIT",
    b"ROW ",
    b"COMPLETE ",
    b"READY I 1.2",
    b"ERROR BUSY",
    b" ",
    b"\r\n",
    b"\r",
    b"\n",
    b"\xff\x00",
)
TEXTS = st.lists(st.one_of(st.sampled_from(WORDS), st.binary(max_size=9))).map(b"".join)
SESSIONS = st.lists(
    st.tuples(st.just(b"QUERY 1 "), st.sampled_from(WORDS)).map(b"".join)
).map(lambda lines: b"\r\n".join([WORDS[0], *lines, b""]))
PIECES = st.lists(st.integers(1, 40), max_size=50)
ROUTE = Route("payments", "ledger", Consistency.PRIMARY, 0.0, 1.0, 0.2, 1)
CONFIGURATION = Configuration(1, {"payments": ROUTE}, {}, 1.0)


class SessionTransport(Transport):
    """Keeps what is written."""

    def __init__(self):
        super().__init__()
        self.written = b""

    def write(self, data):
        self.written += data

    def close(self):
        self.aborted = True


class Runner:
    """Answers every statement, and keeps them."""

    def __init__(self):
        self.ran = []

    async def run(self, session, statement, route, arrived_s):
        self.ran.append(statement.text)
        return Reply(state=session.state)


async def serve(data, sizes):
    """Serve one connection that sends the bytes and ends; return what it led to."""
    measures, runner = Measures(), Runner()
    decisions = DecisionLog("host-1", None, measures)
    budget = MemoryBudget(MemoryPlan(8 * MIB), decisions, measures)
    server = CallerServer(
        LineCallerCodec(),
        decisions,
        lambda: CONFIGURATION,
        lambda group: runner,
        measures,
        Authentication(
            lambda: CONFIGURATION, CopyCurrency(), None, decisions, measures
        ),
        budget,
    )
    stream, transport = budget.open().stream, SessionTransport()
    stream.connection_made(transport)
    task = asyncio.create_task(server._serve(stream))
    feed(stream, data, sizes)
    for _ in range(20):
        await asyncio.sleep(0)
    stream.connection_lost(None)
    async with asyncio.timeout(5):
        await task
    return transport.written, runner.ran, budget.used


class FrontTests(unittest.TestCase):
    @settings(deadline=None)
    @given(st.one_of(TEXTS, SESSIONS), PIECES)
    def test_a_connection_ends_without_an_exception(self, data, sizes):
        written, _, used = asyncio.run(serve(data, sizes))
        self.assertTrue(not written or written.endswith(b"\r\n"))
        self.assertEqual(used, 0)

    @settings(deadline=None)
    @given(SESSIONS, st.sampled_from([b"\n", b"\r", b"x\ny"]))
    def test_no_part_of_a_message_runs(self, data, part):
        # review/3: the rest of a message ran as a statement of its own.
        line = b"QUERY 2 WRITE a " + part + b"QUERY 3 WRITE b 0\r\n"
        _, ran, _ = asyncio.run(serve(data + line, []))
        self.assertNotIn(b"WRITE b 0", ran)
        sent = {text.partition(b"QUERY 1 ")[2] for text in data.split(b"\r\n")}
        self.assertLessEqual(set(ran), sent)


class KeysTests(unittest.TestCase):
    def test_a_malformed_message_is_not_logged(self):
        # It may hold a caller's key, such as a startup without a database.
        for data in (b"STARTUP  secret\r\n", b"START payments secret\r\n"):
            with patch.object(DecisionLog, "limited") as limited:
                written, _, _ = asyncio.run(serve(data, []))
            self.assertTrue(written.startswith(b"ERROR MALFORMED"))
            limited.assert_called_once()
            self.assertNotIn("secret", repr(limited.call_args))


class CodecTests(unittest.TestCase):
    @given(TEXTS)
    def test_any_line_is_decoded_or_malformed(self, line):
        instances = LineInstanceCodec()
        for decode in (
            LineCallerCodec().decode,
            instances.decode,
            instances.decode_report,
        ):
            try:
                decode(line)
            except MalformedMessage:
                continue
