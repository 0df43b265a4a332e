"""Control calls, which clients send as MySQL `CALL` statements.

Calls named `wasabipitch_...` are the interface for the proxy and for replicas: status,
failover and replication. Calls named `standin_...` inject faults for tests.
"""

import json
import re
import time
from collections.abc import Callable
from dataclasses import dataclass
from typing import Any

import msgspec
from mysql_mimic.results import ResultSet

from standins.exceptions import NO_SUCH_FUNCTION, PARSE_ERROR, WRONG_ARGUMENTS, SqlError
from standins.instance import Instance
from standins.log import Entry, LoggedStatement, Position
from standins.results import make_records_result

_CALL = re.compile(
    r"^\s*(?:/\*.*?\*/\s*)*CALL\s+(\w+)\s*\((.*)\)\s*;?\s*$",
    re.IGNORECASE | re.DOTALL,
)
_ARGUMENT = re.compile(r"\s*(?:'([^']*)'|\"([^\"]*)\"|(-?\d+(?:\.\d+)?))\s*(?:,|$)")
MAX_FREEZE_MS = 60_000


@dataclass(frozen=True)
class Call:
    """Name and arguments of one control call."""

    name: str
    args: tuple[Any, ...]


@dataclass(frozen=True)
class StatusRow:
    """State of the instance, the result of every control call but the log call.

    Attributes:
        name: Name of the instance.
        role: `primary` or `replica`.
        term: Term that the instance leads or follows.
        fence: Greatest term that the instance has accepted.
        last_term: Term of the last log entry.
        last_index: Index of the last log entry.
        member: 1 for a member of the group, else 0.
        leader: Address of the leader as `ip:port`; empty if there is none.
        running: Number of statements that execute.
        queued: Number of statements that wait for a slot or the write lock.
        connections: Open connections that count against the limit.
        connection_limit: Number of connections that can be open at once.
        accepted: 1 if the call was accepted, 0 if it was refused or timed out.
        reason: Reason of a refusal or timeout; empty if the call was accepted.
    """

    name: str
    role: str
    term: int
    fence: int
    last_term: int
    last_index: int
    member: int
    leader: str
    running: int
    queued: int
    connections: int
    connection_limit: int
    accepted: int
    reason: str


@dataclass(frozen=True)
class LogRow:
    """One row of the log call: a header row first, then one row for each entry.

    Attributes:
        leader_term: Term of the instance that answers; 0 if it is no primary.
        term: Term of the entry. In the header, `term` and `index` are the position
            after which the entries follow.
        index: Index of the entry.
        age_ms: Time since the commit of the entry, in milliseconds.
        statements: Statements of the entry as JSON; a `LogHeader` in the header.
    """

    leader_term: int
    term: int
    index: int
    age_ms: int
    statements: str


@dataclass(frozen=True)
class LogHeader:
    """Header of the answer to a log call.

    Attributes:
        name: Name of the instance that answers.
        known: Whether its log contains the requested position. If not, the header
            row has the greatest position of its log below the requested one.
    """

    name: str
    known: bool


def parse_call(sql: str) -> Call | None:
    """Parse a control call.

    Args:
        sql: Text of a statement.

    Returns:
        The call, or None if the statement is no CALL.

    Raises:
        SqlError: The arguments are malformed.
    """
    if "call" not in sql[:256].lower():
        return None
    match = _CALL.match(sql)
    if match is None:
        return None
    return Call(match.group(1).lower(), _parse_arguments(match.group(2)))


def _parse_arguments(text: str) -> tuple[Any, ...]:
    args: list[Any] = []
    offset = 0
    while offset < len(text.rstrip()):
        match = _ARGUMENT.match(text, offset)
        if match is None:
            raise SqlError(
                PARSE_ERROR, f"invalid argument near '{text[offset : offset + 40]}'"
            )
        single_quoted, double_quoted, number = match.groups()
        if number is not None:
            args.append(float(number) if "." in number else int(number))
        else:
            args.append(single_quoted if single_quoted is not None else double_quoted)
        offset = match.end()
    return tuple(args)


