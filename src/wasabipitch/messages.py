"""The messages that processes send each other on links."""

import enum

import msgspec

from wasabipitch.models import ORIGIN, Column, Host, Position
from wasabipitch.peer_messages import (
    Agreement,
    AskAgreement,
    AskChanges,
    AskConfiguration,
    AskConnections,
    AskHead,
    AskPosition,
    AskRecord,
    AskStoreHead,
    AskTokens,
    ChangesReport,
    ConfigurationOffer,
    ConfigurationPart,
    EndTransaction,
    HeadReport,
    PositionReport,
    RecordReport,
    RunStatement,
    StatementReply,
    StoreAnswer,
    StoreCall,
    StoreHead,
    TokensReport,
)
from wasabipitch.verdict import Verdict


class Kind(enum.IntEnum):
    """The kind of a statement, by its effect on the session's transaction."""

    READ = 0
    WRITE = 1
    BEGIN = 2
    COMMIT = 3
    ROLLBACK = 4


class Execute(msgspec.Struct, frozen=True):
    """A caller's statement, sent by an entry to a pool.

    Args:
        group: The name of the database group.
        session: The session's id, unique to one caller's connection.
        statement: The SQL text.
        kind: The effect of the statement on the transaction.
        request_class: The name of the request class, or an empty string.
        request_id: The caller's id of the request, or an empty string.
        deadline_ms: The time left when the message is sent, in milliseconds.
        floor: The session's floor for the group, which is the lowest log position that
            its reads must see, or None if it has none yet.
        in_transaction: Whether the session is in a transaction according to the entry.
            The pool refuses the statement if it knows of no transaction.
        in_doubt: Whether an earlier attempt under the same id may have run. The pool
            then answers "not run" only when that attempt can no longer run.
    """

    group: str
    session: str
    statement: str
    kind: Kind = Kind.READ
    request_class: str = ""
    request_id: str = ""
    deadline_ms: int = 5000
    floor: Position | None = None
    in_transaction: bool = False
    in_doubt: bool = False


class Result(msgspec.Struct, frozen=True):
    """The first frame of an answer; ``Rows`` frames may follow.

    Args:
        columns: The columns of the rows, or none for a statement without rows.
        rows: A packed block of rows; see ``contracts.pack_rows``.
        position: The session's new floor for the group.
        target: The name of the instance that ran the statement.
        repeated: Whether this is the recorded outcome of an earlier attempt.
    """

    columns: tuple[Column, ...] = ()
    rows: bytes = b""
    affected_rows: int = 0
    last_insert_id: int = 0
    in_transaction: bool = False
    position: Position = ORIGIN
    target: str = ""
    repeated: bool = False


class Rows(msgspec.Struct, frozen=True):
    """A further block of rows of the same answer."""

    rows: bytes


class Failure(msgspec.Struct, frozen=True):
    """An error in answer to a message, with its verdict."""

    verdict: Verdict
    code: int
    sqlstate: str
    message: str
    in_transaction: bool = False


class Cancel(msgspec.Struct, frozen=True):
    """Tells the serving end that the requester no longer waits for the reply."""


class Hello(msgspec.Struct, frozen=True):
    """The first message of a connection, which identifies the sender.

    Args:
        host: The sender.
        incarnation: A text unique to this start of the sender.
    """

    host: Host
    incarnation: str


class Heartbeat(msgspec.Struct, frozen=True):
    """Asks whether the peer still reads its link; the answer is another heartbeat."""


class Continue(msgspec.Struct, frozen=True):
    """Confirms that the requester has processed some messages of a reply.

    The serving end sends only a few messages ahead of the confirmed ones, so that a
    reply to a slow caller takes little memory at either end.

    Args:
        taken: The number of messages processed since the last confirmation.
    """

    taken: int


class EndSession(msgspec.Struct, frozen=True):
    """Tells a pool to roll back and forget a session whose caller disconnected."""

    session: str


class Done(msgspec.Struct, frozen=True):
    """Confirms that an order was carried out."""

    detail: str = ""


class AskOpinion(msgspec.Struct, frozen=True):
    """Asks a pool whether it can reach an instance."""

    group: str
    instance: str


class Opinion(msgspec.Struct, frozen=True):
    """The answer to ``AskOpinion``: whether the pool just reached the instance."""

    instance: str
    reachable: bool
    term: int = 0


class OfferConfiguration(msgspec.Struct, frozen=True):
    """Offers a configuration revision to a peer.

    Args:
        revision: The sender's revision.
        document: The sender's document, or an empty string to state only the revision.
    """

    revision: int
    document: str


