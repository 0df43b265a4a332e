import unittest

from tests.wasabipitch.group_fixture import ServedGroup
from wasabipitch.contracts import unpack_rows
from wasabipitch.messages import Kind
from wasabipitch.models import Position

READS = 12


class StaleReadTest(unittest.IsolatedAsyncioTestCase):
    async def test_a_read_above_all_known_positions_is_served(self):
        async with ServedGroup(lag_ms=20) as group:
            await group.send("CREATE TABLE jobs (bike VARCHAR(40))")
            for number in range(1, READS + 1):
                # The pool does not see this write, as if another owner had run it.
                await group.on_target("w1", "INSERT INTO jobs VALUES ('red')")
                last = group.targets["w1"].instance.position
                floor = Position(last.term, last.index)
                select = "SELECT bike FROM jobs"
                fields = {"floor": floor, "deadline_ms": 1500}
                result = await group.send(select, Kind.READ, "lookup", **fields)
                self.assertEqual(len(unpack_rows(result.rows)), number)
