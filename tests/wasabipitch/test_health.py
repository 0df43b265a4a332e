import time
import unittest

from wasabipitch import health
from wasabipitch.deployment import Group, Instance
from wasabipitch.events import Timeline
from wasabipitch.exceptions import TargetLost
from wasabipitch.health import Leadership, Monitor
from wasabipitch.messages import AskEvents
from wasabipitch.metrics import StatsdMetrics
from wasabipitch.models import Position
from wasabipitch.targets import InstanceStatus
from wasabipitch.view import MAX_SAMPLES, GroupView, InstanceView, PrimarySample

NAMES = ("a", "b", "c")


class SilentChannel:
    """Gives no answer; ``pause_s`` blocks the event loop before each failure."""

    def __init__(self, pause_s: float) -> None:
        self.pause_s = pause_s

    async def status(self, timeout_s: float) -> InstanceStatus:
        time.sleep(self.pause_s)
        raise TargetLost("no answer")


def make_view(channel=None) -> GroupView:
    instances = tuple(
        Instance(name=n, address=f"127.0.0.1:{i + 1}", data_centre=f"dc-{n}")
        for i, n in enumerate(NAMES)
    )
    views = {i.name: InstanceView(i, channel) for i in instances}
    return GroupView(Group(name="workshop", instances=instances), views)


def make_status(name: str, **fields) -> InstanceStatus:
    facts = {
        "name": name,
        "role": "replica",
        "term": 2,
        "fence": 2,
        "position": Position(2, 9),
        "member": True,
        "leader": "127.0.0.1:1",
    }
    return InstanceStatus(**{**facts, **fields})


def make_healthy_view() -> GroupView:
    """Return the view of a group whose primary a is established at term 2."""
    view = make_view()
    for name in NAMES:
        view.update(name, make_status(name), 100.0)
    view.update("a", make_status("a", role="primary", leader=""), 100.0)
    view.establish("a", 2)
    return view


class MonitorTest(unittest.IsolatedAsyncioTestCase):
    async def probe(self, pause_s: float, times: int) -> int:
        self.timeline = Timeline("pool1")
        view = make_view(SilentChannel(pause_s))
        monitor = Monitor(view, self.timeline, StatsdMetrics())
        for _ in range(times):
            await monitor.probe(view.instances["a"])
        return view.instances["a"].misses

    async def test_silence_is_a_miss(self) -> None:
        self.assertEqual(await self.probe(0, 2), 2)
        kinds = [e.kind for e in self.timeline.select(AskEvents())]
        self.assertEqual(kinds, ["health.lost"])

    async def test_only_the_first_owner_probes_often(self) -> None:
        view = make_view(SilentChannel(0))
        instance = view.instances["a"]
        intervals = []
        for rank in (0, 1):
            monitor = Monitor(view, Timeline("p"), StatsdMetrics(), lambda r=rank: r)
            intervals.append(monitor._choose_interval_s(instance))
        self.assertLess(intervals[0], intervals[1])
        instance.misses = 1
        self.assertLess(monitor._choose_interval_s(instance), intervals[0])

    async def test_pause_of_this_process_is_ignored_a_few_times(self) -> None:
        pause_s = health.PROBE_TIMEOUT_S + health.PAUSE_THRESHOLD_S
        self.assertEqual(await self.probe(pause_s, health.MAX_IGNORED_MISSES), 0)
        self.assertEqual(await self.probe(pause_s, health.MAX_IGNORED_MISSES + 1), 1)