class HoldConfiguration(msgspec.Struct, frozen=True):
    """The answer to an offer, with the revision that the answering process now has.

    Args:
        revision: The revision.
        document: The document if its revision is greater than the offered one, else an
            empty string.
    """

    revision: int
    document: str = ""


class HostFact(msgspec.Struct, frozen=True):
    """The state of a host as one process knows it, for the membership digest.

    Args:
        host: The host.
        incarnation: A text that grows with each start of the host.
        heartbeat: A count that only the host itself increases; a fact with a greater
            heartbeat is newer.
        state: ``live``, ``suspect``, ``leaving`` or ``dead``.
    """

    host: Host
    incarnation: str
    heartbeat: int
    state: str


class Digest(msgspec.Struct, frozen=True):
    """A sample of the sender's facts about hosts, and its configuration revision."""

    facts: tuple[HostFact, ...]
    revision: int


class AskStatus(msgspec.Struct, frozen=True):
    """Asks a process for its state.

    Args:
        groups: Not used; the answer does not depend on it.
    """

    groups: tuple[str, ...] = ()


class InstanceState(msgspec.Struct, frozen=True):
    """The state of an instance according to the owner of its group.

    Args:
        lag_entries: The number of log entries that it is behind the primary.
        age_ms: The greatest possible age of its data in milliseconds; -1 if unknown.
    """

    name: str
    address: str
    data_centre: str
    role: str
    term: int
    fence: int
    position: Position
    reachable: bool
    member: bool
    leaving: bool = False
    lag_entries: int = 0
    age_ms: int = -1
    running: int = 0
    connections: int = 0


class GroupState(msgspec.Struct, frozen=True):
    """The state of a group according to a pool that serves it."""

    name: str
    primary: str
    term: int
    owner: str
    rank: int
    queued: int
    running: int
    slots: int
    instances: tuple[InstanceState, ...]
    activity: str = ""


class ProcessState(msgspec.Struct, frozen=True):
    """The state of one process."""

    host: Host
    revision: int
    uptime_s: float
    sessions: int = 0
    stopping: bool = False
    groups: tuple[GroupState, ...] = ()
    counters: dict[str, float] = msgspec.field(default_factory=dict)


class AskEvents(msgspec.Struct, frozen=True):
    """Asks a process for its recorded events; an empty field matches all of them."""

    group: str = ""
    session: str = ""
    request: str = ""
    term: int = 0
    limit: int = 1000


class Event(msgspec.Struct, frozen=True):
    """One recorded event.

    Args:
        clock: The time of the event on the hybrid logical clock.
        host: The name of the process that recorded it.
        kind: A dotted name, such as ``failover.promoted``.
    """

    clock: int
    host: str
    kind: str
    group: str = ""
    session: str = ""
    request: str = ""
    term: int = 0
    detail: str = ""


class Events(msgspec.Struct, frozen=True):
    """The events that matched, oldest first."""

    host: str
    events: tuple[Event, ...]


class Switchover(msgspec.Struct, frozen=True):
    """Orders a switchover, which is a planned replacement of a group's primary.

    Args:
        group: The name of the group.
        to: The name of the successor, or an empty string to let the pool choose.
    """

    group: str
    to: str = ""


class SetCut(msgspec.Struct, frozen=True):
    """Orders a process to drop all traffic to and from some peers.

    The process refuses the order unless its settings allow fault injection.

    Args:
        peers: The host names of the peers; an empty tuple ends the fault.
    """

    peers: tuple[str, ...] = ()


ControlMessage = (
    Hello
    | Heartbeat
    | Continue
    | EndSession
    | Done
    | AskOpinion
    | Opinion
    | OfferConfiguration
    | HoldConfiguration
    | Digest
    | AskStatus
    | ProcessState
    | AskEvents
    | Events
    | Switchover
    | SetCut
    | StoreCall
    | StoreAnswer
    | AskHead
    | HeadReport
    | AskAgreement
    | Agreement
    | AskStoreHead
    | StoreHead
    | AskChanges
    | ChangesReport
    | AskPosition
    | AskConfiguration
    | ConfigurationOffer
    | ConfigurationPart
    | AskRecord
    | AskConnections
    | PositionReport
    | RecordReport
    | RunStatement
    | EndTransaction
    | StatementReply
    | AskTokens
    | TokensReport
)
Message = Execute | Result | Rows | Failure | Cancel | ControlMessage
