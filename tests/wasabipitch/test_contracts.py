import unittest

from wasabipitch import contracts
from wasabipitch.contracts import Envelope
from wasabipitch.exceptions import LinkError
from wasabipitch.messages import (
    Cancel,
    Digest,
    Execute,
    Failure,
    HostFact,
    Kind,
    Result,
    Rows,
)
from wasabipitch.models import Column, Host, Position
from wasabipitch.verdict import Verdict

HOST = Host("pool-1", "pool", "127.0.0.1:1", "thonburi")


def pack_and_unpack(envelope: Envelope) -> Envelope:
    frame = contracts.pack(envelope)
    (size,) = contracts.FRAME_HEADER.unpack(frame[: contracts.FRAME_HEADER.size])
    body = frame[contracts.FRAME_HEADER.size :]
    assert size == len(body)
    return contracts.unpack(body)


class ContractsTest(unittest.TestCase):
    def test_every_field_survives_packing(self):
        rows = contracts.pack_rows([[b"1", None], [b"", b"\xff"]])
        messages = [
            Execute(
                group="workshop",
                session="entry-1/a/1",
                statement="SELECT 'é'",
                kind=Kind.COMMIT,
                request_class="payment",
                request_id="p-1",
                deadline_ms=250,
                floor=Position(3, 2**40),
                in_transaction=True,
                in_doubt=True,
            ),
            Execute("workshop", "s", "SELECT 1"),
            Result(
                columns=(Column("a", 8, 63), Column("b", 253)),
                rows=rows,
                affected_rows=3,
                last_insert_id=2**50,
                in_transaction=True,
                position=Position(1, 9),
                target="w1",
                repeated=True,
            ),
            Rows(rows),
            Failure(Verdict.MAY_HAVE_RUN, 1105, "WPMHR", "why", True),
            Cancel(),
            Digest((HostFact(HOST, "i", 4, "live"),), 7),
        ]
        for message in messages:
            with self.subTest(type(message).__name__):
                envelope = Envelope(5, 77, message, more=True)
                self.assertEqual(pack_and_unpack(envelope), envelope)

    def test_rows_keep_nulls_and_empty_values_apart(self):
        rows = [[b"", None, b"0"]]
        self.assertEqual(contracts.unpack_rows(contracts.pack_rows(rows)), rows)
        self.assertEqual(contracts.unpack_rows(b""), [])

    def test_malformed_frames_raise_link_error(self):
        good = contracts.pack(Envelope(1, 1, Digest((), 7)))[4:]
        for bad in (b"", b"\xff" * 16, good[:-8], good.replace(b"Digest", b"Digesx")):
            with self.subTest(bad), self.assertRaises(LinkError):
                contracts.unpack(bad)
