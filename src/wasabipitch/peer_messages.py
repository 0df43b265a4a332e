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


class StoredItem(msgspec.Struct, frozen=True):
    """An item of the store, or its removal.

    Args:
        key: The key.
        value: The value, or None if the key was removed at the revision.
        revision: The revision at which the key was written or removed.
        lease: The lease to which the key belongs, or 0.
    """

    key: str
    value: bytes | None
    revision: int
    lease: int = 0


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
    """

    revision: int
    known: bool = True


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
    """Asks a peer to read the revision of the newest group record from the store."""


class StoreHead(msgspec.Struct, frozen=True):
    """The answer to ``AskStoreHead``.

    Args:
        confirmed: Whether the peer could read the store.
        revision: The revision of the newest group record.
        store_revision: The revision of the whole store.
        age_s: The time since the peer asked the store, in seconds.
    """

    confirmed: bool
    revision: int = 0
    store_revision: int = 0
    age_s: float = 0.0


class AskChanges(msgspec.Struct, frozen=True):
    """Asks a host that watches the store for the changes after a revision.

    Args:
        after: The revision.
        wait_s: The time to wait for a change, in seconds.
    """

    after: int
    wait_s: float


class ChangesReport(msgspec.Struct, frozen=True):
    """The answer to ``AskChanges``.

    Args:
        known: Whether the host knows all changes after the revision asked for.
        items: The changes.
        revision: The revision up to which the host knows all changes.
    """

    known: bool
    items: tuple[StoredItem, ...] = ()
    revision: int = 0


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


class RunStatement(msgspec.Struct, frozen=True):
    """A caller's statement, forwarded by the session's host to an owner of the group.

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
    account: str = ""

    def count_bytes(self) -> int:
        """Return the number of bytes of the texts that callers chose."""
        size = len(self.statement.text) + len(self.statement.arguments)
        if self.shape is not None:
            size += len(self.shape.text)
        return size + sum(map(len, self.values.values()))


class StatementReply(msgspec.Struct, frozen=True):
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
