"""Replays the patterns of load that ``policy/connection_use.py`` names."""

import asyncio
import random
import unittest

from tests.wasabipitch.instances.simulation import (
    OBJECTIVE_S,
    Owner,
    run_virtual,
    simulated_instances,
)
from wasabipitch.exceptions import Overloaded
from wasabipitch.instances.pool import ACCOUNT_IDLE_TIMEOUT_S, SHARE_TAKEOVER_S
from wasabipitch.wire.messages import SessionState


def percentile(durations, share):
    return sorted(durations)[int(share * len(durations))]


def join(outcomes, skipped=""):
    """Return the durations of all accounts but one."""
    return [
        duration_s
        for account, durations in outcomes.items()
        for duration_s in durations
        if account != skipped
    ]


class ManySmallAccountsTest(unittest.TestCase):
    def test_accounts_without_a_connection_of_their_own_are_served_in_time(self):
        async def replay():
            with simulated_instances() as instances:
                owner = Owner(instances, share=6)
                await asyncio.gather(*(owner.send(f"a-{n}", 0.6, 8) for n in range(83)))
                owner.close()
            return owner, instances

        owner, instances = run_virtual(replay)
        served = join(owner.served)
        self.assertGreater(len(served), 300)
        self.assertEqual(join(owner.refused), [])
        self.assertLess(percentile(served, 0.99), OBJECTIVE_S / 2)
        self.assertEqual([instance.refused for instance in instances], [0, 0, 0])
        self.assertLessEqual(max(instance.most for instance in instances), 6)
        # Some statements find a connection of their account.
        self.assertLess(owner.count("instance_connections_opened"), 0.9 * len(served))

    def test_connections_that_nobody_else_needs_are_kept(self):
        # Each handshake costs a slot 12 ms; an idle timeout of 1 s needed one for
        # nearly every statement of an account that sends one every 2 s.
        async def replay():
            with simulated_instances() as instances:
                owner = Owner(instances, share=6)
                await asyncio.gather(*(owner.send(f"a-{n}", 0.5, 20) for n in range(5)))
                opened = owner.count("instance_connections_opened")
                await asyncio.sleep(ACCOUNT_IDLE_TIMEOUT_S + 0.5)
                left = [pool.open for pool in owner.dispatcher.pools.values()]
                owner.close()
            return opened, left

        opened, left = run_virtual(replay)
        self.assertLessEqual(opened, 2 * 5 + 3)
        # The last one shows a lost instance without traffic.
        self.assertEqual(left, [1, 1, 1])


class HotAccountTest(unittest.TestCase):
    def replay(self, hot_rate, small_rate=1.0, duration_s=6):
        async def replay():
            with simulated_instances() as instances:
                owner = Owner(instances, share=6)
                most = []
                await asyncio.gather(
                    owner.send("hot", hot_rate, duration_s),
                    self.watch_hot(owner, most, duration_s),
                    *(owner.send(f"a-{n}", small_rate, duration_s) for n in range(20)),
                )
                owner.close()
            return owner, most

        return run_virtual(replay)

    async def watch_hot(self, owner, most, duration_s):
        for _ in range(20 * duration_s):
            await asyncio.sleep(0.05)
            pools = owner.dispatcher.pools.values()
            most.append(max(pool._held_by.get("hot", 0) for pool in pools))

    def test_small_accounts_are_served_in_time_beside_a_hot_one(self):
        owner, most = self.replay(hot_rate=900)
        small = join(owner.served, "hot")
        self.assertEqual(join(owner.refused, "hot"), [])
        self.assertLess(percentile(small, 0.95), OBJECTIVE_S / 2)
        # The first seconds apart, in which others may not be active yet.
        self.assertLessEqual(max(most[20:]), 3)

    def test_hot_account_is_refused_early_above_its_share(self):
        owner, _ = self.replay(hot_rate=900)
        self.assertGreater(len(owner.refused["hot"]), 100)
        self.assertLess(percentile(owner.refused["hot"], 0.9), 0.05)
        self.assertLess(percentile(owner.served["hot"], 0.9), OBJECTIVE_S)

    def test_hot_account_within_the_capacity_is_not_refused(self):
        owner, _ = self.replay(hot_rate=300)
        self.assertEqual(join(owner.refused), [])
        self.assertLess(percentile(owner.served["hot"], 0.95), OBJECTIVE_S / 2)

    def test_account_alone_may_use_all_connections(self):
        async def replay():
            with simulated_instances(count=1) as instances:
                owner = Owner(instances, share=6, hosts=1)
                # Its transactions pause for longer than the mean checkout takes.
                acquire = owner.dispatcher.acquire
                held = [acquire(owner.make_request("hot")) for _ in range(6)]
                checkouts = await asyncio.gather(*held)
                owner.close()
            return checkouts

        self.assertEqual(len(run_virtual(replay)), 6)


