"""The documents in the store: configuration, instances, and our own records."""

import enum
from typing import Any, Protocol

import msgspec

from wasabipitch.coordination.store import Item
from wasabipitch.models import ORIGIN, Address, Position

HOSTS_PREFIX = "wasabipitch/hosts/"
GROUPS_PREFIX = "wasabipitch/groups/"
# The names of hosts that may still run, kept without a lease.
NAMES_PREFIX = "wasabipitch/names/"
# Which hosts serve a group, kept under their leases.
SERVING_PREFIX = "wasabipitch/serving/"
RELINQUISHED_PREFIX = "wasabipitch/seen/"
SUSPICIONS_PREFIX = "wasabipitch/doubts/"
# Written with every group record, so that one read confirms all of them.
HEAD_KEY = "wasabipitch/head"
OWN_PREFIX = "wasabipitch/"


class Consistency(enum.Enum):
    """What the reads of a route must see."""

    PRIMARY = "primary"  # every acknowledged write
    BOUNDED = "bounded"  # every write acknowledged some time ago
    OWN_WRITES = "own writes"  # that, and every write of the session


class Route(msgspec.Struct, frozen=True):
    """Where the sessions of a database go.

    Args:
        max_age_s: how old the data of a read may be; 0 for none.
        timeout_s: for one statement.
        objective_s: the response time that callers look for.
        priority: 0 is the highest.
    """

    database: str
    group: str
    consistency: Consistency
    max_age_s: float
    timeout_s: float
    objective_s: float
    priority: int


class GroupSettings(msgspec.Struct, frozen=True):
    """What the configuration says of a group.

    Args:
        max_connections: that one of its instances takes from all callers.
        acknowledged_by: how many replicas hold a write before it is confirmed.
    """

    name: str
    max_connections: int
    acknowledged_by: int


class Configuration(msgspec.Struct, frozen=True):
    """The operator's configuration, whole.

    Args:
        routes: by database.
        groups: by name.
        idle_transaction_s: how long a transaction may stand idle.
        max_message_bytes: of a caller.
    """

    version: int
    routes: dict[str, Route] = msgspec.field(default_factory=dict)
    groups: dict[str, GroupSettings] = msgspec.field(default_factory=dict)
    idle_transaction_s: float = 3.0
    max_message_bytes: int = 1 << 20


class InstanceEntry(msgspec.Struct, frozen=True):
    """An instance, as it registered itself.

    Args:
        slots: how many statements it runs at once.
        leaving: whether it is draining.
        is_primary: how it sees itself.
        born_ms: when it started; another value means that it holds nothing of
            before.
    """

    name: str
    group: str
    address: Address
    data_centre: str
    slots: int
    leaving: bool
    is_primary: bool
    cold_ms: float
    born_ms: int


class DocumentDecoder(Protocol):
    """Decodes what others write into the store."""

    configuration_key: str
    instances_prefix: str

    def decode_configuration(self, item: Item) -> Configuration:
        """Return the configuration; raises ``SettingsError`` if it is none."""

    def decode_instance(self, item: Item) -> InstanceEntry | None:
        """Return an instance, or None if the entry names none to use."""


class Phase(enum.Enum):
    """Whether a group's primary is settled."""

    STEADY = "steady"
    CHANGING = "changing"


class GroupRecord(msgspec.Struct, frozen=True):
    """Which instance leads a group, as all hosts agree.

    Args:
        primary: the instance that leads, or led before the change.
        primary_born_ms: its start; one that started later is another.
        term: in which it leads, or 0 while that is not known.
        holder: the host that makes the change.
        start: the end of the primary's log when it began to lead, or ``ORIGIN``
            while that is not known.
    """

    phase: Phase
    primary: str
    primary_born_ms: int
    term: int
    holder: str = ""
    start: Position = ORIGIN


class HostRecord(msgspec.Struct, frozen=True):
    """A host that lives, kept under its lease.

    Args:
        links: where it accepts links from its peers, as ``ip:port``.
    """

    name: str
    data_centre: str
    incarnation: str
    links: str = ""


class RelinquishedRecord(msgspec.Struct, frozen=True):
    """A host has stopped using a group's primary.

    Args:
        revision: of the group record that told it to.
        acknowledged_term: with the index, the greatest position that it knows
            to hold an acknowledged commit.
    """

    revision: int
    acknowledged_term: int
    acknowledged_index: int


class SuspicionRecord(msgspec.Struct, frozen=True):
    """A host can't work with a group's primary.

    Args:
        revision: of the group record that names it.
        certain: whether it surely doesn't run.
    """

    revision: int
    certain: bool
    reason: str


def encode(record: Any) -> bytes:
    """Return one of our records as JSON."""
    return msgspec.json.encode(record)


def decode(value: bytes, kind: type) -> Any:
    """Return one of our records; raises ``msgspec.MsgspecError``."""
    return msgspec.json.decode(value, type=kind)
