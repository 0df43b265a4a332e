"""The messages between gateways.

They relay store calls and forward statements through a peer, and compare what hosts
know.
"""

import msgspec

from wasabipitch.coordination.documents import GroupRecord, Route
from wasabipitch.models import ORIGIN, Position
from wasabipitch.wire.messages import Code, SessionState, Shape, Statement


class StoreCall(msgspec.Struct, frozen=True):
    """A store call that a peer makes for a host that can't reach the store.

    Args:
        name: The name of a method of ``CoordinationStore``.
        key: The key or the prefix, or an empty string for calls without one.
        revision: The revision after which a watch begins.
        seconds: The time that a watch waits or a lease lasts, in seconds.
        lease: The lease that is renewed or ended, or to which the written keys belong.
        expected: The revisions that keys must have for a write to take effect.
        writes: The values to write, by key.
        removes: The keys to remove.
        lasting: The values to write without the lease, by key.
        max_bytes: The longest page of a listing in bytes, or 0 for any.
    """

    name: str
    key: str = ""
    revision: int = 0
    seconds: float = 0.0
    lease: int = 0
    expected: dict[str, int] = msgspec.field(default_factory=dict)
    writes: dict[str, bytes] = msgspec.field(default_factory=dict)
    removes: tuple[str, ...] = ()
    lasting: dict[str, bytes] = msgspec.field(default_factory=dict)
    max_bytes: int = 0


class StoredItem(msgspec.Struct, frozen=True):
    """An item of the store, or its removal.

    Args:
        key: The key.
        value: The value, or None if the key was removed at the revision.
        revision: The revision at which the key was written or removed.
        lease: The lease to which the key belongs, or 0.
        omitted: Whether the key has a value, which is too large to be passed on.
    """

    key: str
    value: bytes | None
    revision: int
    lease: int = 0
    omitted: bool = False


class StoreAnswer(msgspec.Struct, frozen=True):
    """The store's answer to a ``StoreCall``.

    Args:
        items: The items that were read or have changed.
        revision: The revision of the key or of the write, or the id of the lease,
            depending on the call.
        store_revision: The revision of the whole store.
        error: The class name of the error that the call raised, or an empty string.
        reason: The message of the error.
        may_have_run: Whether the call may have taken effect in spite of the error.
    """

    items: tuple[StoredItem, ...] = ()
    revision: int = 0
    store_revision: int = 0
    error: str = ""
    reason: str = ""
    may_have_run: bool = False


class AskHead(msgspec.Struct, frozen=True):
    """Asks a host for the revision of the newest group record that it knows."""


class HeadReport(msgspec.Struct, frozen=True):
    """The answer to ``AskHead``.

    Args:
        revision: The revision of the newest group record that the host knows.
        known: Whether the host has read the store since its start.
        version: The greatest version of the configuration that the host knows of.
    """

    revision: int
    known: bool = True
    version: int = 0


class AskAgreement(msgspec.Struct, frozen=True):
    """Asks a collector whether no host knows a newer group record than this.

    A collector is a host that asks all others; see ``coordination.agreement``.
    """

    revision: int


class Agreement(msgspec.Struct, frozen=True):
    """The answer to ``AskAgreement``.

    Args:
        agreed: Whether no host knows a newer group record.
        age_s: The time since the hosts were asked, in seconds.
    """

    agreed: bool
    age_s: float


class AskStoreHead(msgspec.Struct, frozen=True):
    """Asks a peer to read the revision of the newest group record from the store.

    Args:
        version: The greatest version of the configuration that the sender knows of.
    """

    version: int = 0


class StoreHead(msgspec.Struct, frozen=True):
    """The answer to ``AskStoreHead``.

    Args:
        confirmed: Whether the peer could read the store.
        revision: The revision of the newest group record.
        store_revision: The revision of the whole store.
        age_s: The time since the peer asked the store, in seconds.
        version: The greatest version of the configuration that the peer knows of.
        surveyed: Whether the peer has asked other hosts for theirs in the epoch of
            ``store_revision``.
    """

    confirmed: bool
    revision: int = 0
    store_revision: int = 0
    age_s: float = 0.0
    version: int = 0
    surveyed: bool = False


class AskChanges(msgspec.Struct, frozen=True):
    """Asks a host that watches the store for the changes after a revision.

    Args:
        after: The revision.
        wait_s: The time to wait for a change, in seconds.
        takes_omissions: Whether large values may be omitted.
    """

    after: int
    wait_s: float
    takes_omissions: bool = False


class ChangesReport(msgspec.Struct, frozen=True):
    """The answer to ``AskChanges``.

    Args:
        known: Whether the host knows all changes after the revision asked for.
        items: The changes.
        revision: The revision up to which the host knows all changes.
        receiving: Whether the host is receiving a long answer with further changes.
    """

    known: bool
    items: tuple[StoredItem, ...] = ()
    revision: int = 0
    receiving: bool = False


