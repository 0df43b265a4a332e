"""Sessions: what an entry keeps of one caller connection.

A session's floors say from which position on each group's data must be read.
A token carries them to another connection.
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
MAX_TOKEN_LENGTH = 256 * 1024
MAX_TERM_OR_INDEX = 2**63 - 1
MAX_GROUP_NAME_LENGTH = 63

_decoder = msgspec.msgpack.Decoder(dict[str, tuple[int, int]])


@dataclass(frozen=True, slots=True)
class Pin:
    """Where a session's open transaction lives.

    Args:
        group: the database group.
        link: to the pool that holds the transaction's connection.
        generation: the link's connection; a later one lost the transaction.
    """

    group: str
    link: Link
    generation: int

    @property
    def is_valid(self) -> bool:
        """Whether the connection on which the transaction began still stands."""
        return self.link.connected and self.link.generation == self.generation


@dataclass(slots=True)
class Session:
    """One caller connection's state.

    Args:
        id: unique to the caller connection.
        group: the current database group; empty: none is selected.
        floors: the position that reads of each group must have reached.
        in_transaction: whether a transaction is open.
        lost_transaction: why the open transaction is gone; statements are
            refused until the caller ends it. Empty: it is not lost.
        autocommit: whether a statement outside a transaction commits itself.
        last_insert_id: of the latest statement that made one.
        pin: where the open transaction lives.
        transaction_id: the request id under which it runs, or empty.
        losses: how many transactions were lost.
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
        """The session's name at pools.

        It changes when a transaction is lost, so that a late order to end the
        lost one can't end its successor.
        """
        return (
            f"{self.id}.{self.lost_transaction_count}"
            if self.lost_transaction_count
            else self.id
        )

    def raise_floor(self, group: str, position: Position) -> None:
        """Let reads of a group be no older than the position."""
        floor = self.floors.get(group)
        if floor is None or floor < position:
            self.floors[group] = position

    def accept_token(self, token: str, groups: frozenset[str]) -> None:
        """Raise the floors to those of a token; other groups are ignored.

        Raises:
            Refused: if the token is malformed; no floor is changed.
        """
        for group, position in decode_token(token).items():
            if group in groups:
                self.raise_floor(group, position)

    def make_token(self) -> str:
        """Return a token with the floors of all groups."""
        return encode_token(self.floors)

    def end_transaction(self) -> None:
        """Have no open or lost transaction any more."""
        self.in_transaction = False
        self.transaction_loss_reason = ""
        self.transaction_id = ""
        self.pin = None

    def mark_transaction_lost(self, reason: str) -> None:
        """Refuse the transaction's further statements for the given reason."""
        self.end_transaction()
        self.transaction_loss_reason = reason
        self.lost_transaction_count += 1

    def reset(self) -> None:
        """Clear the caller's settings; the group and the floors are kept."""
        self.end_transaction()
        self.autocommit = True
        self.last_insert_id = 0


def encode_token(floors: dict[str, Position]) -> str:
    """Return the floors as an opaque printable token."""
    positions = {group: (p.term, p.index) for group, p in sorted(floors.items())}
    data = msgspec.msgpack.encode(positions)
    return TOKEN_PREFIX + base64.urlsafe_b64encode(data).decode().rstrip("=")


def decode_token(token: str) -> dict[str, Position]:
    """Return the floors that a token carries.

    Raises:
        Refused: if the token is malformed.
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
