import asyncio
import json
import os
import unittest

from wasabipitch.operations.decisions import ROUTINE_SAMPLE, DecisionLog
from wasabipitch.operations.logwriter import (
    MAX_LINE_BYTES,
    MAX_QUEUED_LINES,
    LogWriter,
)


class LogWriterTest(unittest.IsolatedAsyncioTestCase):
    def setUp(self):
        self.reader, self.end = os.pipe()
        self.addCleanup(os.close, self.reader)
        self.addCleanup(os.close, self.end)
        self.writer = LogWriter(self.end)

    def read(self):
        os.set_blocking(self.reader, False)
        data = b""
        self.writer.flush()
        while True:
            try:
                data += os.read(self.reader, 1 << 20)
            except BlockingIOError:
                return data
            self.writer.flush()

    async def test_a_stalled_reader_blocks_no_writer_and_the_queue_is_bounded(self):
        line = "x" * 200
        for n in range(3 * MAX_QUEUED_LINES):
            self.writer.write(line, "request failed", routine=False)
            if n % 100 == 0:
                self.writer.flush()
                await asyncio.sleep(0)
        self.assertGreater(self.writer.dropped["request failed"], MAX_QUEUED_LINES)
        self.assertLessEqual(self.read().count(b"\n"), 2 * MAX_QUEUED_LINES)

    async def test_a_line_with_a_long_text_of_a_caller_is_dropped(self):
        # An id of 1 MiB in each of the queued lines would take 4 GB.
        self.writer.write("x" * (MAX_LINE_BYTES + 1), "request failed", routine=False)
        self.writer.write("y" * MAX_LINE_BYTES, "request failed", routine=False)
        self.assertEqual(self.writer.dropped["request failed"], 1)
        self.assertEqual(self.read(), b"y" * MAX_LINE_BYTES + b"\n")

    async def test_routine_lines_are_dropped_first(self):
        for _ in range(MAX_QUEUED_LINES):
            self.writer.write("routine", "placed", routine=True)
        self.writer.write("refused", "request failed", routine=False)
        self.assertGreater(self.writer.dropped["placed"], 0)
        self.assertEqual(self.writer.dropped["request failed"], 0)

    async def test_lines_are_json_and_name_the_host(self):
        log = DecisionLog("front-1", self.writer)
        log.belief("store unreachable", reason="status 503")
        fields = json.loads(self.read())
        self.assertEqual(fields["event"], "store unreachable")
        self.assertEqual((fields["host"], fields["reason"]), ("front-1", "status 503"))

    async def test_routine_decisions_are_sampled(self):
        log = DecisionLog("front-1", self.writer)
        for _ in range(10 * ROUTINE_SAMPLE):
            log.routine("placed")
        self.assertEqual(self.read().count(b"\n"), 10)
