"""The messages between gateways: the store by way of a peer, and statements."""

import msgspec

from wasabipitch.coordination.documents import Route
from wasabipitch.models import ORIGIN, Position
from wasabipitch.wire.messages import Code, SessionState, Shape, Statement


class StoreCall(msgspec.Struct, frozen=True):
    """A call to the store, made for a peer that the store turns away.

    Args:
        name: of the call: a method of ``CoordinationStore``.
        key: or prefix, or empty.
        revision: after which a watch begins.
        seconds: that a watch waits, or a lease lasts.
        lease: that is renewed or ended, or that writes are kept under.
        expected: the revisions of keys on which a write depends.
    """

    name: str
    key: str = ""
    revision: int = 0
    seconds: float = 0.0
    lease: int = 0
    expected: dict[str, int] = msgspec.field(default_factory=dict)
    writes: dict[str, bytes] = msgspec.field(default_factory=dict)
    removes: tuple[str, ...] = ()


class StoredItem(msgspec.Struct, frozen=True):
    """An item of the store, or its removal.

    Args:
        value: None if the key is gone since the revision.
    """

    key: str
    value: bytes | None
    revision: int
    lease: int = 0


class StoreAnswer(msgspec.Struct, frozen=True):
    """What the store answered a ``StoreCall``.

    Args:
        items: that were read, or that changed.
        revision: of the key, the change or the lease, by call.
        store_revision: of the store.
        error: the class of the error that the call raised, or empty.
    """

    items: tuple[StoredItem, ...] = ()
    revision: int = 0
    store_revision: int = 0
    error: str = ""
    reason: str = ""


class AskHead(msgspec.Struct, frozen=True):
    """Asks for the newest group record that a host has seen."""


class HeadReport(msgspec.Struct, frozen=True):
    """The revision of the newest group record that a host has seen."""

    revision: int


class AskAgreement(msgspec.Struct, frozen=True):
    """Asks a collector whether all hosts have seen no newer record than this."""

    revision: int


class Agreement(msgspec.Struct, frozen=True):
    """What all hosts said.

    Args:
        age_s: how long ago they were asked, at least.
    """

    agreed: bool
    age_s: float


class AskStoreHead(msgspec.Struct, frozen=True):
    """Asks a peer for the newest group record that the store holds."""


class StoreHead(msgspec.Struct, frozen=True):
    """What the store said of the newest group record.

    Args:
        confirmed: whether it said anything lately.
        revision: of that record.
        store_revision: of the store.
        age_s: how long ago it was asked.
    """

    confirmed: bool
    revision: int = 0
    store_revision: int = 0
    age_s: float = 0.0


class AskChanges(msgspec.Struct, frozen=True):
    """Asks a host that watches the store for its changes after a revision."""

    after: int
    wait_s: float


class ChangesReport(msgspec.Struct, frozen=True):
    """The store's changes up to a revision.

    Args:
        known: whether the host knows all of them.
    """

    known: bool
    items: tuple[StoredItem, ...] = ()
    revision: int = 0


class AskPosition(msgspec.Struct, frozen=True):
    """Asks for a position of a group's primary that a host has seen lately."""

    group: str


class PositionReport(msgspec.Struct, frozen=True):
    """A position that covers all commits acknowledged up to some time ago.

    Args:
        known: whether the host has seen any.
        revision: of the group record that the host goes by.
    """

    known: bool
    revision: int = 0
    position: Position = ORIGIN
    age_s: float = 0.0


class AskConnections(msgspec.Struct, frozen=True):
    """Asks a host to give back the connections to an instance that it doesn't use."""

    group: str
    instance: str


class RunStatement(msgspec.Struct, frozen=True):
    """A caller's statement, from the host of its session to an owner.

    Args:
        session: unique to one caller's connection.
        left_s: what is left of the route's time limit.
        values: of the session.
        shape: of the prepared statement that it runs, or None.
        floor: the position of the session's last commit.
        read_only: whether its transaction was begun so.
        begins: whether no statement of the transaction has run yet.
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


class StatementReply(msgspec.Struct, frozen=True):
    """The answer to a ``RunStatement``.

    Args:
        signature: the instance's, or None for a failure.
        code: of the failure, or None for a success.
        text: of the failure.
        floor: the position of the session's last commit.
    """

    rows: tuple[bytes, ...]
    signature: bytes | None
    code: Code | None
    text: bytes
    state: SessionState
    floor: Position = ORIGIN
