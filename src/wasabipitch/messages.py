"""The typed messages that travel on links."""

import enum

import msgspec

from wasabipitch.models import ORIGIN, Column, Host, Position
from wasabipitch.peer_messages import (
    Agreement,
    AskAgreement,
    AskChanges,
    AskConnections,
    AskHead,
    AskPosition,
    AskStoreHead,
    ChangesReport,
    HeadReport,
    PositionReport,
    RunStatement,
    StatementReply,
    StoreAnswer,
    StoreCall,
    StoreHead,
)
from wasabipitch.verdict import Verdict


class Kind(enum.IntEnum):
    """What a statement does to its session's transaction."""

    READ = 0
    WRITE = 1
    BEGIN = 2
    COMMIT = 3
    ROLLBACK = 4


class Execute(msgspec.Struct, frozen=True):
    """A caller's statement, sent by an entry to a pool.

    Args:
        group: the database group's name.
        session: unique to one caller connection.
        deadline_ms: the time left when the message is sent.
        floor: the session's floor for the group, or None if it has none yet.
        in_transaction: whether the entry holds that the session is in a
            transaction; the pool refuses the statement if it isn't.
        in_doubt: whether an earlier attempt under the same id may have run;
            "not run" is then said only once that can't happen any more.
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
        rows: a packed block of rows; see ``contracts.pack_rows``.
        position: the session's new floor for the group.
        repeated: whether this is the recorded outcome of an earlier request.
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
    """Tells the server that the requester no longer waits."""


class Hello(msgspec.Struct, frozen=True):
    """Opens a link: who the sender is."""

    host: Host
    incarnation: str


class Heartbeat(msgspec.Struct, frozen=True):
    """Asks whether the peer still reads its link; answered by another one."""


class Continue(msgspec.Struct, frozen=True):
    """Tells the server that so many messages of a reply were taken.

    The server sends only a few messages ahead of these, so that a reply to a
    slow caller takes little memory at either end.
    """

    taken: int


class EndSession(msgspec.Struct, frozen=True):
    """The caller is gone: roll back and forget what its session holds."""

    session: str


class Done(msgspec.Struct, frozen=True):
    """The order was carried out."""

    detail: str = ""


class AskOpinion(msgspec.Struct, frozen=True):
    """Asks a pool whether it reaches an instance."""

    group: str
    instance: str


class Opinion(msgspec.Struct, frozen=True):
    """Whether the asked pool reached the instance just now."""

    instance: str
    reachable: bool
    term: int = 0


class OfferConfiguration(msgspec.Struct, frozen=True):
    """Passes a configuration revision on to a peer."""

    revision: int
    document: str


class HoldConfiguration(msgspec.Struct, frozen=True):
    """Answers an offer: the revision that the peer now holds.

    Args:
        document: the peer's document where its revision is the greater one.
    """

    revision: int
    document: str = ""


class HostFact(msgspec.Struct, frozen=True):
    """What one process knows of another, for the membership digest.

    Args:
        heartbeat: counts up at the host itself; a greater one is newer.
        state: ``live``, ``suspect``, ``leaving`` or ``dead``.
    """

    host: Host
    incarnation: str
    heartbeat: int
    state: str


class Digest(msgspec.Struct, frozen=True):
    """A sample of what the sender knows of the membership."""

    facts: tuple[HostFact, ...]
    revision: int


class AskStatus(msgspec.Struct, frozen=True):
    """Asks a process for its state."""

    groups: tuple[str, ...] = ()


class InstanceState(msgspec.Struct, frozen=True):
    """One instance, as the owner of its group sees it.

    Args:
        lag_entries: how many log entries it is behind the primary.
        age_ms: how old its data may be at most; -1 if unknown.
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
    """One group, as a pool that serves it sees it."""

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
    """Asks a process for its recorded events; empty fields match all."""

    group: str = ""
    session: str = ""
    request: str = ""
    term: int = 0
    limit: int = 1000


class Event(msgspec.Struct, frozen=True):
    """One recorded event.

    Args:
        clock: the hybrid logical clock when it happened.
        host: the process that recorded it.
        kind: a dotted name, such as ``failover.promoted``.
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
    """Orders a planned change of primary; empty ``to`` lets the pool choose."""

    group: str
    to: str = ""


class SetCut(msgspec.Struct, frozen=True):
    """Fault injection: drop all traffic with these peers; empty heals.

    Honoured only where the settings allow fault injection.
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
    | AskConnections
    | PositionReport
    | RunStatement
    | StatementReply
)
Message = Execute | Result | Rows | Failure | Cancel | ControlMessage