class RestartTest(unittest.TestCase):
    def test_peak_without_a_connection_open_is_served_in_time(self):
        async def replay():
            with simulated_instances() as instances:
                owner = Owner(instances, share=6)
                await asyncio.gather(
                    *(
                        owner.run(f"a-{n % 30}", 0.012, writes=n % 5 == 0)
                        for n in range(40)
                    )
                )
                owner.close()
            return owner, instances

        owner, instances = run_virtual(replay)
        served = join(owner.served)
        self.assertEqual(len(served), 40)
        # Nothing is opened that no request needs.
        self.assertNotIn("", [a for i in instances for a in i.handshakes])
        # One handshake at a time, of 14 ms each, would take 0.18 s at three instances.
        self.assertLess(max(served), 0.15)
        self.assertLessEqual(max(instance.most for instance in instances), 6)

    def test_connection_that_shows_a_lost_instance_is_opened_later(self):
        async def replay():
            with simulated_instances() as instances:
                owner = Owner(instances, share=6)
                await asyncio.sleep(1.0)
                owner.close()
            return instances

        instances = run_virtual(replay)
        self.assertEqual([i.handshakes for i in instances], [[""], [""], [""]])

    def test_several_owners_start_at_once_within_the_limit(self):
        async def replay():
            with simulated_instances(max_connections=28) as instances:
                owners = [Owner(instances, share=6, seed=n) for n in range(4)]
                await asyncio.gather(
                    *(
                        owner.run(f"a-{n}", 0.012, writes=n % 5 == 0)
                        for owner in owners
                        for n in range(15)
                    )
                )
                for owner in owners:
                    owner.close()
            return owners, instances

        owners, instances = run_virtual(replay)
        self.assertEqual([instance.refused for instance in instances], [0, 0, 0])
        self.assertEqual(sum(len(join(owner.served)) for owner in owners), 60)


class OwnerChangeTest(unittest.TestCase):
    """Guards against connections refused because their sum exceeds the limit."""

    def replay(self, change, limit=20):
        async def replay():
            with simulated_instances(max_connections=limit) as instances:
                owners = [Owner(instances, share=6, seed=n) for n in range(3)]
                owners.append(Owner(instances, share=0, seed=3))
                load = [
                    asyncio.ensure_future(owner.send(f"a-{n}", 4.0, 5))
                    for owner in owners[:3]
                    for n in range(30)
                ]
                await asyncio.sleep(1.5)
                load += await change(owners)
                await asyncio.gather(*load)
                for owner in owners:
                    owner.allowed = owner.dispatcher.pools["i-0"].allowed
                    owner.close()
            return owners, instances

        owners, instances = run_virtual(replay)
        self.assertEqual([instance.refused for instance in instances], [0, 0, 0])
        self.assertLessEqual(max(instance.most for instance in instances), limit)
        return owners

    async def load(self, owner):
        return [
            asyncio.ensure_future(owner.send(f"a-{n}", 4.0, 3.5)) for n in range(30)
        ]

    def test_new_owner_takes_the_share_of_one_that_learns_of_it_later(self):
        async def change(owners):
            owners[3].update(6)
            load = await self.load(owners[3])
            await asyncio.sleep(0.7)
            owners[0].update(0)
            return load

        owners = self.replay(change)
        self.assertGreater(len(join(owners[3].served)), 100)

    def test_new_host_takes_the_share_of_another(self):
        async def change(owners):
            owners[3].dispatcher.update({}, 0, has_accounts=True)
            owners[3].update(6, is_joining=True)
            load = await self.load(owners[3])
            await asyncio.sleep(0.7)
            owners[0].update(0)
            return load

        self.replay(change)

    def test_shares_grow_where_an_owner_is_removed(self):
        async def change(owners):
            owners[1].update(9)
            await asyncio.sleep(0.4)
            owners[2].update(9)
            await asyncio.sleep(0.3)
            owners[0].update(0)
            return []

        owners = self.replay(change)
        self.assertEqual([owner.allowed for owner in owners], [0, 9, 9, 0])

    def test_transaction_that_outlives_a_share_is_not_cut(self):
        async def replay():
            with simulated_instances(count=1) as instances:
                owner = Owner(instances, share=2)
                checkout = await owner.dispatcher.acquire(owner.make_request("north"))
                owner.update(0)
                await asyncio.sleep(SHARE_TAKEOVER_S)
                was_open = checkout.conn.is_open
                checkout.release()
                await asyncio.sleep(0.1)
                owner.close()
            return was_open, instances

        was_open, [instance] = run_virtual(replay)
        self.assertTrue(was_open)
        self.assertEqual(instance.connections, set())


