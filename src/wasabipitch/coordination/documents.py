"""The documents in the store: configuration, instances, and the hosts' records.

A group record (``GroupRecord``) names the primary of a group. The hosts write it under
``GROUPS_PREFIX``, and change the head (``HEAD_KEY``) in the same commit.
"""

import enum
import logging
from typing import Any, Protocol

import msgspec

from wasabipitch.coordination.steps import Steps
from wasabipitch.coordination.store import Item
from wasabipitch.decoding import decode_json
from wasabipitch.models import ORIGIN, Address, Position

logger = logging.getLogger(__name__)

HOSTS_PREFIX = "wasabipitch/hosts/"
GROUPS_PREFIX = "wasabipitch/groups/"
# Names of hosts that may still run; without a lease, so they stay when leases end.
NAMES_PREFIX = "wasabipitch/names/"
# Written with every change of the names, so that a host that has missed changes finds
# out whether the names were among them.
NAMED_KEY = "wasabipitch/named"
# The hosts that serve each group, under their leases.
SERVING_PREFIX = "wasabipitch/serving/"
# The epochs in which hosts had been registered for so long that every host that counts
# operations knows them. Apart from the registration, since a late write of an earlier
# run must not look like a registration of that run.
SETTLED_PREFIX = "wasabipitch/settled/"
# The hosts that have stopped using a primary that is being replaced.
RELINQUISHED_PREFIX = "wasabipitch/seen/"
# The incarnations of hosts that may have acknowledged commits of a group; without a
# lease, so that a replacement knows of those that ended.
WRITERS_PREFIX = "wasabipitch/writers/"
# The instances of a group that may hold commits that no other replica holds; without a
# lease, so that a replacement knows of those whose registrations lapsed.
MEMBERS_PREFIX = "wasabipitch/members/"
# The hosts that have evidence of the failure of a primary.
SUSPICIONS_PREFIX = "wasabipitch/doubts/"
# Written with every group record, so that one read of its revision confirms them all.
HEAD_KEY = "wasabipitch/head"
OWN_PREFIX = "wasabipitch/"
# In a group record, if no host knows which instance was the primary.
UNKNOWN_PRIMARY = ""


class Consistency(enum.Enum):
    """The commits that the reads of a route must see."""

    PRIMARY = "primary"  # all acknowledged commits
    BOUNDED = "bounded"  # commits acknowledged ``max_age_s`` ago or earlier
    OWN_WRITES = "own writes"  # those, and all commits of the session


# A configuration has thousands of routes. They refer to nothing that could refer to
# them, and the garbage collector would visit all of them.
class Route(msgspec.Struct, frozen=True, array_like=True, gc=False):
    """The group that serves the sessions of a database, and their limits.

    Args:
        database: The name that callers give when they connect.
        group: The group of instances that holds the database.
        consistency: The commits that reads must see.
        max_age_s: How old the data of a read may be, in seconds; 0 if they must be up
            to date.
        timeout_s: The longest time for one statement, in seconds.
        objective_s: The response time that callers expect, in seconds.
        priority: The priority of requests; 0 is the highest.
        public: Whether callers without a known key may use it.
    """

    database: str
    group: str
    consistency: Consistency
    max_age_s: float
    timeout_s: float
    objective_s: float
    priority: int
    public: bool = False


class GroupSettings(msgspec.Struct, frozen=True):
    """The settings of a group of instances.

    Args:
        name: The group's name.
        max_connections: How many connections one instance accepts from all hosts
            together.
        acknowledged_by: How many replicas hold a commit before the primary
            acknowledges it.
    """

    name: str
    max_connections: int
    acknowledged_by: int


class Account(msgspec.Struct, frozen=True, gc=False):
    """A client account, whose callers share its limit on all hosts together.

    Args:
        name: The account's name, which instances are told.
        rate_per_s: How many operations a second it may start, or None for no limit.
        burst: How many operations it may start at once.
    """

    name: str
    rate_per_s: float | None = None
    burst: float = 0.0


class Configuration(msgspec.Struct, frozen=True):
    """The operator's complete configuration.

    Args:
        version: Increases with each change.
        routes: The routes, by database.
        groups: The groups' settings, by name.
        idle_transaction_s: The idle timeout of a transaction, in seconds.
        max_message_bytes: The longest message that a caller may send, in bytes.
        accounts: The client accounts, by name. Without any, callers need no key.
        account_names: The name of the account that holds each key.
    """

    version: int
    routes: dict[str, Route] = msgspec.field(default_factory=dict)
    groups: dict[str, GroupSettings] = msgspec.field(default_factory=dict)
    idle_transaction_s: float = 3.0
    max_message_bytes: int = 1 << 20
    accounts: dict[str, Account] = msgspec.field(default_factory=dict)
    account_names: dict[str, str] = msgspec.field(default_factory=dict)

    def find_account(self, key: str) -> Account | None:
        """Return the account that holds a key, or None if no account does."""
        return self.accounts.get(self.account_names.get(key, ""))