class Controls:
    """Handles the control calls of one instance.

    Args:
        instance: The instance that the calls observe and change.
        restart_replication: Called after an order that changes the leader.
    """

    def __init__(
        self, instance: Instance, restart_replication: Callable[[], None]
    ) -> None:
        self._instance = instance
        self._restart_replication = restart_replication
        self._handlers = {
            "wasabipitch_status": self._status,
            "wasabipitch_wait": self._wait,
            "wasabipitch_fence": self._fence,
            "wasabipitch_promote": self._promote,
            "wasabipitch_follow": self._follow,
            "wasabipitch_join": self._join,
            "wasabipitch_log": self._log,
            "standin_set": self._set,
            "standin_cut": self._cut,
            "standin_freeze": self._freeze,
        }

    async def answer(self, call: Call) -> ResultSet:
        """Run a control call.

        Raises:
            SqlError: The call is unknown or its arguments are invalid.
        """
        handler = self._handlers.get(call.name)
        if handler is None:
            raise SqlError(NO_SUCH_FUNCTION, f"PROCEDURE {call.name} does not exist")
        try:
            return await handler(*call.args)
        except (TypeError, ValueError) as exc:
            raise SqlError(
                WRONG_ARGUMENTS, f"invalid arguments for {call.name}: {exc}"
            ) from exc

    def status(self, reason: str = "") -> StatusRow:
        """Return the present state as one row.

        Args:
            reason: Why the call was refused; empty if it was accepted.
        """
        inst = self._instance
        return StatusRow(
            name=inst.cfg.name,
            role=inst.role,
            term=inst.term,
            fence=inst.fence_term,
            last_term=inst.position.term,
            last_index=inst.position.index,
            member=int(inst.member),
            leader=inst.leader,
            running=inst.slots.running,
            queued=inst.queued,
            connections=inst.connection_count,
            connection_limit=inst.cfg.connections,
            accepted=int(not reason),
            reason=reason,
        )

    def _status_result(self, reason: str = "") -> ResultSet:
        return make_records_result(StatusRow, [self.status(reason)])

    async def _status(self) -> ResultSet:
        return self._status_result()

    async def _wait(self, term: int, index: int, timeout_ms: float) -> ResultSet:
        position = Position(int(term), int(index))
        reached = await self._instance.wait_for(position, timeout_ms / 1000)
        return self._status_result(
            "" if reached else f"position not reached in {timeout_ms} ms"
        )

    async def _fence(self, term: int) -> ResultSet:
        return self._status_result(self._instance.fence(int(term)))

    async def _promote(self, term: int) -> ResultSet:
        reason = self._instance.promote(int(term))
        if not reason:
            self._restart_replication()
        return self._status_result(reason)

    async def _follow(self, leader: str, term: int) -> ResultSet:
        reason = self._instance.follow(str(leader), int(term))
        if not reason:
            self._restart_replication()
        return self._status_result(reason)

    async def _join(self, term: int) -> ResultSet:
        return self._status_result(self._instance.join(int(term)))

    async def _log(
        self, term: int, index: int, limit: int, timeout_ms: float
    ) -> ResultSet:
        inst = self._instance
        requested = Position(int(term), int(index))
        if inst.is_primary and inst.log.contains(requested):
            await inst.changed.wait_for(
                lambda: inst.position != requested or not inst.is_primary,
                timeout_ms / 1000,
            )
        known = inst.log.contains(requested)
        start = requested if known else inst.log.greatest_up_to(requested)
        header = msgspec.json.encode(LogHeader(inst.cfg.name, known)).decode()
        leader_term = inst.term if inst.is_primary else 0
        rows = [LogRow(leader_term, start.term, start.index, 0, header)]
        if known and leader_term:
            entries = inst.log.after(requested, int(limit))
            rows += [_log_row(leader_term, entry) for entry in entries]
        return make_records_result(LogRow, rows)

    async def _set(self, name: str, value: float) -> ResultSet:
        if name not in ("lag_ms", "work_ms", "connect_ms"):
            raise ValueError(f"unknown setting {name!r}")
        setattr(self._instance, name, float(value))
        return self._status_result()

    async def _cut(self, names: str = "") -> ResultSet:
        parts = (part.strip() for part in str(names).split(","))
        self._instance.partitioned_users = frozenset(part for part in parts if part)
        self._instance.changed.notify()
        return self._status_result()

    async def _freeze(self, duration_ms: float) -> ResultSet:
        # Blocks the event loop, so that the whole process hangs.
        time.sleep(min(duration_ms, MAX_FREEZE_MS) / 1000)
        return self._status_result()


def _log_row(leader_term: int, entry: Entry) -> LogRow:
    age_ms = int((time.monotonic() - entry.committed_at) * 1000)
    statements = msgspec.json.encode(entry.statements).decode()
    position = entry.position
    return LogRow(leader_term, position.term, position.index, age_ms, statements)


def decode_entry(row: LogRow) -> Entry:
    """Return the log entry of a row, with its commit time on the local clock."""
    statements = msgspec.json.decode(row.statements, type=tuple[LoggedStatement, ...])
    committed_at = time.monotonic() - row.age_ms / 1000
    return Entry(Position(row.term, row.index), statements, committed_at)


def decode_header(row: LogRow) -> LogHeader:
    """Return the header of a log call from its first row."""
    return LogHeader(**json.loads(row.statements))
