import unittest

from tests.wasabipitch.memory_store import MemoryStore
from tests.wasabipitch.processes import Process
from wasabipitch.control import ControlServer
from wasabipitch.links import RemoteError
from wasabipitch.messages import (
    AskEvents,
    AskOpinion,
    AskStatus,
    Opinion,
    SetCut,
    Switchover,
)
from wasabipitch.verdict import Verdict


class ControlServerTests(unittest.IsolatedAsyncioTestCase):
    async def asyncSetUp(self):
        store = MemoryStore()
        self.asker = await Process("pool-1", store).start()
        self.addAsyncCleanup(self.asker.kill)
        self.asked = await Process("pool-2", store).start()
        self.addAsyncCleanup(self.asked.kill)
        self.link = self.asker.membership.links.find(self.asked.host)
        self.addAsyncCleanup(self.link.close)

    async def test_status_and_events(self):
        self.asked.timeline.record("failover.promoted", group="workshop")
        state = await self.link.call(AskStatus())
        self.assertEqual("pool-2", state.host.name)
        found = await self.link.call(AskEvents(group="workshop"))
        self.assertEqual(["failover.promoted"], [e.kind for e in found.events])
        self.assertEqual("pool-2", found.host)

    async def test_message_without_a_handler(self):
        with self.assertRaisesRegex(
            RemoteError, "pool-2 does not answer Switchover"
        ) as ctx:
            await self.link.call(Switchover("wc-1"))
        self.assertEqual(Verdict.NOT_RUN, ctx.exception.verdict)

    async def test_registered_handler(self):
        async def answer(exchange):
            return Opinion(exchange.message.instance, True, 3)

        self.asked.control.register(AskOpinion, answer)
        opinion = await self.link.call(AskOpinion("workshop", "wc-1"))
        self.assertEqual(Opinion("wc-1", True, 3), opinion)

    async def test_cuts_only_with_fault_injection(self):
        await self.link.call(SetCut(("pool-9",)))
        self.assertEqual(frozenset({"pool-9"}), self.asked.cuts.peers)
        self.asked.control = ControlServer(
            self.asked.timeline,
            self.asked.describe,
            self.asked.keeper,
            self.asked.membership,
        )
        with self.assertRaisesRegex(RemoteError, "fault_injection"):
            await self.link.call(SetCut(()))
        self.assertEqual(frozenset({"pool-9"}), self.asked.cuts.peers)