class InstanceEntry(msgspec.Struct, frozen=True):
    """The registration of an instance, which it writes itself.

    Args:
        name: The instance's name.
        group: The group that it belongs to.
        address: The address that it accepts connections at.
        data_centre: The data centre that it runs in.
        slots: How many statements it can run at once.
        leaving: Whether it is draining.
        is_primary: Whether it reports itself as primary.
        cold_ms: The platform's field ``ColdMs``; no code here reads it.
        born_ms: The time of its start in milliseconds. An instance that registers
            with another value has none of its earlier data.
        sequence: Increases with each registration since its start.
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
    sequence: int = 0


class DocumentDecoder(Protocol):
    """Decodes the documents that the platform writes into the store.

    Attributes:
        configuration_key: The key of the configuration.
        instances_prefix: The prefix of the instances' registrations.
    """

    configuration_key: str
    instances_prefix: str

    def decode_configuration(self, item: Item) -> Configuration:
        """Return the configuration; raises ``SettingsError`` if it is malformed."""

    def decode_configuration_steps(self, item: Item) -> Steps[Configuration]:
        """Return the configuration, as ``decode_configuration`` does, in steps."""

    def decode_instance(self, item: Item) -> InstanceEntry | None:
        """Return an instance, or None if the item is no valid registration."""


class Phase(enum.Enum):
    """Whether a group has an established primary, or is replacing it."""

    STEADY = "steady"
    CHANGING = "changing"


class GroupRecord(msgspec.Struct, frozen=True):
    """The primary of a group, for all hosts.

    Args:
        phase: Whether the primary is established or is being replaced.
        primary: The instance that is the primary, or was before the replacement, or
            ``UNKNOWN_PRIMARY``.
        primary_born_ms: The time of its start in milliseconds. After a restart the
            same name stands for another instance.
        term: The term of the primary, or 0 while that is not known.
        holder: The host that carries out the replacement, or carried out the last
            one.
        start: The primary's log end when it became primary, or ``ORIGIN`` while
            that is not known. No commit that an earlier primary acknowledged exceeds
            it.
        epoch: The store's epoch in which the record was written. A record of an
            earlier epoch came back with a copy of the store. None in records of
            versions that did not write it.
        may_have_orders: Whether a promotion that an earlier holder ordered may still
            take effect. Without meaning for an established primary.
    """

    phase: Phase
    primary: str
    primary_born_ms: int
    term: int
    holder: str = ""
    start: Position = ORIGIN
    epoch: int | None = None
    may_have_orders: bool = True

    def names_same_primary(self, other: "GroupRecord | None") -> bool:
        """Return whether another record establishes the same primary."""
        return (
            other is not None
            and self.phase is other.phase is Phase.STEADY
            and (self.primary, self.primary_born_ms, self.term)
            == (other.primary, other.primary_born_ms, other.term)
        )


class HostRecord(msgspec.Struct, frozen=True):
    """The registration of a host, under its lease.

    Args:
        name: The host's name.
        data_centre: The data centre that it runs in.
        incarnation: Identifies this run of the host, as ``name.`` and a suffix.
        links: The address that it accepts links from its peers at, as ``ip:port``.
        cores: The processor time that it may use, in cores of normal speed.
        link_mbps: The bandwidth of its network link, in Mbit/s, or 0 if unknown.
    """

    name: str
    data_centre: str
    incarnation: str
    links: str = ""
    cores: float = 0.0
    link_mbps: float = 0.0


class RelinquishedRecord(msgspec.Struct, frozen=True):
    """States that a host has stopped using a primary that is being replaced.

    Args:
        revision: The revision of the group record that began the replacement.
        acknowledged_term: The term of the greatest position that this host knows
            to hold an acknowledged commit.
        acknowledged_index: The index of that position.
        covered_term: The term of the position that no commit exceeds which was
            acknowledged by hosts that this one answers for.
        covered_index: The index of that position.
        is_answered: Whether this host has read the answer to every commit that it
            sent. Otherwise commits beyond ``limit`` may have been acknowledged.
    """

    revision: int
    acknowledged_term: int
    acknowledged_index: int
    covered_term: int = 0
    covered_index: int = 0
    is_answered: bool = False

    @property
    def acknowledged(self) -> Position:
        """The greatest position that is known to hold an acknowledged commit."""
        return Position(self.acknowledged_term, self.acknowledged_index)

    @property
    def limit(self) -> Position:
        """The position that no commit exceeds for which this record accounts."""
        covered = Position(self.covered_term, self.covered_index)
        return max(self.acknowledged, covered)


class WriterRecord(msgspec.Struct, frozen=True):
    """States that an incarnation of a host may have acknowledged commits of a group.

    It is removed once another host answers for the commits.

    Args:
        ended: Whether the host has stopped using the group's primaries.
    """

    ended: bool = False


class Member(msgspec.Struct, frozen=True):
    """One run of an instance, with the log that it holds.

    Args:
        name: The instance's name.
        born_ms: The time of its start in milliseconds.
    """

    name: str
    born_ms: int


class MembersRecord(msgspec.Struct, frozen=True):
    """Names the instances of a group that may hold acknowledged commits.

    Args:
        members: The instances, in the order of their names.
    """

    members: tuple[Member, ...]


class SuspicionRecord(msgspec.Struct, frozen=True):
    """States that a host has evidence that a group's primary has failed.

    Args:
        revision: The revision of the group record that names the primary.
        certain: Whether the evidence shows that the primary doesn't run.
        reason: The kind of evidence, for the log.
    """

    revision: int
    certain: bool
    reason: str


def read_group_record(item: Item) -> GroupRecord | None:
    """Return a group record from the store, or None if it can't be read."""
    try:
        return decode(item.value, GroupRecord)
    except msgspec.MsgspecError as exc:
        logger.warning("ignored malformed record %r: %s", item.key, exc)
        return None


def encode(record: Any) -> bytes:
    """Return a record of the hosts as JSON."""
    return msgspec.json.encode(record)


def decode(value: bytes, kind: type) -> Any:
    """Return a record of the hosts from JSON.

    Raises:
        msgspec.MsgspecError: The value is no record of this kind.
    """
    return decode_json(value, kind)
