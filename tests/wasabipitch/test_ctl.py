import asyncio
import contextlib
import io
import json
import tempfile
import unittest
from pathlib import Path
from unittest import mock

from msgspec import structs

from tests.wasabipitch.memory_store import MemoryStore
from tests.wasabipitch.processes import KEY, Process, wait_until
from wasabipitch import changes, declare, envelopes, orders, plans
from wasabipitch.cli import ctl
from wasabipitch.deployment import dump, parse
from wasabipitch.fleet import Fleet
from wasabipitch.messages import (
    AskEvents,
    Done,
    GroupState,
    InstanceState,
    ProcessState,
    Switchover,
)
from wasabipitch.models import Host, Position
from wasabipitch.outcomes import CommandSession, Options
from wasabipitch.store import HostList


def make_deployment(slots=2, classes=(), names=("wc-a", "wc-b", "wc-c")):
    instances = [
        declare.instance(name, f"127.0.0.1:{4000 + i}", f"dc{i}")
        for i, name in enumerate(names)
    ]
    group = declare.group("workshop", instances, slots=slots)
    return declare.deployment("wheelcraft", groups=[group], classes=classes)


class CommandLineTests(unittest.TestCase):
    def run_command_line(self, *args):
        """Return the exit code and what was printed."""
        out = io.StringIO()
        with (
            mock.patch("sys.argv", ["wasabipitch-ctl", *args]),
            mock.patch.dict("os.environ", WASABIPITCH_PLATFORM=""),
            contextlib.redirect_stdout(out),
            contextlib.redirect_stderr(out),
            self.assertRaises(SystemExit) as caught,
        ):
            ctl.main()
        return caught.exception.code, out.getvalue()

    def test_wrong_usage_is_refused_before_anything_is_done(self):
        with mock.patch("wasabipitch.ctl.run_command") as run:
            for line in (
                (),
                ("frobnicate",),
                ("status",),
                ("status", "--platform=nonsense"),
                ("apply", "a.yaml", "--platform=127.0.0.1:1", "--bogus"),
                ("apply", "a.yaml", "b.yaml", "c.yaml", "--platform=127.0.0.1:1"),
                ("apply", "a.yaml", "--expect=x", "--platform=127.0.0.1:1"),
            ):
                code, printed = self.run_command_line(*line)
                self.assertEqual(2, code, line)
                self.assertTrue(printed, line)
            run.assert_not_called()

    def test_check_reports_every_error_with_its_path(self):
        with tempfile.NamedTemporaryFile("w", suffix=".yaml") as file:
            file.write("name: Bad\ngroups: []\nclasses: [{name: a, weight: 0}]\n")
            file.flush()
            code, printed = self.run_command_line("check", "--json", file.name)
        self.assertEqual(2, code)
        error = json.loads(printed)["error"]
        self.assertIn("classes.0.weight", error)
        self.assertIn("name: ", error)

    def test_status_fails_when_the_platform_does_not_answer(self):
        code, printed = self.run_command_line("status", "--platform=127.0.0.1:1")
        self.assertEqual(1, code)
        self.assertIn("127.0.0.1:1", printed)


class PlanTests(unittest.TestCase):
    def plan(self, before, after):
        return {(s.subject, s.change): s for s in plans.plan_change(before, after)}

    def test_steps_and_their_effects(self):
        before = make_deployment(classes=[declare.payment()])
        after = make_deployment(
            4, [declare.read("lookup")], names=("wc-a", "wc-b", "wc-d")
        )
        steps = self.plan(before, after)
        self.assertIn("slots: 2 -> 4", steps["group workshop", "changed"].details)
        self.assertIn("no new work", steps["instance wc-c", "removed"].effect)
        self.assertIn("refused (not run)", steps["class payment", "removed"].effect)
        self.assertIn(("instance wc-d", "added"), steps)
        self.assertIn(("class lookup", "added"), steps)
        self.assertEqual(5, len(steps))

    def test_effect_of_marking_an_instance_as_leaving(self):
        before = make_deployment()
        stored = envelopes.StoredConfiguration(1, dump(before), None)
        after = changes.set_leaving(stored, "wc-b", True)
        steps = self.plan(before, after)
        self.assertIn("hands over", steps["instance wc-b", "changed"].effect)
        self.assertEqual({}, self.plan(before, before))

    def test_warnings(self):
        deployment = make_deployment(names=("wc-a", "wc-b"))
        self.assertIn("has 2 instances", plans.find_warnings(deployment)[0])


