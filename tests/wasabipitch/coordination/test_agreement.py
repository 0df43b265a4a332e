import unittest

from tests.wasabipitch.coordination.peers_fixture import run_peers
from wasabipitch.clock import now_s
from wasabipitch.coordination.agreement import RecordAgreement
from wasabipitch.peer_messages import AskAgreement, AskHead
from wasabipitch.policy.quorum import MAX_QUORUM_HOSTS, MAX_STORE_OUTAGE_S


class AgreementTest(unittest.IsolatedAsyncioTestCase):
    async def asyncSetUp(self):
        self.heads = {"a": 7, "b": 7, "c": 7}
        self.silent = set()
        # Larger fleets have no quorum.
        self.names = MAX_QUORUM_HOSTS + 1
        self.confirmed_s = dict.fromkeys(self.heads, now_s())
        self.agreements = {}
        peers = run_peers({name: self.make_handler(name) for name in self.heads})
        self.peers = await self.enterAsyncContext(peers)
        for name, peer in self.peers.items():
            others = [p.host for other, p in self.peers.items() if other != name]
            self.agreements[name] = RecordAgreement(
                peer.host,
                peer.links,
                lambda others=others: list(others),
                lambda name=name: self.heads[name],
                lambda name=name: self.confirmed_s[name],
                lambda: self.names,
            )

    def make_handler(self, name):
        async def handle(exchange):
            if name in self.silent:
                return None
            match exchange.message:
                case AskHead():
                    return self.agreements[name].answer_head()
                case AskAgreement() as ask:
                    return await self.agreements[name].answer(ask)

        return handle

    async def test_hosts_with_equal_heads_agree(self):
        before_s = now_s()
        for name in self.heads:
            confirmed_s = await self.agreements[name].confirm()
            self.assertIsNotNone(confirmed_s)
            self.assertLessEqual(confirmed_s, now_s())
            self.assertGreater(confirmed_s, before_s - 1)

    async def test_a_host_with_a_newer_record_prevents_agreement(self):
        self.heads["c"] = 8
        for name in ("a", "b"):
            self.assertIsNone(await self.agreements[name].confirm())

    async def test_a_silent_host_prevents_agreement(self):
        self.silent.add("c")
        self.assertIsNone(await self.agreements["a"].confirm())
        self.assertIsNone(await self.agreements["b"].confirm())

    async def test_a_host_with_an_older_head_is_not_confirmed(self):
        self.heads["b"] = 6
        self.assertIsNotNone(await self.agreements["a"].confirm())
        self.assertIsNone(await self.agreements["b"].confirm())

    async def test_a_host_that_does_not_run_is_left_out(self):
        await self.peers["c"].server.close()
        self.assertIsNotNone(await self.agreements["a"].confirm())

    async def test_a_collector_too_long_without_the_store_does_not_agree(self):
        self.confirmed_s["a"] = now_s() - MAX_STORE_OUTAGE_S - 1
        self.assertIsNone(await self.agreements["b"].confirm())

    async def test_a_majority_of_a_small_fleet_agrees_without_a_lost_host(self):
        self.silent.add("c")
        self.names = 3
        self.assertIsNotNone(await self.agreements["a"].confirm())
        self.names = 4
        self.agreements["a"]._round = None
        self.assertIsNone(await self.agreements["a"].confirm())

    async def test_a_majority_does_not_overrule_a_newer_record(self):
        self.names = 3
        self.heads["c"] = 8
        self.assertIsNone(await self.agreements["a"].confirm())

    async def test_a_host_that_has_not_read_the_store_adds_to_no_majority(self):
        # It may have known a newer record before its restart.
        self.names = 3
        self.confirmed_s["b"] = 0.0
        self.silent.add("c")
        self.assertIsNone(await self.agreements["a"].confirm())
        self.silent.clear()
        self.agreements["a"]._round = None
        self.assertIsNotNone(await self.agreements["a"].confirm())
