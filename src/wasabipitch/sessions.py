"""The state that an entry keeps for each caller connection.

A floor is the lowest log position that a read of a group must see. A session has
one floor per group, so that its reads include its own earlier writes and never go
back in time. A session token carries the floors to another connection.
"""

import base64
import binascii
from dataclasses import dataclass, field

import msgspec

from wasabipitch.exceptions import Refused
from wasabipitch.links import Link
from wasabipitch.models import Position

ER_WRONG_VALUE_FOR_VAR = 1231
TOKEN_PREFIX = "wp1."
# Lengths are in characters.
MAX_TOKEN_LENGTH = 256 * 1024
MAX_TERM_OR_INDEX = 2**63 - 1
MAX_GROUP_NAME_LENGTH = 63  # as deployment.NAME_PATTERN allows

_decoder = msgspec.msgpack.Decoder(dict[str, tuple[int, int]])


@dataclass(frozen=True, slots=True)
class Pin:
    """The pool that runs a session's open transaction.

    Args:
        group: The database group of the transaction.
        link: The link to the pool that holds the transaction's connection.
        generation: The link's connection count when the transaction began. The
            pool rolls the transaction back when that connection breaks, so after a
            reconnect the transaction no longer exists.
    """

    group: str
    link: Link
    generation: int

    @property
    def is_valid(self) -> bool:
        """Whether the connection on which the transaction began is still open."""
        return self.link.connected and self.link.generation == self.generation


@dataclass(slots=True)
class Session:
    """The state of one caller connection.

    Args:
        id: An identifier that no other caller connection has.
        group: The name of the current database group, or empty if none is selected.
        floors: The lowest position that a read must see, by group name.
        in_transaction: Whether a transaction is open.
        transaction_loss_reason: Why the open transaction was rolled back. While it
            is set, statements are refused until the caller ends the transaction.
            It is empty if no transaction was lost.
        autocommit: Whether a statement outside a transaction commits itself.
        last_insert_id: The last value generated for an AUTO_INCREMENT column.
        pin: The pool that runs the open transaction, or None.
        transaction_id: The request id of the open transaction, or empty.
        lost_transaction_count: The number of transactions that the session lost.
    """

    id: str
    group: str = ""
    floors: dict[str, Position] = field(default_factory=dict)
    in_transaction: bool = False
    transaction_loss_reason: str = ""
    autocommit: bool = True
    last_insert_id: int = 0
    pin: Pin | None = None
    transaction_id: str = ""
    lost_transaction_count: int = 0

    @property
    def key(self) -> str:
        """The identifier under which pools know the session.

        It changes when a transaction is lost, so that a delayed request to end the
        lost transaction cannot end a later one.
        """
        return (
            f"{self.id}.{self.lost_transaction_count}"
            if self.lost_transaction_count
            else self.id
        )

    def raise_floor(self, group: str, position: Position) -> None:
        """Raise a group's floor to the position; a higher floor is kept."""
        floor = self.floors.get(group)
        if floor is None or floor < position:
            self.floors[group] = position

    def accept_token(self, token: str, groups: frozenset[str]) -> None:
        """Raise the floors to those in a token.

        Args:
            token: A token that ``make_token`` returned.
            groups: The names of the declared groups. The token's floors for other
                groups are ignored.

        Raises:
            Refused: If the token is malformed; no floor is changed.
        """
        for group, position in decode_token(token).items():
            if group in groups:
                self.raise_floor(group, position)

    def make_token(self) -> str:
        """Return a token that carries the floors of all groups."""
        return encode_token(self.floors)

    def end_transaction(self) -> None:
        """Clear the state of the open or lost transaction."""
        self.in_transaction = False
        self.transaction_loss_reason = ""
        self.transaction_id = ""
        self.pin = None

    def mark_transaction_lost(self, reason: str) -> None:
        """Mark the open transaction as lost.

        Args:
            reason: The reason that the caller is told when it sends further
                statements of the transaction.
        """
        self.end_transaction()
        self.transaction_loss_reason = reason
        self.lost_transaction_count += 1

    def reset(self) -> None:
        """Reset the caller's settings; the group and the floors are kept."""
        self.end_transaction()
        self.autocommit = True
        self.last_insert_id = 0


def encode_token(floors: dict[str, Position]) -> str:
    """Return the floors, by group name, as an opaque printable token."""
    positions = {group: (p.term, p.index) for group, p in sorted(floors.items())}
    data = msgspec.msgpack.encode(positions)
    return TOKEN_PREFIX + base64.urlsafe_b64encode(data).decode().rstrip("=")


def decode_token(token: str) -> dict[str, Position]:
    """Return the floors that a token carries, by group name.

    Raises:
        Refused: If the token is malformed.
    """
    if not token.startswith(TOKEN_PREFIX) or len(token) > MAX_TOKEN_LENGTH:
        raise _malformed_token(
            f"it does not start with {TOKEN_PREFIX!r} or is too long"
        )
    body = token.removeprefix(TOKEN_PREFIX)
    padding = "=" * (-len(body) % 4)
    try:
        data = base64.b64decode(body + padding, altchars=b"-_", validate=True)
        positions = _decoder.decode(data)
    except (binascii.Error, ValueError, msgspec.MsgspecError) as exc:
        raise _malformed_token(str(exc)) from exc
    for group, (term, index) in positions.items():
        in_range = 0 <= term <= MAX_TERM_OR_INDEX and 0 <= index <= MAX_TERM_OR_INDEX
        if not in_range or len(group) > MAX_GROUP_NAME_LENGTH:
            raise _malformed_token(f"group {group[:80]!r} has no valid position")
    return {group: Position(*part) for group, part in positions.items()}


def _malformed_token(reason: str) -> Refused:
    return Refused(
        f"malformed session token: {reason}; the floors are unchanged",
        code=ER_WRONG_VALUE_FOR_VAR,
    )