class OperationTests(unittest.IsolatedAsyncioTestCase):
    async def asyncSetUp(self):
        self.store = MemoryStore()
        self.processes = []
        self.directory = tempfile.TemporaryDirectory()
        self.addCleanup(self.directory.cleanup)

    async def start_processes(self, *names, run=True):
        for i, name in enumerate(names):
            role = name.partition("-")[0]
            process = await Process(name, self.store, role, seed=i).start()
            self.addAsyncCleanup(process.kill)
            self.processes.append(process)
        self.store.listed = HostList(tuple(p.host for p in self.processes), 1)
        for process in self.processes:
            if run:
                process.run()

    async def make_session(self, timeout_s=5.0):
        fleet = Fleet(self.store)
        self.addAsyncCleanup(fleet.links.close)
        options = Options(None, KEY, timeout_s=timeout_s, show_progress=False)
        return CommandSession(options, self.store, fleet)

    def write_file(self, deployment, name="wheelcraft.yaml"):
        path = Path(self.directory.name, name)
        path.write_text(dump(deployment), encoding="utf-8")
        return str(path)

    async def test_apply_reaches_every_process_and_is_safe_to_repeat(self):
        await self.start_processes("pool-1", "pool-2", "entry-1")
        session = await self.make_session()
        path = self.write_file(make_deployment())
        self.store.lost_answers = 1
        outcome = await changes.apply(session, path, -1, "malee")
        self.assertEqual((0, 3), (outcome.exit_code, outcome.report.processes))
        self.assertIn("on 3 of 3 processes", outcome.text)
        again = await changes.apply(session, path, -1, "malee")
        self.assertEqual(0, again.exit_code)
        self.assertFalse(again.report.changed)
        self.assertEqual(1, self.store.revision)

    async def test_one_of_two_concurrent_applies_conflicts(self):
        session = await self.make_session(timeout_s=0)
        base = self.write_file(make_deployment())
        await changes.apply(session, base, -1, "malee")
        files = [
            self.write_file(make_deployment(slots), f"{slots}.yaml") for slots in (3, 4)
        ]
        outcomes = await asyncio.gather(
            changes.apply(session, files[0], -1, "malee"),
            changes.apply(session, files[1], -1, "somchai"),
        )
        self.assertEqual([0, 3], sorted(o.exit_code for o in outcomes))
        stored = await envelopes.read_stored(self.store, KEY)
        conflict = next(o for o in outcomes if o.exit_code == 3)
        slots = parse(stored.document).groups[0].slots
        self.assertIn(slots, (3, 4))
        self.assertIn("-  slots: 2", conflict.report.difference)
        self.assertIn(f"+  slots: {slots}", conflict.report.difference)

    async def test_apply_from_an_old_revision_shows_the_difference(self):
        session = await self.make_session(timeout_s=0)
        for slots in (2, 3):
            path = self.write_file(make_deployment(slots))
            await changes.apply(session, path, -1, "malee")
        outcome = await changes.apply(
            session, self.write_file(make_deployment(4)), 1, "somchai"
        )
        self.assertEqual(3, outcome.exit_code)
        self.assertIn("-  slots: 4\n+  slots: 3", outcome.text)

    async def test_status_lists_processes_behind_and_unresponsive(self):
        await self.start_processes("pool-1", "pool-2", "pool-3", run=False)
        instance = InstanceState(
            "wc-a", "127.0.0.1:4000", "dc0", "primary", 4, 4, Position(4, 9), True, True
        )
        group = GroupState("workshop", "wc-a", 4, "pool-1", 0, 5, 2, 2, (instance,))
        first, second, third = self.processes
        first.control._describe = lambda: ProcessState(
            first.host, 8, 1.0, groups=(group,)
        )
        second.control._describe = lambda: ProcessState(second.host, 7, 1.0)
        await third.kill()
        text = (await orders.status(await self.make_session())).text
        self.assertIn("configuration revision 8: on 1 of 3 processes", text)
        self.assertIn("behind: pool-2 (revision 7)", text)
        self.assertIn("no answer: pool-3", text)
        self.assertIn("group workshop: primary wc-a, term 4, served by pool-1", text)
        self.assertIn("2 running, 5 queued", text)

    async def test_timeline_is_merged_and_filtered(self):
        await self.start_processes("pool-1", "pool-2", run=False)
        first, second = self.processes
        first.timeline.record("failover.suspected", group="workshop", term=4)
        second.timeline.clock.observe(first.timeline.clock.tick())
        second.timeline.record("failover.promoted", group="workshop", term=5)
        first.timeline.record("failover.promoted", group="ledger", term=2)
        self.store.listed = HostList(
            (*self.store.listed.hosts, Host("pool-3", "pool", "127.0.0.1:1", "dc0")), 2
        )
        session = await self.make_session()
        outcome = await orders.timeline(session, AskEvents(group="workshop"))
        kinds = [e.kind for e in outcome.report.events]
        self.assertEqual(["failover.suspected", "failover.promoted"], kinds)
        self.assertIn("no answer: pool-3", outcome.text)

    async def test_switchover_asks_the_first_owner(self):
        await self.start_processes("pool-1", "pool-2", run=False)
        asked = []
        for rank, process in enumerate(reversed(self.processes)):
            group = GroupState("workshop", "wc-b", 5, "pool-2", rank, 0, 0, 2, ())
            state = ProcessState(process.host, 1, 1.0, groups=(group,))
            process.control._describe = lambda state=state: state

            async def switch(exchange, name=process.name):
                asked.append((name, exchange.message))
                return Done("wc-b had caught up")

            process.control.register(Switchover, switch)
        outcome = await orders.switch_over(
            await self.make_session(), "workshop", "wc-b"
        )
        self.assertEqual([("pool-2", Switchover("workshop", "wc-b"))], asked)
        self.assertEqual(("wc-b", 5), (outcome.report.primary, outcome.report.term))

    async def test_drain_waits_until_the_work_has_finished(self):
        await self.start_processes("pool-1")
        (pool,) = self.processes
        session = await self.make_session()
        await changes.apply(session, self.write_file(make_deployment()), -1, "malee")
        running = iter([3, 2, 0])

        def describe():
            leaving = pool.keeper.current.groups[0].instance("wc-b").leaving
            instance = InstanceState(
                "wc-b", "", "", "replica", 1, 1, Position(1, 1), True, True, leaving
            )
            count = next(running) if leaving else 3
            view = structs.replace(instance, running=count)
            group = GroupState("workshop", "wc-a", 1, "pool-1", 0, 0, 0, 2, (view,))
            return ProcessState(pool.host, pool.keeper.revision, 1.0, groups=(group,))

        pool.control._describe = describe
        outcome = await changes.drain(session, "wc-b", False, "malee")
        self.assertEqual("", outcome.report.waiting)
        outcome = await changes.drain(session, "wc-b", True, "malee")
        await wait_until(lambda: pool.keeper.revision == outcome.report.revision)
        self.assertFalse(pool.keeper.current.groups[0].instance("wc-b").leaving)
        outcome = await changes.drain(session, "wc-z", False, "malee")
        self.assertEqual(2, outcome.exit_code)
