import unittest
from types import SimpleNamespace
from unittest.mock import AsyncMock, patch

from wasabipitch.group.instance_control import InstanceControl
from wasabipitch.models import Position
from wasabipitch.wire.messages import InstanceReport


class FenceTest(unittest.IsolatedAsyncioTestCase):
    """A replica that was not fenced may confirm commits after it was asked."""

    async def fence(self, **reports):
        control = InstanceControl(None)
        control.fence = AsyncMock(side_effect=list(reports.values()))
        entries = [SimpleNamespace(name=name) for name in reports]
        return await control.fence_all(entries, 3), control

    async def test_only_replicas_that_hold_the_fence_count(self):
        position = Position(2, 9)
        fenced, control = await self.fence(
            held=InstanceReport(False, 2, position, 3, 0.0, 0, 1),
            later=InstanceReport(False, 3, position, 0, 0.0, 0, 1),
            leader=InstanceReport(True, 2, position, 3, 0.0, 0, 1),
            silent=None,
        )
        self.assertEqual(list(fenced), ["held"])
        self.assertEqual(control.failures["later"], "not fenced: term 3, fence 0")
        self.assertIn("leader", control.failures)


class SuspensionTest(unittest.IsolatedAsyncioTestCase):
    async def test_a_command_is_not_sent_after_its_time(self):
        # The machine was suspended while it connected, and its steady clock stopped. A
        # RESUME that was sent then ended a fence of another holder.
        conn = SimpleNamespace(is_open=True, send=AsyncMock(), close=lambda: None)
        clock = [100.0]

        async def connect(entry, codec):
            clock[0] += 30.0
            return conn

        control = InstanceControl(SimpleNamespace(resume=lambda: b"RESUME"))
        with (
            patch("wasabipitch.group.instance_control.connect", connect),
            patch("wasabipitch.group.instance_control.now_s", lambda: clock[0]),
        ):
            self.assertIsNone(await control.resume(SimpleNamespace(name="third")))
        conn.send.assert_not_awaited()
        self.assertEqual(control.failures, {"third": "not sent in time"})
