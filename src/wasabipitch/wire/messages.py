"""The messages of a session, from callers to instances and back."""

import enum

import msgspec

from wasabipitch.models import Position


class Verb(enum.Enum):
    """The kind of a statement."""

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

    A code in ``NOT_RUN_CODES`` guarantees that the failed attempt has changed no
    data; the other codes leave that open.
    """

    BUSY = "busy"
    ABORTED = "aborted"
    LAGGING = "lagging"
    READ_ONLY = "read only"
    WRONG_INSTANCE = "wrong instance"
    TOO_MANY_CONNECTIONS = "too many connections"
    NO_STATEMENT = "no such prepared statement"
    NO_DATABASE = "no such database"
    NOT_AUTHENTICATED = "not authenticated"
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
# A statement that failed with one of these has not run: an execution fails with
# ``NO_STATEMENT`` if its preparation did.
RETRYABLE_CODES = NOT_RUN_CODES | {Code.NO_STATEMENT}


class SessionState(enum.Enum):
    """The transaction state of a session after an answer."""

    IDLE = "idle"
    IN_TRANSACTION = "in transaction"
    FAILED_TRANSACTION = "failed transaction"


class Shape(msgspec.Struct, frozen=True, array_like=True):
    """The definition of a prepared statement.

    Args:
        writes: Whether the statement changes data.
        text: The text of the statement, as the caller sent it.
    """

    writes: bool
    text: bytes


class Statement(msgspec.Struct, frozen=True, array_like=True):
    """One statement of a caller.

    Args:
        request_id: The caller's id of the request, which instances get unchanged.
        text: The whole statement, as the caller sent it.
        verb: The kind of statement.
        name: The session value or prepared statement that it refers to.
        value: For SET, the new session value.
        shape: For PREPARE, the definition of the prepared statement.
        arguments: For EXECUTE, the text after the name.
    """

    request_id: bytes
    text: bytes
    verb: Verb
    name: bytes = b""
    value: bytes = b""
    shape: Shape | None = None
    arguments: bytes = b""


class Startup(msgspec.Struct, frozen=True):
    """The first message of a caller's session.

    Args:
        database: The database that the caller wants to use.
        key: The caller's key, which identifies its account. It must not be logged.
    """

    database: str
    key: str

    def __repr__(self) -> str:
        """Return a text without the key."""
        return f"Startup(database={self.database!r})"


class Quit(msgspec.Struct, frozen=True):
    """The message with which a caller ends its session."""


class Row(msgspec.Struct, frozen=True):
    """One row of an answer."""

    data: bytes


class Complete(msgspec.Struct, frozen=True):
    """The end of a successful answer.

    Args:
        signature: The instance's signature of the answer.
    """

    signature: bytes


class Failure(msgspec.Struct, frozen=True):
    """The end of a failed answer.

    Args:
        code: Why the statement failed.
        text: Details for the caller.
    """

    code: Code
    text: bytes = b""


class Ready(msgspec.Struct, frozen=True):
    """The message that says that the next statement may be sent.

    Args:
        state: The session's state on this connection.
        position: The end of the instance's log, or None if it gave none.
    """

    state: SessionState
    position: Position | None = None


class Reply(msgspec.Struct, frozen=True):
    """A complete answer to a statement.

    Args:
        rows: The data rows.
        signature: The instance's signature of the answer, or None if there is none.
        failure: Why the statement failed, or None for a success.
        state: The session's state after the statement.
        position: The log position of the instance after the statement, or None if
            it gave none.
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
    """The state of an instance, as it reports it on request.

    Args:
        is_primary: Whether it is a primary.
        term: The term that it leads or follows.
        received: The last log position that it has received.
        fenced_term: The term below which it is fenced, or 0 if it is not fenced.
        lag_ms: How far the applied log is behind the received log.
        busy: The number of statements that run now.
        connections: The number of open connections, from all of its clients.
    """

    is_primary: bool
    term: int
    received: Position
    fenced_term: int
    lag_ms: float
    busy: int
    connections: int
