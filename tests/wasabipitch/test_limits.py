import asyncio
import time
import unittest

from wasabipitch.deployment import Policy, RequestClass
from wasabipitch.exceptions import Overloaded
from wasabipitch.limits import MAX_QUEUED, FairQueue, FifoQueue, QueueKind, Scheduler
from wasabipitch.limits import Ticket as _Ticket

PAYMENT = RequestClass(name="payment", weight=30)
LOOKUP = RequestClass(name="lookup", weight=10)


def make_ticket(session="s", cls=LOOKUP, wait_s=5.0, **fields):
    fields.setdefault("may_run_on", lambda name: True)
    return _Ticket(session, cls, time.monotonic() + wait_s, **fields)


class QueueTest(unittest.IsolatedAsyncioTestCase):
    def serve(self, queue, count):
        order = []
        for _ in range(count):
            ticket = next(queue.next_tickets())
            queue.remove(ticket)
            queue.record_service(ticket, 1.0)
            order.append(ticket)
        return order

    async def test_classes_share_by_weight(self):
        queue = FairQueue()
        for n in range(40):
            queue.push(make_ticket(f"l{n}", LOOKUP))
            queue.push(make_ticket(f"p{n}", PAYMENT))
        served = self.serve(queue, 20)
        payments = sum(t.request_class is PAYMENT for t in served)
        self.assertIn(payments, (14, 15, 16))
        first_come = FifoQueue()
        for n in range(20):
            first_come.push(make_ticket(f"l{n}", LOOKUP))
        first_come.push(make_ticket("p", PAYMENT))
        self.assertIs(self.serve(first_come, 21)[-1].request_class, PAYMENT)

    async def test_sessions_are_served_round_robin(self):
        queue = FairQueue()
        for _ in range(5):
            queue.push(make_ticket("greedy"))
        queue.push(make_ticket("modest"))
        served = [t.session for t in self.serve(queue, 3)]
        self.assertIn("modest", served[:2])

    async def test_an_idle_class_gets_no_credit(self):
        queue = FairQueue()
        for n in range(50):
            queue.push(make_ticket(f"l{n}", LOOKUP))
        self.serve(queue, 30)
        for n in range(50):
            queue.push(make_ticket(f"p{n}", PAYMENT))
        served = self.serve(queue, 8)
        self.assertTrue(any(t.request_class is LOOKUP for t in served))


class SchedulerTest(unittest.IsolatedAsyncioTestCase):
    def make(self, **policy):
        return Scheduler(
            {"w1": 2, "w2": 2}, Policy(**policy), sorted, lambda name: name == "w1"
        )

    async def test_an_instance_never_runs_more_than_its_slots(self):
        scheduler = self.make(refuse_early=False)
        only_w1 = {"may_run_on": lambda name: name == "w1"}
        grants = [await scheduler.acquire(make_ticket(**only_w1)) for _ in range(2)]
        third = asyncio.create_task(scheduler.acquire(make_ticket(**only_w1)))
        await asyncio.sleep(0)
        self.assertFalse(third.done())
        grants[0].release()
        grants[0].release()
        self.assertEqual((await third).instance, "w1")
        self.assertEqual(scheduler.running_on("w1"), 2)

    async def test_an_open_transaction_never_waits_for_a_slot(self):
        # The statements that hold the slots may wait for a lock of the transaction.
        scheduler = self.make(refuse_early=False)
        only_w1 = {"may_run_on": lambda name: name == "w1"}
        grants = [await scheduler.acquire(make_ticket(**only_w1)) for _ in range(2)]
        pinned = make_ticket(pinned="w1", wait_s=0.05, **only_w1)
        grants.append(await scheduler.acquire(pinned))
        for grant in grants:
            grant.release()
        self.assertEqual((scheduler.running, scheduler.queued), (0, 0))

    async def test_long_work_never_holds_the_last_slot(self):
        for reserve, admitted in ((True, 1), (False, 2)):
            scheduler = self.make(reserve_slot=reserve, refuse_early=False)
            only_w1 = {"may_run_on": lambda name: name == "w1", "long": True}
            tasks = [
                asyncio.create_task(scheduler.acquire(make_ticket(**only_w1)))
                for _ in range(2)
            ]
            await asyncio.sleep(0.01)
            self.assertEqual(sum(t.done() for t in tasks), admitted)
            for task in tasks:
                task.cancel()
            await asyncio.gather(*tasks, return_exceptions=True)

    async def test_a_replica_serves_the_replica_queue(self):
        scheduler = self.make()
        grant = await scheduler.acquire(
            make_ticket(
                queue_kind=QueueKind.REPLICA, may_run_on=lambda name: name == "w2"
            )
        )
        self.assertEqual(grant.instance, "w2")

    async def test_refuses_at_once_what_cannot_meet_its_deadline(self):
        for early in (True, False):
            scheduler = self.make(refuse_early=early)
            scheduler._service_s[QueueKind.PRIMARY] = 1.0
            holders = [await scheduler.acquire(make_ticket()) for _ in range(2)]
            ticket = make_ticket(wait_s=0.05)
            started = time.monotonic()
            with self.assertRaises(Overloaded) as caught:
                await scheduler.acquire(ticket)
            at_once = "expected wait" in caught.exception.message
            self.assertEqual(at_once, early)
            self.assertEqual(time.monotonic() - started < 0.05, early)
            self.assertEqual((len(holders), scheduler.queued), (2, 0))

    async def test_the_queue_is_bounded(self):
        scheduler = self.make(refuse_early=False)
        never = {"may_run_on": lambda name: False}
        tasks = [
            asyncio.create_task(scheduler.acquire(make_ticket(f"s{n}", **never)))
            for n in range(MAX_QUEUED)
        ]
        await asyncio.sleep(0)
        with self.assertRaises(Overloaded):
            await scheduler.acquire(make_ticket(**never))
        for task in tasks:
            task.cancel()
        await asyncio.gather(*tasks, return_exceptions=True)
        self.assertEqual(scheduler.queued, 0)

    async def test_a_slot_that_frees_as_a_wait_ends_is_not_lost(self):
        scheduler = self.make(refuse_early=False)
        grants = [await scheduler.acquire(make_ticket()) for _ in range(2)]
        tickets = [make_ticket(), make_ticket()]
        waiters = [asyncio.create_task(scheduler.acquire(t)) for t in tickets]
        await asyncio.sleep(0)
        # As in a timeout, the wait is cancelled before its task can leave the queue.
        waiters[0].cancel()
        grants[0].release()
        granted = await waiters[1]
        for grant in (*grants, granted):
            grant.release()
        await asyncio.gather(*waiters, return_exceptions=True)
        self.assertEqual((scheduler.running, scheduler.queued), (0, 0))

    async def test_a_cancelled_waiter_leaves_no_slot_held(self):
        scheduler = self.make(refuse_early=False)
        grants = [await scheduler.acquire(make_ticket()) for _ in range(2)]
        waiter = asyncio.create_task(scheduler.acquire(make_ticket()))
        await asyncio.sleep(0)
        grants[0].release()
        waiter.cancel()
        await asyncio.gather(waiter, return_exceptions=True)
        for grant in grants:
            grant.release()
        self.assertEqual((scheduler.running, scheduler.queued), (0, 0))