class MixedFaultsTest(unittest.TestCase):
    """Guards against a statement on the connection of another account."""

    def test_no_statement_runs_on_the_connection_of_another_account(self):
        for seed in range(5):
            with self.subTest(seed=seed):
                instances = run_virtual(lambda seed=seed: self.replay(seed))
                self.assertLessEqual(max(i.most for i in instances), 3)
                self.assertEqual([i.mixed for i in instances], [[], [], []])

    async def replay(self, seed):
        rng = random.Random(seed)
        with simulated_instances() as instances:
            owner = Owner(instances, share=3, seed=seed)
            pools = owner.dispatcher.pools.values()
            users = asyncio.gather(*(self.use(owner, rng, f"a-{n}") for n in range(12)))
            while not users.done():
                await asyncio.sleep(0.01)
                self.assertLessEqual(max(pool.held for pool in pools), 3)
            self.assertGreater(sum(users.result()), 100)
            await asyncio.sleep(1.0)
            for pool in pools:
                self.assertEqual(sum(pool._held_by.values()), pool.open)
                self.assertEqual(pool.held, pool.open)
                self.assertFalse(any(pool._used_by.values()))
                self.assertFalse(pool._opening_by)
            owner.close()
        return instances

    async def use(self, owner, rng, account):
        """Run statements with faults and return how many got a connection."""
        count = 0
        for _ in range(25):
            await asyncio.sleep(rng.random() * 0.05)
            try:
                checkout = await owner.dispatcher.acquire(owner.make_request(account))
            except Overloaded:
                continue
            count += 1
            statement = checkout.conn.start(account, rng.random() * 0.03)
            fault = rng.randrange(6)
            if fault == 0:
                checkout.conn.state = SessionState.IN_TRANSACTION
            elif fault == 1:
                checkout.conn.close()
            elif fault > 2:
                await statement
            # Otherwise the statement is abandoned.
            checkout.release()
        return count


class WithoutAccountsTest(unittest.TestCase):
    def test_connections_are_opened_one_at_a_time_up_to_the_overflow(self):
        # Deployments without accounts behave as before there were any.
        async def replay():
            with simulated_instances(count=1) as instances:
                owner = Owner(instances, share=6, has_accounts=False, hosts=1)
                pool = owner.dispatcher.pools["i-0"]
                acquire = owner.dispatcher.acquire
                opening, checkouts = [], []
                for _ in range(2):
                    requests = [owner.make_request("") for _ in range(4)]
                    held = asyncio.gather(*map(acquire, requests))
                    while not held.done():
                        await asyncio.sleep(0.001)
                        opening.append(pool._opening)
                    checkouts += held.result()
                most = pool.open
                for checkout in checkouts:
                    checkout.release()
                await asyncio.sleep(2.0)
                left = pool.open
                owner.close()
            return most, max(opening), left

        self.assertEqual(run_virtual(replay), (8, 1, 1))
