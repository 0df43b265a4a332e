import unittest

from adapter.wire import LineCallerCodec, LineInstanceCodec
from wasabipitch.exceptions import MalformedMessage
from wasabipitch.models import Position
from wasabipitch.wire.messages import (
    Code,
    Complete,
    Failure,
    Quit,
    Ready,
    Reply,
    Row,
    SessionState,
    Shape,
    Startup,
    Statement,
    Verb,
)


class CallerCodecTest(unittest.TestCase):
    codec = LineCallerCodec()

    def test_messages_of_callers(self):
        expected = {
            b"STARTUP lepu270 u3f1": Startup("lepu270", "u3f1"),
            b"QUIT": Quit(),
            b"QUERY 5c BEGIN READ": Statement(b"5c", b"BEGIN READ", Verb.BEGIN_READ),
            b"QUERY 5c READ 1a4": Statement(b"5c", b"READ 1a4", Verb.READ),
            b"QUERY 5c WRITE 1a4 x y": Statement(b"5c", b"WRITE 1a4 x y", Verb.WRITE),
        }
        for line, message in expected.items():
            with self.subTest(line=line):
                self.assertEqual(self.codec.decode(line), message)

    def test_a_prepared_statement_keeps_its_shape_and_arguments(self):
        prepare = self.codec.decode(b"QUERY 5c PREPARE s1 WRITE q2c")
        self.assertEqual((prepare.name, prepare.shape), (b"s1", Shape(True, b"q2c")))
        execute = self.codec.decode(b"QUERY 5c EXECUTE s1 1a4 xkq wn")
        self.assertEqual((execute.name, execute.arguments), (b"s1", b"1a4 xkq wn"))

    def test_malformed_lines_are_rejected(self):
        lines = [
            b"",
            b"\x00\xff",
            b"QUERY 5c",
            b"QUERY 5c READ",
            b"STARTUP",
            b"HELLO a",
            # A receiver that ends lines at these bytes would run a second statement.
            b"QUERY 5c WRITE a x\nQUERY 5d WRITE b 0",
            b"QUERY 5c WRITE a x\ry",
            b"STARTUP payments key\r",
            b"QUIT\n",
        ]
        for line in lines:
            with self.subTest(line=line), self.assertRaises(MalformedMessage):
                self.codec.decode(line)

    def test_answers(self):
        reply = Reply((b"abc",), b"7.1f3", None, SessionState.IDLE, Position(3, 9))
        self.assertEqual(
            self.codec.encode_reply(reply),
            b"ROW abc\r\nCOMPLETE 7.1f3\r\nREADY I 3.9\r\n",
        )
        failure = Failure(Code.READ_ONLY, b"i-7")
        reply = Reply(failure=failure, state=SessionState.FAILED_TRANSACTION)
        self.assertEqual(
            self.codec.encode_reply(reply), b"ERROR READONLY i-7\r\nREADY E -\r\n"
        )


class InstanceCodecTest(unittest.TestCase):
    codec = LineInstanceCodec()

    def test_a_floor_precedes_the_unchanged_text(self):
        read = Statement(b"5c", b"READ 1a4", Verb.READ)
        self.assertEqual(
            self.codec.forward(read, Position(3, 1207)),
            b"QUERY 5c AFTER 3.1207 READ 1a4\r\n",
        )
        self.assertEqual(self.codec.forward(read, None), b"QUERY 5c READ 1a4\r\n")

    def test_own_statements_have_no_request_id(self):
        self.assertEqual(self.codec.begin(True, None), b"QUERY - BEGIN READ\r\n")
        self.assertEqual(self.codec.step_down(4), b"QUERY - STEPDOWN 4\r\n")

    def test_messages_of_instances(self):
        expected = {
            b"ROW a b": Row(b"a b"),
            b"COMPLETE 7.1": Complete(b"7.1"),
            b"READY T 3.1209": Ready(SessionState.IN_TRANSACTION, Position(3, 1209)),
            b"READY I -": Ready(SessionState.IDLE, None),
            b"ERROR LAGGING i-7": Failure(Code.LAGGING, b"i-7"),
        }
        for line, message in expected.items():
            with self.subTest(line=line):
                self.assertEqual(self.codec.decode(line), message)

    def test_a_report(self):
        report = self.codec.decode_report(b"replica 3 3.1209 4 12 2 17")
        self.assertFalse(report.is_primary)
        self.assertEqual(report.received, Position(3, 1209))
        self.assertEqual((report.fenced_term, report.lag_ms, report.busy), (4, 12.0, 2))

    def test_malformed_lines_are_rejected(self):
        for line in [b"COMPLETE", b"READY X 1.1", b"READY I x", b"ERROR WHAT a", b""]:
            with self.subTest(line=line), self.assertRaises(MalformedMessage):
                self.codec.decode(line)
        with self.assertRaises(MalformedMessage):
            self.codec.decode_report(b"replica 3 x")
