"""Splitting of received bytes into lines."""

import asyncio
import unittest

from hypothesis import given
from hypothesis import strategies as st

from wasabipitch.exceptions import MalformedMessage
from wasabipitch.wire import lines
from wasabipitch.wire.lines import MAX_LINE_BYTES, LineStream

# Few different bytes, so that line endings and parts of them are frequent.
TEXTS = st.lists(st.sampled_from([b"a", b" ", b"\r", b"\n", b"\r\n", b"QUERY 1 "]))
PIECES = st.lists(st.integers(1, 7))


class Transport:
    """Records whether the connection is aborted or reading is paused."""

    def __init__(self):
        self.aborted = False
        self.paused = False
        self.unsent = 0

    def get_extra_info(self, name):
        return None

    def get_write_buffer_size(self):
        return self.unsent

    def is_closing(self):
        return self.aborted

    def abort(self):
        self.aborted = True

    def pause_reading(self):
        self.paused = True

    def resume_reading(self):
        self.paused = False


def make_stream():
    stream, transport = LineStream(), Transport()
    stream.connection_made(transport)
    return stream, transport


def feed(stream, data, sizes):
    """Deliver bytes in pieces of the given sizes, and the rest in one piece.

    An aborted connection delivers no more.
    """
    for size in (*sizes, len(data)):
        piece, data = data[:size], data[size:]
        if piece and not stream._transport.aborted:
            stream.data_received(piece)


async def read_queued(stream):
    return [await stream.read_line() for _ in range(len(stream._lines))]


class SplittingTests(unittest.IsolatedAsyncioTestCase):
    async def test_a_line_feed_alone_ends_no_line(self):
        # review/3: the rest of a text field ran as a statement that no caller sent.
        stream, _ = make_stream()
        stream.data_received(b"QUERY 1 WRITE a x\nQUERY 2 WRITE b 0\r\nQUIT\r\n")
        self.assertEqual(
            await read_queued(stream),
            [b"QUERY 1 WRITE a x\nQUERY 2 WRITE b 0", b"QUIT"],
        )

    async def test_a_line_ending_in_two_pieces(self):
        stream, _ = make_stream()
        for piece in (b"QU", b"IT\r", b"\nSTATUS\r", b"\n"):
            stream.data_received(piece)
        self.assertEqual(await read_queued(stream), [b"QUIT", b"STATUS"])

    async def test_a_line_of_the_greatest_length_is_kept(self):
        line = b"x" * MAX_LINE_BYTES
        for pieces in ([], [100_000] * 9, [MAX_LINE_BYTES], [MAX_LINE_BYTES + 1]):
            stream, transport = make_stream()
            feed(stream, line + b"\r\n", pieces)
            self.assertFalse(transport.aborted)
            self.assertEqual(await read_queued(stream), [line])

    async def test_a_longer_line_ends_the_connection(self):
        for pieces in ([], [1 << 20], [MAX_LINE_BYTES + 1], [MAX_LINE_BYTES + 2]):
            stream, transport = make_stream()
            feed(stream, b"x" * (MAX_LINE_BYTES + 1) + b"\r\n", pieces)
            self.assertTrue(transport.aborted)
            with self.assertRaises(MalformedMessage):
                await stream.read_line()

    async def test_a_long_line_leaves_no_buffer_of_its_size(self):
        stream, _ = make_stream()
        feed(stream, b"x" * (1 << 20) + b"\r\nrest", [1000] * 1000)
        self.assertLess(stream._buffer.__sizeof__(), 1000)


class AnyBytesTests(unittest.TestCase):
    @given(TEXTS, PIECES)
    def test_lines_do_not_depend_on_the_pieces(self, parts, sizes):
        data = b"".join(parts)
        stream, _ = make_stream()
        feed(stream, data, sizes)
        *expected, rest = data.split(b"\r\n")
        self.assertEqual(asyncio.run(read_queued(stream)), expected)
        self.assertEqual(bytes(stream._buffer), rest)

    @given(st.lists(st.integers(1, 300), max_size=60))
    def test_a_line_without_end_does_not_grow_without_bound(self, sizes):
        # Guards the check of the length, whatever the pieces.
        longest = 500
        stream, transport = make_stream()
        before, lines.MAX_LINE_BYTES = lines.MAX_LINE_BYTES, longest
        try:
            total = 0
            for size in sizes:
                if transport.aborted:
                    break
                stream.data_received(b"x" * size)
                total += size
                self.assertEqual(transport.aborted, total > longest + 1)
                self.assertLessEqual(len(stream._buffer), longest + 1)
        finally:
            lines.MAX_LINE_BYTES = before
