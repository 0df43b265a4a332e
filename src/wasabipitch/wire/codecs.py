"""The interfaces that a codec for the wire protocol implements."""

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
    """Encodes and decodes the messages between callers and hosts."""

    def decode(self, line: bytes) -> Startup | Statement | Quit:
        """Decode a caller's message.

        Raises:
            MalformedMessage: If the line is not a valid message.
        """

    def encode_ready(self, ready: Ready) -> bytes:
        """Encode the message that says that the next statement may be sent."""

    def encode_reply(self, reply: Reply) -> bytes:
        """Encode a complete answer, including the ready message that ends it."""

    def encode_failure(self, failure: Failure) -> bytes:
        """Encode a failure after which the connection is closed."""


class InstanceCodec(Protocol):
    """Encodes and decodes the messages between hosts and instances.

    Some messages carry a floor: the lowest log position that the instance must have
    applied before it runs the statement. None sets no bound.
    """

    def startup(self, group: str, instance: str, account: str = "") -> bytes:
        """Encode the first message of a connection to the named instance.

        Args:
            group: The name of the group.
            instance: The name of the instance.
            account: The client account whose statements the connection will carry, or
                an empty string.
        """

    def forward(self, statement: Statement, floor: Position | None) -> bytes:
        """Encode a caller's statement unchanged, with a floor."""

    def execute(
        self, statement: Statement, name: bytes, floor: Position | None
    ) -> bytes:
        """Encode the execution of a caller's prepared statement.

        Args:
            statement: The caller's statement, with its arguments.
            name: The name under which the statement is prepared on this connection.
            floor: The lowest log position, or None.
        """

    def begin(self, read_only: bool, floor: Position | None) -> bytes:
        """Encode the start of a transaction, with a floor."""

    def rollback(self) -> bytes:
        """Encode the rollback of the open transaction."""

    def set_value(self, name: bytes, value: bytes) -> bytes:
        """Encode the assignment of a session value."""

    def prepare(self, name: bytes, shape: Shape) -> bytes:
        """Encode the preparation of a statement under a name."""

    def reset(self) -> bytes:
        """Encode the order to discard session values and prepared statements."""

    def status(self) -> bytes:
        """Encode the request for an instance's report."""

    def fence(self, term: int) -> bytes:
        """Encode the order to fence: to receive no log of terms below this one."""

    def resume(self) -> bytes:
        """Encode the order to lift the fence and receive the log again."""

    def step_down(self, term: int) -> bytes:
        """Encode the order to stop leading any term below this one."""

    def decode(self, line: bytes) -> Row | Complete | Failure | Ready:
        """Decode a message of an instance.

        Raises:
            MalformedMessage: If the line is not a valid message.
        """

    def decode_report(self, row: bytes) -> InstanceReport:
        """Decode the row that answers a status request.

        Raises:
            MalformedMessage: If the row is not a valid report.
        """
