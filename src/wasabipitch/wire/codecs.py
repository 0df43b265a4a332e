"""What an encoding of the messages must offer."""

from typing import Protocol

from wasabipitch.models import Position
from wasabipitch.wire.messages import (
    Complete,
    Failure,
    InstanceReport,
    Quit,
    Ready,
    Reply,
    Row,
    Shape,
    Startup,
    Statement,
)


class CallerCodec(Protocol):
    """Encodes the messages between callers and hosts."""

    def decode(self, line: bytes) -> Startup | Statement | Quit:
        """Return a caller's message.

        Raises:
            MalformedMessage: if the line has no known form.
        """

    def encode_ready(self, ready: Ready) -> bytes:
        """Return the message that invites the next statement."""

    def encode_reply(self, reply: Reply) -> bytes:
        """Return a whole answer, the invitation for the next one included."""

    def encode_failure(self, failure: Failure) -> bytes:
        """Return a failure alone; a close follows it."""


class InstanceCodec(Protocol):
    """Encodes the messages between hosts and instances."""

    def startup(self, group: str, instance: str) -> bytes:
        """Return the first message of a connection to a named instance."""

    def forward(self, statement: Statement, floor: Position | None) -> bytes:
        """Return a caller's statement, to run at or after a position."""

    def execute(
        self, statement: Statement, name: bytes, floor: Position | None
    ) -> bytes:
        """Return a caller's prepared statement under the connection's own name."""

    def begin(self, read_only: bool, floor: Position | None) -> bytes:
        """Return the start of a transaction, at or after a position."""

    def rollback(self) -> bytes:
        """Return the end of a transaction that keeps nothing."""

    def set_value(self, name: bytes, value: bytes) -> bytes:
        """Return the change of a session value."""

    def prepare(self, name: bytes, shape: Shape) -> bytes:
        """Return the preparation of a statement under a name."""

    def reset(self) -> bytes:
        """Return the order to forget session values and prepared statements."""

    def status(self) -> bytes:
        """Return the question for an instance's report."""

    def fence(self, term: int) -> bytes:
        """Return the order to receive nothing of terms below this one."""

    def resume(self) -> bytes:
        """Return the order to receive again."""

    def step_down(self, term: int) -> bytes:
        """Return the order to lead no term below this one."""

    def decode(self, line: bytes) -> Row | Complete | Failure | Ready:
        """Return a message of an instance.

        Raises:
            MalformedMessage: if the line has no known form.
        """

    def decode_report(self, row: bytes) -> InstanceReport:
        """Return the report that a row holds.

        Raises:
            MalformedMessage: if the row has another form.
        """
