"""Execution of callers' statements and the session state that they change.

Statements outside transactions may run on any pool that serves their group. The
statements of a transaction all go to the pool on which it began. An error carries a
verdict, which says whether the statement may have taken effect.
"""

import contextlib
import itertools
import logging
from collections.abc import AsyncIterator, Callable
from dataclasses import replace
from typing import Protocol

from wasabipitch.catalogue import Catalogue, Request
from wasabipitch.deployment import Deployment
from wasabipitch.dispatch import Dispatcher
from wasabipitch.events import Timeline
from wasabipitch.exceptions import (
    ER_OPTION_PREVENTS_STATEMENT,
    InDoubt,
    LinkError,
    LinkLost,
    Refused,
    TransactionLost,
    WasabipitchError,
)
from wasabipitch.links import RemoteError
from wasabipitch.messages import Kind, Message, Result
from wasabipitch.metrics import Metrics
from wasabipitch.models import ORIGIN, Host
from wasabipitch.sessions import Pin, Session
from wasabipitch.statements import Statement
from wasabipitch.verdict import Verdict

BEGIN = Statement("BEGIN", "BEGIN", Kind.BEGIN)
COMMIT = Statement("COMMIT", "COMMIT", Kind.COMMIT)

logger = logging.getLogger(__name__)


class Configuration(Protocol):
    """A source of the configuration in force, which may change at any time."""

    revision: int
    current: Deployment | None

    def subscribe(self, callback: Callable[[Deployment, int], None]) -> None:
        """Call back with each new configuration and its revision number.

        The callback is also called at once if a configuration is already in force.
        """


