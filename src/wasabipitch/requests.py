"""Runs each request with an id at most once.

The id is recorded in the same transaction as the request's writes. A repeat finds the
record and returns the first outcome. If an outcome is in doubt and there is no record,
a tombstone under the id keeps the request from ever running.
"""

import enum
import time
from dataclasses import dataclass

from wasabipitch.exceptions import GivenUp, Refused, TargetError, TargetLost
from wasabipitch.statements import MAX_REQUEST_ID_LENGTH
from wasabipitch.targets import Answer, TargetConn
from wasabipitch.verdict import Verdict

TABLE = "wasabipitch_requests"

ER_DUP_ENTRY = 1062
ER_NO_SUCH_TABLE = 1146

CREATE_TABLE = (
    f"CREATE TABLE IF NOT EXISTS {TABLE} ("
    f"id VARCHAR({MAX_REQUEST_ID_LENGTH}) PRIMARY KEY, state VARCHAR(8) NOT NULL, "
    "affected_rows BIGINT NOT NULL, last_insert_id BIGINT NOT NULL, "
    "created_s BIGINT NOT NULL)"
)


class RecordState(enum.Enum):
    """Whether a request has run, or is barred from running by a tombstone."""

    RAN = "ran"
    VOID = "void"


@dataclass(frozen=True, slots=True)
class Record:
    """The recorded outcome of a request.

    Args:
        state: ``VOID`` marks a tombstone: the request never ran and never will.
        affected_rows: The rows that the request changed.
        last_insert_id: The last id that the request generated, or 0.
    """

    state: RecordState
    affected_rows: int = 0
    last_insert_id: int = 0

    @property
    def answer(self) -> Answer:
        """The recorded outcome as a target's answer."""
        return Answer(
            affected_rows=self.affected_rows, last_insert_id=self.last_insert_id
        )


@dataclass(frozen=True, slots=True)
class Outcome:
    """The result of ``run_once``.

    Args:
        answer: The statement's answer, or the recorded one.
        record: The record that existed under the id before, or None.
    """

    answer: Answer
    record: Record | None = None


def check_id(request_id: str) -> None:
    """Check that an id can be recorded.

    Raises:
        Refused: The id is empty, too long, or has characters that are not allowed.
    """
    if not request_id or len(request_id) > MAX_REQUEST_ID_LENGTH:
        raise Refused(f"a request id must have 1 to {MAX_REQUEST_ID_LENGTH} characters")
    if not request_id.isprintable() or "\\" in request_id or "'" in request_id:
        raise Refused(f"request id {request_id!r} has characters that are not allowed")


async def run_once(conn: TargetConn, request_id: str, statement: str) -> Outcome:
    """Run a statement and record its id in one transaction.

    Args:
        conn: A connection to the primary, outside any transaction.
        request_id: An id that ``check_id`` accepts.
        statement: A single write.

    Returns:
        The statement's outcome, or the one that is recorded under the id.

    Raises:
        TargetError: The statement failed; nothing is recorded.
        TargetLost: The connection broke. The verdict is ``NOT_RUN`` if the commit was
            never sent; otherwise the statement may have run.
    """
    try:
        await conn.run("BEGIN")
        record = await record_id(conn, request_id)
        if record is not None:
            await conn.run("ROLLBACK")
            return Outcome(record.answer, record)
        answer = await conn.run(statement)
        await _record_outcome(conn, request_id, answer)
    except TargetLost as exc:
        raise TargetLost(exc.message, verdict=Verdict.NOT_RUN) from exc
    except TargetError:
        await roll_back(conn)
        raise
    await commit(conn)
    return Outcome(answer)


async def commit(conn: TargetConn) -> None:
    """Commit the open transaction.

    Raises:
        TargetError: The target refused the commit; the transaction had no effect, and
            the connection is closed.
        TargetLost: The connection broke; the transaction may have been committed.
    """
    try:
        await conn.run("COMMIT")
    except TargetError:
        conn.close()
        raise


async def roll_back(conn: TargetConn) -> None:
    """Roll back the open transaction.

    If that fails, the connection is closed, which makes the target roll back.
    """
    try:
        await conn.run("ROLLBACK")
    except (TargetError, TargetLost):
        conn.close()


async def record_id(conn: TargetConn, request_id: str) -> Record | None:
    """Record an id in the open transaction.

    Returns:
        The record that exists under the id already, or None if there was none.
    """
    insert = _make_insert(request_id, RecordState.RAN)
    try:
        await conn.run(insert)
    except TargetError as exc:
        if exc.code != ER_DUP_ENTRY:
            raise
        return await find_record(conn, request_id)
    return None


async def find_record(conn: TargetConn, request_id: str) -> Record | None:
    """Return the record under an id, or None if there is none."""
    select = (
        f"SELECT state, affected_rows, last_insert_id FROM {TABLE} "
        f"WHERE id = '{request_id}'"
    )
    answer = await conn.run(select)
    if not answer.rows:
        return None
    state, affected_rows, last_insert_id = answer.rows[0]
    return Record(RecordState(state.decode()), int(affected_rows), int(last_insert_id))


async def write_tombstone(conn: TargetConn, request_id: str) -> Record:
    """Write a tombstone under an id, unless a record exists there already.

    The tombstone is binding only once a majority holds it, as with any write.

    Returns:
        The record that now exists under the id.
    """
    insert = _make_insert(request_id, RecordState.VOID)
    try:
        await conn.run(insert)
    except TargetError as exc:
        if exc.code != ER_DUP_ENTRY:
            raise
        found = await find_record(conn, request_id)
        if found is None:
            raise
        return found
    return Record(RecordState.VOID)


def check_ran(request_id: str, record: Record) -> None:
    """Check that the recorded request has run.

    Raises:
        GivenUp: The record is a tombstone.
    """
    if record.state is RecordState.VOID:
        raise GivenUp(f"request {request_id!r} did not run: it has a tombstone")


async def purge(conn: TargetConn, retention_s: float) -> int:
    """Delete the records that are older than the retention, in seconds.

    A repeat of one of their requests would run again.

    Returns:
        The number of deleted records.
    """
    before_s = int(time.time() - retention_s)
    answer = await conn.run(f"DELETE FROM {TABLE} WHERE created_s < {before_s}")
    return answer.affected_rows


def _make_insert(request_id: str, state: RecordState) -> str:
    # The wall clock decides only when a record is purged, so a wrong clock can break
    # at-most-once execution only by way of the retention.
    return (
        f"INSERT INTO {TABLE} "
        "(id, state, affected_rows, last_insert_id, created_s) "
        f"VALUES ('{request_id}', '{state.value}', 0, 0, {int(time.time())})"
    )


async def _record_outcome(conn: TargetConn, request_id: str, answer: Answer) -> None:
    if not answer.affected_rows and not answer.last_insert_id:
        return
    await conn.run(
        f"UPDATE {TABLE} SET affected_rows = {answer.affected_rows}, "
        f"last_insert_id = {answer.last_insert_id} WHERE id = '{request_id}'"
    )