class EstablishedTest(unittest.TestCase):
    def setUp(self) -> None:
        self.view = make_healthy_view()

    def test_primary_that_a_majority_follows(self) -> None:
        self.view.record_miss("c")
        self.assertEqual(health.find_established(self.view), Leadership("a", 2))
        self.assertEqual(health.find_suspicion_reason(self.view), "")

    def test_majority_excludes_instances_that_cannot_confirm(self) -> None:
        for what, fields in (
            ("opening entry missing", {"position": Position(1, 50)}),
            ("fenced at a later term", {"fence": 3}),
            ("restarted empty", {"member": False}),
        ):
            with self.subTest(what):
                for name in ("b", "c"):
                    self.view.update(name, make_status(name, **fields), 101.0)
                self.assertIsNone(health.find_established(self.view))

    def test_lost_primary_is_not_established_by_its_last_report(self) -> None:
        self.view.record_miss("a")
        self.assertIsNone(health.find_established(self.view))
        self.assertEqual(health.find_suspicion_reason(self.view), "")
        self.view.record_miss("a")
        self.assertIn("missed 2 probes", health.find_suspicion_reason(self.view))

    def test_primary_of_a_later_term_replaces(self) -> None:
        later = {"role": "primary", "term": 3, "fence": 3, "leader": ""}
        self.view.update("b", make_status("b", **later), 101.0)
        self.assertIsNone(health.find_established(self.view))
        self.assertIn(
            "b was promoted at term 3", health.find_suspicion_reason(self.view)
        )
        followed = {"fence": 3, "term": 3, "position": Position(3, 10)}
        self.view.update("c", make_status("c", **followed), 101.0)
        self.assertIsNone(health.find_established(self.view))
        opened = {**later, "position": Position(3, 10)}
        self.view.update("b", make_status("b", **opened), 102.0)
        self.assertEqual(health.find_established(self.view), Leadership("b", 3))

    def test_primary_is_suspected_when_fenced_or_demoted(self) -> None:
        for fields, words in (
            ({"role": "primary", "fence": 4}, "fenced at term 4"),
            ({"role": "replica", "term": 0, "fence": 0}, "no longer the primary"),
        ):
            with self.subTest(words):
                self.view.update("a", make_status("a", **fields), 101.0)
                self.assertIn(words, health.find_suspicion_reason(self.view))

    def test_replicas_name_a_primary_that_never_answered(self) -> None:
        self.view.instances["a"].status = None
        self.assertEqual(health.infer_primary(self.view), Leadership("a", 2))


class AgeTest(unittest.TestCase):
    def setUp(self) -> None:
        self.view = make_healthy_view()
        self.view.samples.clear()
        for at_s, index in ((98.0, 7), (99.0, 8), (100.0, 9)):
            self.view.add_sample(PrimarySample(at_s, Position(2, index)))

    def age_of(self, index: int) -> float | None:
        status = make_status("b", position=Position(2, index))
        self.view.update("b", status, 100.0)
        return health.age_s(self.view, "b", 101.0)

    def test_age_runs_from_the_sample_that_the_replica_has_reached(self) -> None:
        self.assertEqual([self.age_of(i) for i in (9, 8, 7)], [1.0, 2.0, 3.0])
        self.assertIsNone(self.age_of(6))

    def test_age_of_an_idle_group_runs_from_the_latest_sample(self) -> None:
        self.view.add_sample(PrimarySample(100.5, Position(2, 9)))
        for name in ("a", "c"):
            status = make_status(name, role="primary" if name == "a" else "replica")
            self.view.update(name, status, 100.5)
        self.assertEqual(self.age_of(9), 0.5)

    def test_samples_out_of_order_are_dropped(self) -> None:
        before = list(self.view.samples)
        for at_s, index in ((99.5, 9), (101.0, 8)):
            self.view.add_sample(PrimarySample(at_s, Position(2, index)))
        self.assertEqual(self.view.samples, before)

    def test_sample_counts_only_once_a_majority_confirms_it(self) -> None:
        self.view.add_sample(PrimarySample(100.8, Position(2, 9)))
        self.view.update("a", make_status("a", role="primary"), 100.8)
        self.assertEqual(self.age_of(9), 1.0)
        self.view.update("c", make_status("c"), 100.9)
        self.assertAlmostEqual(self.age_of(9), 0.2)

    def test_isolated_old_primary_gives_no_age(self) -> None:
        for name in ("b", "c"):
            self.view.update(name, make_status(name, fence=3), 100.5)
        self.assertIsNone(health.age_s(self.view, "b", 101.0))

    def test_position_of_another_term_has_no_age(self) -> None:
        self.view.update("b", make_status("b", position=Position(3, 1)), 100.5)
        self.assertIsNone(health.age_s(self.view, "b", 101.0))

    def test_samples_are_bounded(self) -> None:
        for i in range(2 * MAX_SAMPLES):
            self.view.add_sample(PrimarySample(101.0 + i, Position(2, 10 + i)))
        self.assertEqual(len(self.view.samples), MAX_SAMPLES)