class SessionRunner:
    """Runs the statements of all callers of one entry process.

    Args:
        host: The description of this process.
        incarnation: An identifier that no other run of this process has.
        configuration: The source of the configuration in force.
        dispatcher: The sender of requests to pools.
        timeline: The event log of this process.
        metrics: The metrics of this process.
    """

    def __init__(
        self,
        host: Host,
        incarnation: str,
        configuration: Configuration,
        dispatcher: Dispatcher,
        timeline: Timeline,
        metrics: Metrics,
    ) -> None:
        self.host = host
        self.catalogue = Catalogue()
        self.sessions: dict[str, Session] = {}
        self._incarnation = incarnation
        self._dispatcher = dispatcher
        self._timeline = timeline
        self._metrics = metrics
        self._session_numbers = itertools.count(1)
        configuration.subscribe(self._apply_configuration)

    def open_session(self) -> Session:
        """Create and register a session for a caller connection."""
        session = Session(
            f"{self.host.name}/{self._incarnation}/{next(self._session_numbers)}"
        )
        self.sessions[session.id] = session
        self._timeline.record("session.opened", session=session.id)
        self._metrics.gauge("entry.sessions", len(self.sessions))
        return session

    async def close_session(self, session: Session) -> None:
        """Remove a session and have its open transaction rolled back."""
        self._abandon_transaction(session, "its caller left")
        self.sessions.pop(session.id, None)
        self._timeline.record("session.closed", session=session.id)
        self._metrics.gauge("entry.sessions", len(self.sessions))

    async def reset_session(self, session: Session) -> None:
        """Roll back and reset the caller's settings; group and floors are kept."""
        self._abandon_transaction(session, "its caller reset the connection")
        session.reset()

    def select_group(self, session: Session, group: str) -> None:
        """Select a session's current group.

        Raises:
            Refused: If the group is not declared, or a transaction is open in
                another group.
        """
        self.catalogue.check_group(group)
        if session.in_transaction and group != session.group:
            raise Refused(
                f"can't change to database {group!r}: a transaction is open in"
                f" {session.group!r}",
                code=ER_OPTION_PREVENTS_STATEMENT,
            )
        session.group = group

    async def set_autocommit(self, session: Session, on: bool) -> None:
        """Turn autocommit on or off.

        As in MySQL, turning it on commits the open transaction, if there is one.
        """
        if on and not session.autocommit and session.in_transaction:
            await self._run_and_discard_reply(session, COMMIT)
        session.autocommit = on

    async def run(
        self, session: Session, statement: Statement
    ) -> AsyncIterator[Message]:
        """Run a statement and yield one ``Result``, then any ``Rows`` messages.

        Raises:
            WasabipitchError: The statement failed; the error carries the verdict
                on whether it may have run.
        """
        if session.transaction_loss_reason:
            self._handle_lost_transaction(session, statement)
        kind = statement.kind
        if not session.in_transaction and kind in (Kind.COMMIT, Kind.ROLLBACK):
            yield Result()
            return
        if session.in_transaction and kind is Kind.BEGIN:
            await self._run_and_discard_reply(session, COMMIT)
        req = self.catalogue.admit(session, statement)
        if not session.in_transaction and not session.autocommit:
            if kind is not Kind.BEGIN:
                hints = replace(statement.hints, request_id="")
                await self._run_and_discard_reply(session, replace(BEGIN, hints=hints))
            req.floor = session.floors.get(session.group)
        async with contextlib.aclosing(self._run_recorded(session, req)) as replies:
            async for message in replies:
                yield message

    def _apply_configuration(self, deployment: Deployment, revision: int) -> None:
        self.catalogue = Catalogue.build(deployment)
        logger.info("configuration revision %d is in force", revision)

    def _handle_lost_transaction(self, session: Session, statement: Statement) -> None:
        """Refuse a statement of a lost transaction unless it ends the transaction.

        BEGIN and ROLLBACK end it without an error. COMMIT ends it too, but fails,
        because the caller must learn that the work was not committed.
        """
        reason = session.transaction_loss_reason
        kind = statement.kind
        if kind in (Kind.BEGIN, Kind.COMMIT, Kind.ROLLBACK):
            session.end_transaction()
        if kind not in (Kind.BEGIN, Kind.ROLLBACK):
            raise TransactionLost(f"the transaction was rolled back: {reason}")

    async def _run_and_discard_reply(
        self, session: Session, statement: Statement
    ) -> None:
        req = self.catalogue.admit(session, statement)
        async with contextlib.aclosing(self._run_recorded(session, req)) as replies:
            async for _ in replies:
                pass

    async def _run_recorded(
        self, session: Session, req: Request
    ) -> AsyncIterator[Message]:
        """Run a request and record its outcome in the timeline and the metrics."""
        event_fields = {
            "group": req.group,
            "session": session.id,
            "request": req.statement.hints.request_id,
        }
        self._timeline.record(
            "request.sent", detail=req.statement.kind.name, **event_fields
        )
        self._metrics.count("entry.requests")
        left_s = req.left_s
        try:
            async with contextlib.aclosing(
                self._run_and_update_session(session, req)
            ) as replies:
                async for message in replies:
                    yield message
        except WasabipitchError as exc:
            verdict = Verdict(exc.verdict).name
            self._timeline.record("request.failed", detail=verdict, **event_fields)
            self._metrics.count(f"entry.failed.{verdict.lower()}")
            raise
        except BaseException:
            self._timeline.record("request.abandoned", **event_fields)
            raise
        self._timeline.record("request.answered", **event_fields)
        self._metrics.timing("entry.request_ms", (left_s - req.left_s) * 1000)

    async def _run_and_update_session(
        self, session: Session, req: Request
    ) -> AsyncIterator[Message]:
        """Run a request and update the session's state from its outcome."""
        pin = session.pin
        try:
            if pin is None:
                replies = self._dispatcher.stream(req)
            else:
                replies = self._dispatcher.stream_pinned(req, pin)
            async with contextlib.aclosing(replies):
                async for message in replies:
                    if isinstance(message, Result):
                        self._update_session(session, req, message)
                    yield message
        except WasabipitchError as exc:
            if pin is None:
                self._handle_begin_failure(session, req, exc)
                raise
            request_id = session.transaction_id
            error = self._handle_transaction_failure(session, req, pin, exc)
            if isinstance(error, InDoubt) and request_id:
                yield await self._resolve_commit(session, req, request_id)
            elif error is not None:
                raise error from exc
            else:
                yield Result()

    async def _resolve_commit(
        self, session: Session, req: Request, request_id: str
    ) -> Result:
        """Return the outcome of a commit that got no answer.

        The question is sent as a COMMIT with ``in_doubt`` set and the transaction's
        request id. Any pool of the group can establish whether the commit under
        that id took effect.

        Raises:
            WasabipitchError: The commit failed or its outcome is unknown; the error
                carries the verdict on the transaction.
        """
        hints = replace(req.statement.hints, request_id=request_id)
        outcome_request = replace(
            req, statement=replace(COMMIT, hints=hints), in_doubt=True
        )
        outcome_request.in_transaction = False
        replies = self._dispatcher.stream(outcome_request)
        async with contextlib.aclosing(replies):
            async for message in replies:
                self._update_session(session, outcome_request, message)
                return message
        raise InDoubt(f"no answer to the commit of request {request_id!r}")

    def _update_session(self, session: Session, req: Request, result: Result) -> None:
        if result.position != ORIGIN:
            session.raise_floor(req.group, result.position)
        if result.last_insert_id:
            session.last_insert_id = result.last_insert_id
        # Pools also set in_transaction for transactions that they use internally, so
        # the flag counts only after a BEGIN.
        may_be_open = session.in_transaction or req.statement.kind is Kind.BEGIN
        if not (result.in_transaction and may_be_open):
            session.end_transaction()
            return
        session.in_transaction = True
        if session.pin is None:
            session.pin = Pin(req.group, req.link, req.generation)
        session.transaction_id = (
            session.transaction_id or req.statement.hints.request_id
        )

    def _handle_transaction_failure(
        self, session: Session, req: Request, pin: Pin, exc: WasabipitchError
    ) -> WasabipitchError | None:
        """Mark the transaction as lost, unless it is still open at the pool.

        Returns:
            The error for the caller, or None if the statement is a ROLLBACK: the
            loss of the transaction rolled it back as requested.
        """
        if isinstance(exc, RemoteError) and exc.failure.in_transaction:
            return exc
        kind = req.statement.kind
        if session.in_transaction:
            self._dispatcher.end_session(pin.link, session.key)
            session.mark_transaction_lost(exc.message)
        if kind in (Kind.COMMIT, Kind.ROLLBACK):
            session.transaction_loss_reason = ""
        if kind is Kind.ROLLBACK:
            return None
        return _make_loss_error(req, exc)

    def _handle_begin_failure(
        self, session: Session, req: Request, exc: WasabipitchError
    ) -> None:
        """End a transaction that a pool may have begun without sending an answer.

        Raises:
            TransactionLost: If the request is a BEGIN that got no answer.
        """
        if req.statement.kind is Kind.BEGIN and isinstance(exc, LinkLost):
            self._dispatcher.end_session(req.link, session.key)
            session.lost_transaction_count += 1
            raise TransactionLost(f"no answer to BEGIN: {exc.message}") from exc

    def _abandon_transaction(self, session: Session, reason: str) -> None:
        if session.pin is not None:
            self._dispatcher.end_session(session.pin.link, session.key)
            session.mark_transaction_lost(reason)


def _make_loss_error(req: Request, exc: WasabipitchError) -> WasabipitchError:
    """Return the error for a statement that failed together with its transaction.

    A transaction without a commit leaves no effect. Therefore the outcome is in
    doubt only for COMMIT and for a statement that commits implicitly.
    """
    if not isinstance(exc, LinkError):
        return exc
    if req.statement.kind is Kind.COMMIT:
        return InDoubt(f"no answer to COMMIT: {exc.message}")
    if req.statement.commits_implicitly:
        return InDoubt(f"no answer to {req.statement.verb}: {exc.message}")
    return TransactionLost(f"the transaction was rolled back: {exc.message}")
