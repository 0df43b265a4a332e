"""Typed messages of a session: what callers ask and what instances answer."""

import enum

import msgspec

from wasabipitch.models import Position


class Verb(enum.Enum):
    """What a statement does."""

    BEGIN = "begin"
    BEGIN_READ = "begin read"
    COMMIT = "commit"
    ROLLBACK = "rollback"
    READ = "read"
    WRITE = "write"
    SET = "set"
    PREPARE = "prepare"
    EXECUTE = "execute"
    DEALLOCATE = "deallocate"


class Code(enum.Enum):
    """Why a statement failed.

    Each of the codes in ``NOT_RUN_CODES`` says that nothing of the caller's
    attempt is kept; the others leave that open.
    """

    BUSY = "busy"
    ABORTED = "aborted"
    LAGGING = "lagging"
    READ_ONLY = "read only"
    WRONG_INSTANCE = "wrong instance"
    TOO_MANY_CONNECTIONS = "too many connections"
    NO_STATEMENT = "no such prepared statement"
    NO_DATABASE = "no such database"
    MALFORMED = "malformed"
    FAILED = "failed"
    TIMEOUT = "timeout"
    UNKNOWN = "unknown"


NOT_RUN_CODES = frozenset(
    {
        Code.BUSY,
        Code.ABORTED,
        Code.LAGGING,
        Code.READ_ONLY,
        Code.WRONG_INSTANCE,
        Code.TOO_MANY_CONNECTIONS,
    }
)


class SessionState(enum.Enum):
    """Where a session stands after an answer."""

    IDLE = "idle"
    IN_TRANSACTION = "in transaction"
    FAILED_TRANSACTION = "failed transaction"


class Shape(msgspec.Struct, frozen=True):
    """What a prepared statement runs.

    Args:
        writes: whether it changes data.
        text: its text, as the caller sent it.
    """

    writes: bool
    text: bytes


class Statement(msgspec.Struct, frozen=True):
    """One statement of a caller.

    Args:
        request_id: the caller's id, passed on unchanged.
        text: as the caller sent it.
        verb: what it does.
        name: of the session value or prepared statement that it names.
        value: of a session value.
        shape: of the statement that it prepares.
        arguments: what follows the name of a prepared statement.
    """

    request_id: bytes
    text: bytes
    verb: Verb
    name: bytes = b""
    value: bytes = b""
    shape: Shape | None = None
    arguments: bytes = b""


class Startup(msgspec.Struct, frozen=True):
    """The first message of a caller's session."""

    database: str
    user: str


class Quit(msgspec.Struct, frozen=True):
    """The caller ends its session."""


class Row(msgspec.Struct, frozen=True):
    """One row of an answer."""

    data: bytes


class Complete(msgspec.Struct, frozen=True):
    """The end of a successful answer, with the instance's signature."""

    signature: bytes


class Failure(msgspec.Struct, frozen=True):
    """The end of a failed answer."""

    code: Code
    text: bytes = b""


class Ready(msgspec.Struct, frozen=True):
    """The instance or host takes the next statement.

    Args:
        position: of the instance's log, or None if it gave none.
    """

    state: SessionState
    position: Position | None = None


class Reply(msgspec.Struct, frozen=True):
    """A whole answer to a statement.

    Args:
        signature: the instance's, or None for a failure.
        failure: or None for a success.
        state: of the session on that connection.
        position: of the instance's log after the statement.
    """

    rows: tuple[bytes, ...] = ()
    signature: bytes | None = None
    failure: Failure | None = None
    state: SessionState = SessionState.IDLE
    position: Position | None = None

    @property
    def code(self) -> Code | None:
        """The failure's code, or None for a success."""
        return self.failure.code if self.failure else None


class InstanceReport(msgspec.Struct, frozen=True):
    """What an instance says of itself when asked.

    Args:
        is_primary: whether it leads.
        term: in which it leads, or which it follows.
        received: the last position that it has received.
        held_term: the term at which it was told to stop receiving, or 0.
        lag_ms: how far it applies behind what it has received.
        busy: statements that run now.
        connections: open now, from all callers.
    """

    is_primary: bool
    term: int
    received: Position
    fenced_term: int
    lag_ms: float
    busy: int
    connections: int