class AskConfiguration(msgspec.Struct, frozen=True):
    """Asks a host for the configuration that it has in force.

    Args:
        revision: The revision of the store up to which it must know configurations.
        base: The digest of the configuration in force here, or an empty string.
        bytes_per_s: The rate at which this host wants to receive it, or 0.
    """

    revision: int
    base: str = ""
    bytes_per_s: float = 0.0


class ConfigurationOffer(msgspec.Struct, frozen=True):
    """The first message of the answer to ``AskConfiguration``.

    Parts follow unless the configuration is the one of the host that asked.

    Args:
        known: Whether the host has a configuration that is new enough.
        revision: The revision up to which it knows configurations.
        version: The version of the configuration.
        base: The digest of the configuration that the change is for, or an empty
            string for the whole.
        digest: The digest of the configuration.
        size: The size of all parts in bytes.
    """

    known: bool
    revision: int = 0
    version: int = 0
    base: str = ""
    digest: str = ""
    size: int = 0


class ConfigurationPart(msgspec.Struct, frozen=True):
    """A part of an encoded configuration; an empty one only shows that the host lives.

    Args:
        data: The next bytes.
    """

    data: bytes = b""


class AskRecord(msgspec.Struct, frozen=True):
    """Asks a host for the group record that it has in force."""

    group: str


class RecordReport(msgspec.Struct, frozen=True):
    """The answer to ``AskRecord``.

    Args:
        record: The record, or None if the host has none in force.
        revision: The revision of the record.
        serves: Whether the host serves the group.
    """

    record: GroupRecord | None = None
    revision: int = 0
    serves: bool = False


class AskPosition(msgspec.Struct, frozen=True):
    """Asks a host for its latest sample of the log position of a group's primary."""

    group: str


class PositionReport(msgspec.Struct, frozen=True):
    """The answer to ``AskPosition``.

    Args:
        known: Whether the host has a sample.
        revision: The revision of the group record that the host uses.
        position: A position that includes all commits acknowledged up to ``age_s`` ago.
        age_s: The age of the sample, in seconds.
    """

    known: bool
    revision: int = 0
    position: Position = ORIGIN
    age_s: float = 0.0


class AskConnections(msgspec.Struct, frozen=True):
    """Asks a host to close the connections to an instance that it doesn't use.

    The sender can then open one within the instance's limit.
    """

    group: str
    instance: str


class AskTokens(msgspec.Struct, frozen=True):
    """Asks a host for tokens, one for each operation that waits at the sender.

    Args:
        account: The name of the account.
        count: The number of operations.
    """

    account: str
    count: int


class TokensReport(msgspec.Struct, frozen=True, omit_defaults=True):
    """The answer to ``AskTokens``.

    Args:
        granted: How many of the operations may start.
        counts: Whether the host decided from the whole limit. Otherwise it granted
            from its reserve, and another host may grant more.
        version: The version of the configuration that it decided by.
        age_s: The age of its proof that its copy of the store is current, in seconds.
    """

    granted: int = 0
    counts: bool = False
    version: int = 0
    age_s: float = 0.0


class RunStatement(msgspec.Struct, frozen=True, array_like=True):
    """A caller's statement, forwarded by the session's host to an owner of the group.

    It is packed without the names of its fields, which would take more bytes than the
    statement itself.

    Args:
        session: The session's id, unique to one caller's connection.
        statement: The statement.
        route: The route that the session uses.
        left_s: The time left of the route's time limit, in seconds.
        values: The session's values, by name.
        shape: The shape of the prepared statement that it executes, or None.
        floor: The position of the session's last commit, which its reads must see.
        in_transaction: Whether the session is in a transaction.
        read_only: Whether that transaction is read only.
        begins: Whether no statement of the transaction has run yet.
        transaction: The number of the transaction in its session, or 0 outside one.
        account: The client account that the session belongs to, or an empty string.
    """

    session: str
    statement: Statement
    route: Route
    left_s: float
    values: dict[bytes, bytes]
    shape: Shape | None
    floor: Position
    in_transaction: bool
    read_only: bool
    begins: bool
    transaction: int = 0
    account: str = ""

    def count_bytes(self) -> int:
        """Return the number of bytes of the texts that callers chose."""
        size = len(self.statement.text) + len(self.statement.arguments)
        if self.shape is not None:
            size += len(self.shape.text)
        return size + sum(map(len, self.values.values()))


class EndTransaction(msgspec.Struct, frozen=True):
    """Tells an owner to roll back a transaction that a session will not continue.

    Args:
        session: The session's id.
        number: The number of the transaction in its session.
    """

    session: str
    number: int


class StatementReply(msgspec.Struct, frozen=True, array_like=True):
    """The answer to a ``RunStatement``.

    Args:
        rows: The rows.
        signature: The signature that the instance sent, or None after a failure.
        code: The code of the failure, or None after a success.
        text: The text of the failure, or empty.
        state: The state of the session after the statement.
        floor: The position of the session's last commit.
    """

    rows: tuple[bytes, ...]
    signature: bytes | None
    code: Code | None
    text: bytes
    state: SessionState
    floor: Position = ORIGIN
