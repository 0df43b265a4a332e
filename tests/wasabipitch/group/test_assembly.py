import unittest
from types import SimpleNamespace
from unittest.mock import Mock

from wasabipitch.coordination.documents import Configuration, GroupSettings
from wasabipitch.group.assembly import HostGroups
from wasabipitch.models import Host
from wasabipitch.operations.decisions import DecisionLog


def make_configuration(version, **connections):
    groups = {name: GroupSettings(name, n, 1) for name, n in connections.items()}
    return Configuration(version, {}, groups)


class NewConfigurationTest(unittest.TestCase):
    """What a host recomputes when a newer configuration comes into force."""

    def setUp(self):
        self.registration = Mock()
        self.groups = HostGroups(
            Host("host", "gateway", "", "rome"),
            Mock(),
            Mock(),
            Mock(),
            Mock(),
            self.registration,
            Mock(),
            Mock(),
            DecisionLog("host"),
            Mock(),
        )
        self.updated = []
        self.closed = []
        self.groups._make_group = self.make_group
        self.groups.update_group = self.updated.append

    def make_group(self, settings):
        state = SimpleNamespace(name=settings.name, settings=None, owners={"host"})
        return SimpleNamespace(
            state=state, close=lambda: self.closed.append(settings.name)
        )

    def apply(self, *args, **connections):
        self.updated.clear()
        self.registration.serve.reset_mock()
        self.groups.apply_configuration(make_configuration(*args, **connections))

    def find_served(self):
        (served,) = self.registration.serve.call_args.args
        return set(served)

    def test_a_version_that_changes_no_group_recomputes_none(self):
        # The work of a version that adds routes grew with the groups and the hosts.
        self.apply(1, a=16, b=16)
        self.assertEqual(self.updated, ["a", "b"])
        self.apply(2, a=16, b=16)
        self.assertEqual(self.updated, [])

    def test_only_the_groups_that_changed_are_recomputed(self):
        self.apply(1, a=16, b=16)
        self.apply(2, a=16, b=20, c=8)
        self.assertEqual(self.updated, ["b", "c"])
        self.assertEqual(self.groups.find_state("b").settings.max_connections, 20)

    def test_a_group_that_was_removed_is_served_no_longer(self):
        self.apply(1, a=16, b=16)
        self.apply(2, a=16)
        self.assertEqual((self.closed, self.updated), (["b"], []))
        self.assertEqual(self.find_served(), {"a"})

    def test_a_group_that_returns_is_made_anew(self):
        self.apply(1, a=16, b=16)
        self.apply(2, a=16)
        self.apply(3, a=16, b=16)
        self.assertEqual(self.updated, ["b"])


if __name__ == "__main__":
    unittest.main()
