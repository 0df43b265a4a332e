import asyncio
import unittest
from types import SimpleNamespace
from unittest.mock import AsyncMock, patch

from wasabipitch.coordination.documents import GroupRecord, GroupSettings, Phase
from wasabipitch.group.repair import FollowerRepair
from wasabipitch.group.state import GroupState
from wasabipitch.models import Position
from wasabipitch.operations.decisions import DecisionLog
from wasabipitch.wire.messages import InstanceReport

RECORD = GroupRecord(Phase.STEADY, "first", 1, 2)


class FollowerRepairTest(unittest.IsolatedAsyncioTestCase):
    async def test_no_fence_is_ended_after_a_suspension(self):
        # The machine was suspended after the read of the store. Another host has
        # claimed the replacement meanwhile, and the fence is its own.
        state = GroupState(
            GroupSettings("ledger", 16, 1), lambda: 0.0, DecisionLog("host")
        )
        state.set_record(RECORD, 9)
        state.entries = {n: SimpleNamespace(name=n) for n in ("first", "second")}
        control = SimpleNamespace(
            status=AsyncMock(
                return_value=InstanceReport(False, 2, Position(2, 9), 3, 0.0, 0, 1)
            ),
            resume=AsyncMock(),
            close=lambda: None,
        )
        ages_s = [30.0]
        mirror = SimpleNamespace(
            check=AsyncMock(return_value=True),
            is_current=lambda revision: True,
            is_confirmed_within=lambda age_s: ages_s[-1] <= age_s,
        )
        repair = FollowerRepair(state, None, mirror, DecisionLog("host"))
        with (
            patch("wasabipitch.group.repair.InstanceControl", return_value=control),
            patch("wasabipitch.group.repair.REPAIR_INTERVAL_S", 0.01),
        ):
            task = asyncio.ensure_future(repair.run(RECORD))
            await asyncio.sleep(0.05)
            control.resume.assert_not_awaited()
            ages_s.append(0.1)
            async with asyncio.timeout(2):
                await task
        control.resume.assert_awaited_once()
