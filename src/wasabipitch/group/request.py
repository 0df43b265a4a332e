"""Defines a statement in progress and the failure that its caller is told."""

from wasabipitch.clock import now_s
from wasabipitch.coordination.documents import Route
from wasabipitch.group.session import SessionContext
from wasabipitch.wire.messages import Code, Shape, Statement, Verb

# Subtracted from the time limit so that a refusal still reaches the caller in time.
REPLY_MARGIN_S = 0.02

# The refusal of a statement that another owner may be able to run. The remote runner
# compares this text with the refusals of peers.
NO_PRIMARY = "the group has no primary now"


class StatementFailed(Exception):
    """Raised when a statement fails and its caller must be told.

    Args:
        code: The failure code, which tells whether the statement may have run.
        reason: The text for the caller and the log.
    """

    def __init__(self, code: Code, reason: str) -> None:
        super().__init__(reason)
        self.code = code
        self.reason = reason


class Request:
    """A statement in progress, with the attempts made so far.

    Args:
        session: The session that sent the statement.
        statement: The statement.
        route: The route of the session's database.
        arrived_s: The time at which this host received the statement.

    Attributes:
        deadline_s: The time at which an answer must be ready.
        avoid: Names of instances that are not tried again if others suit.
        tries: The number of retries.
        in_line_s: The total time that it queued for connections.
        instance: The instance of the last checkout, or empty.
    """

    def __init__(
        self,
        session: SessionContext,
        statement: Statement,
        route: Route,
        arrived_s: float,
    ) -> None:
        self.session = session
        self.statement = statement
        self.route = route
        self.arrived_s = arrived_s
        self.deadline_s = arrived_s + route.timeout_s - REPLY_MARGIN_S
        self.avoid: set[str] = set()
        self.tries = 0
        self.in_line_s = 0.0
        self.instance = ""

    @property
    def shape(self) -> Shape | None:
        """The shape of the prepared statement, or None if there is none."""
        if self.statement.verb is not Verb.EXECUTE:
            return None
        return self.session.prepared.get(self.statement.name)

    @property
    def writes(self) -> bool:
        """Whether the statement changes data."""
        if self.statement.verb is Verb.EXECUTE:
            return self.shape is not None and self.shape.writes
        return self.statement.verb is Verb.WRITE

    @property
    def kind(self) -> str:
        """The label under which its service time is recorded."""
        if self.statement.verb is Verb.COMMIT:
            return "commit"
        return f"{self.route.database} {'write' if self.writes else 'read'}"

    @property
    def left_s(self) -> float:
        """The seconds left until the deadline; negative after it."""
        return self.deadline_s - now_s()
