"""The typed messages that travel on links."""

import enum
from dataclasses import dataclass, field

from wasabipitch.models import ORIGIN, Column, Host, Position
from wasabipitch.peer_messages import (
    Agreement,
    AskAgreement,
    AskHead,
    AskStoreHead,
    HeadReport,
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


@dataclass(frozen=True, slots=True)
class Execute:
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


@dataclass(frozen=True, slots=True)
class Result:
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


@dataclass(frozen=True, slots=True)
class Rows:
    """A further block of rows of the same answer."""

    rows: bytes


@dataclass(frozen=True, slots=True)
class Failure:
    """An error in answer to a message, with its verdict."""

    verdict: Verdict
    code: int
    sqlstate: str
    message: str
    in_transaction: bool = False


@dataclass(frozen=True, slots=True)
class Cancel:
    """Tells the server that the requester no longer waits."""


@dataclass(frozen=True, slots=True)
class Hello:
    """Opens a link: who the sender is."""

    host: Host
    incarnation: str


@dataclass(frozen=True, slots=True)
class Heartbeat:
    """Asks whether the peer still reads its link; answered by another one."""


@dataclass(frozen=True, slots=True)
class Continue:
    """Tells the server that so many messages of a reply were taken.

    The server sends only a few messages ahead of these, so that a reply to a
    slow caller takes little memory at either end.
    """

    taken: int


@dataclass(frozen=True, slots=True)
class EndSession:
    """The caller is gone: roll back and forget what its session holds."""

    session: str


@dataclass(frozen=True, slots=True)
class Done:
    """The order was carried out."""

    detail: str = ""


@dataclass(frozen=True, slots=True)
class AskOpinion:
    """Asks a pool whether it reaches an instance."""

    group: str
    instance: str


@dataclass(frozen=True, slots=True)
class Opinion:
    """Whether the asked pool reached the instance just now."""

    instance: str
    reachable: bool
    term: int = 0


@dataclass(frozen=True, slots=True)
class OfferConfiguration:
    """Passes a configuration revision on to a peer."""

    revision: int
    document: str


@dataclass(frozen=True, slots=True)
class HoldConfiguration:
    """Answers an offer: the revision that the peer now holds.

    Args:
        document: the peer's document where its revision is the greater one.
    """

    revision: int
    document: str = ""


@dataclass(frozen=True, slots=True)
class HostFact:
    """What one process knows of another, for the membership digest.

    Args:
        heartbeat: counts up at the host itself; a greater one is newer.
        state: ``live``, ``suspect``, ``leaving`` or ``dead``.
    """

    host: Host
    incarnation: str
    heartbeat: int
    state: str


@dataclass(frozen=True, slots=True)
class Digest:
    """A sample of what the sender knows of the membership."""

    facts: tuple[HostFact, ...]
    revision: int


@dataclass(frozen=True, slots=True)
class AskStatus:
    """Asks a process for its state."""

    groups: tuple[str, ...] = ()


@dataclass(frozen=True, slots=True)
class InstanceState:
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


@dataclass(frozen=True, slots=True)
class GroupState:
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


@dataclass(frozen=True, slots=True)
class ProcessState:
    """The state of one process."""

    host: Host
    revision: int
    uptime_s: float
    sessions: int = 0
    stopping: bool = False
    groups: tuple[GroupState, ...] = ()
    counters: dict[str, float] = field(default_factory=dict)


@dataclass(frozen=True, slots=True)
class AskEvents:
    """Asks a process for its recorded events; empty fields match all."""

    group: str = ""
    session: str = ""
    request: str = ""
    term: int = 0
    limit: int = 1000


@dataclass(frozen=True, slots=True)
class Event:
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


@dataclass(frozen=True, slots=True)
class Events:
    """The events that matched, oldest first."""

    host: str
    events: tuple[Event, ...]


@dataclass(frozen=True, slots=True)
class Switchover:
    """Orders a planned change of primary; empty ``to`` lets the pool choose."""

    group: str
    to: str = ""


@dataclass(frozen=True, slots=True)
class SetCut:
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
    | RunStatement
    | StatementReply
)
Message = Execute | Result | Rows | Failure | Cancel | ControlMessage
