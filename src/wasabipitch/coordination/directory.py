"""The configuration in force and the registered instances of each group."""

from collections.abc import Callable

from msgspec.structs import replace

from wasabipitch.clock import now_s
from wasabipitch.coordination.documents import (
    Configuration,
    DocumentDecoder,
    InstanceEntry,
)
from wasabipitch.coordination.mirror import LARGE_VALUE_BYTES, StoreMirror
from wasabipitch.coordination.store import Item
from wasabipitch.exceptions import SettingsError
from wasabipitch.operations.decisions import DecisionLog

# Instances whose registrations lapsed during an outage of the store register again
# within two seconds after it.
REGISTRATION_GRACE_S = 2.4
# More than the instances that leave while a copy of the store is some seconds old.
MAX_GONE_INSTANCES = 256


class Directory:
    """Holds the operator's configuration and the instances that are registered.

    Args:
        mirror: The copy of the store that both are read from.
        decoder: Decodes the platform's documents.
        decisions: The log of changes.
        on_configuration: Called with each newer configuration.
        on_instances: Called with the name of each group whose instances changed.
    """

    def __init__(
        self,
        mirror: StoreMirror,
        decoder: DocumentDecoder,
        decisions: DecisionLog,
        on_configuration: Callable[[Configuration], None],
        on_instances: Callable[[str], None],
    ) -> None:
        self.configuration: Configuration | None = None
        # Decodes a large configuration in steps and calls ``put_in_force``; without
        # it, every configuration is decoded at once.
        self.on_large_configuration: Callable[[Item], None] | None = None
        self._instances: dict[str, InstanceEntry] = {}
        # The last registrations of instances that are gone.
        self._gone: dict[str, InstanceEntry] = {}
        self._missing_since_s: dict[str, float] = {}
        self._mirror = mirror
        self._decoder = decoder
        self._decisions = decisions
        self._on_configuration = on_configuration
        self._on_instances = on_instances
        mirror.subscribe(self._update)

    def list_instances(self, group: str) -> dict[str, InstanceEntry]:
        """Return the registered instances of a group, by name."""
        return {n: e for n, e in self._instances.items() if e.group == group}

    def drop_missing(self) -> None:
        """Remove instances whose registrations are missing for too long.

        The time of an outage doesn't count, since no instance can register then.
        """
        at_s = now_s()
        for name, since_s in list(self._missing_since_s.items()):
            since_s = max(since_s, self._mirror.reachable_since_s)
            if at_s - since_s > REGISTRATION_GRACE_S and self._mirror.is_reachable:
                del self._missing_since_s[name]
                self._remove_instance(name)

    def _remove_instance(self, name: str) -> None:
        entry = self._instances.pop(name)
        self._gone[name] = entry
        if len(self._gone) > MAX_GONE_INSTANCES:
            del self._gone[next(iter(self._gone))]
        self._decisions.belief("instance gone", instance=name, group=entry.group)
        self._on_instances(entry.group)

    def _update(self, key: str, item: Item | None) -> None:
        if key == self._decoder.configuration_key and item is not None:
            is_large = len(item.value) >= LARGE_VALUE_BYTES
            if is_large and self.on_large_configuration is not None:
                self.on_large_configuration(item)
            else:
                self._update_configuration(item)
        elif key.startswith(self._decoder.instances_prefix):
            name = key.removeprefix(self._decoder.instances_prefix)
            self._update_instance(name, item)

    def _update_configuration(self, item: Item) -> None:
        try:
            configuration = self._decoder.decode_configuration(item)
        except SettingsError as exc:
            self._decisions.belief(
                "configuration kept", reason=str(exc), revision=item.revision
            )
            return
        self.put_in_force(configuration, item.revision)

    def put_in_force(self, configuration: Configuration, revision: int) -> None:
        """Put a configuration in force, unless its version is not greater.

        Args:
            configuration: The configuration.
            revision: A revision at which the store had it.
        """
        known = self.configuration
        if known is not None and configuration.version <= known.version:
            return
        self.configuration = configuration
        self._decisions.belief(
            "configuration in force",
            version=configuration.version,
            revision=revision,
            routes=len(configuration.routes),
        )
        self._on_configuration(configuration)

    def _update_instance(self, name: str, item: Item | None) -> None:
        known = self._instances.get(name)
        entry = self._decoder.decode_instance(item) if item is not None else None
        if entry is None:
            if known is not None:
                self._missing_since_s.setdefault(name, now_s())
            return
        if self._mirror.is_restoring and self._is_superseded(entry):
            # The instance writes its last registration again, if it still runs.
            self._decisions.belief("old registration ignored", instance=name)
            return
        self._missing_since_s.pop(name, None)
        self._gone.pop(name, None)
        self._instances[name] = entry
        if known is not None and _have_same_content(entry, known):
            return
        self._decisions.belief(
            "instance registered",
            instance=name,
            group=entry.group,
            primary=entry.is_primary,
            leaving=entry.leaving,
            born_ms=entry.born_ms,
        )
        if known is not None and known.group != entry.group:
            self._on_instances(known.group)
        self._on_instances(entry.group)

    def _is_superseded(self, entry: InstanceEntry) -> bool:
        """Return whether a later registration of the instance was known here."""
        last = self._instances.get(entry.name) or self._gone.get(entry.name)
        return last is not None and (
            (entry.born_ms, entry.sequence) < (last.born_ms, last.sequence)
        )


def _have_same_content(entry: InstanceEntry, other: InstanceEntry) -> bool:
    return replace(entry, sequence=other.sequence) == other
