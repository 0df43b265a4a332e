"""Requests to pools, and their admission by the configuration in force."""

import asyncio
from dataclasses import dataclass, field

from wasabipitch.deployment import DEFAULT_CLASS, Deployment, RequestClass
from wasabipitch.exceptions import Refused, UnknownClass, UnknownGroup
from wasabipitch.links import Link
from wasabipitch.messages import Execute, Kind
from wasabipitch.models import Position
from wasabipitch.sessions import Session
from wasabipitch.statements import Statement, fingerprint

ER_NO_DB = 1046


@dataclass(slots=True)
class Request:
    """A statement of a session that is sent to a pool, perhaps several times.

    Args:
        group: The name of the database group that the statement is for.
        session: The identifier under which pools know the session.
        statement: The statement and its classification.
        request_class: The name of the request's class; empty for the default class.
        deadline_at_s: The time at which the caller stops waiting, in seconds on the
            event loop's clock.
        floor: The lowest position that a read must see, or None.
        in_transaction: Whether the statement belongs to an open transaction.
        in_doubt: Whether an earlier attempt got no answer and may have run.
        link: The link of the last attempt.
        generation: The connection count of that link at the last attempt.
    """

    group: str
    session: str
    statement: Statement
    request_class: str
    deadline_at_s: float
    floor: Position | None = None
    in_transaction: bool = False
    in_doubt: bool = False
    link: Link | None = None
    generation: int = 0

    @property
    def left_s(self) -> float:
        """The time left until the deadline, in seconds; negative after it."""
        return self.deadline_at_s - asyncio.get_running_loop().time()

    @property
    def retryable(self) -> bool:
        """Whether the request may be sent again after an unanswered attempt."""
        if self.statement.kind is Kind.READ:
            return True
        if not self.statement.hints.request_id:
            return False
        kind = self.statement.kind
        # A COMMIT in doubt asks a pool for its outcome, which is safe to repeat.
        return kind is Kind.WRITE or (kind is Kind.COMMIT and self.in_doubt)

    def to_message(self) -> Execute:
        """Return the message to a pool, with the time that is left at this moment."""
        return Execute(
            group=self.group,
            session=self.session,
            statement=self.statement.text,
            kind=self.statement.kind,
            request_class=self.request_class,
            request_id=self.statement.hints.request_id,
            deadline_ms=max(1, int(self.left_s * 1000)),
            floor=self.floor,
            in_transaction=self.in_transaction,
            in_doubt=self.in_doubt,
        )


@dataclass(frozen=True)
class Catalogue:
    """An index of the groups and request classes of a configuration.

    Args:
        groups: The names of the declared groups.
        classes: The declared request classes, by name.
        class_by_fingerprint: The class name of each statement that a class declares,
            by the statement's fingerprint.
    """

    groups: frozenset[str] = frozenset()
    classes: dict[str, RequestClass] = field(default_factory=dict)
    class_by_fingerprint: dict[str, str] = field(default_factory=dict)

    @classmethod
    def build(cls, deployment: Deployment) -> "Catalogue":
        """Build the catalogue of a deployment."""
        classes = {DEFAULT_CLASS: RequestClass(name=DEFAULT_CLASS)}
        classes |= {c.name: c for c in deployment.classes}
        class_by_fingerprint = {
            fingerprint(text): c.name
            for c in deployment.classes
            for text in c.statements
        }
        return cls(
            frozenset(g.name for g in deployment.groups), classes, class_by_fingerprint
        )

    def check_group(self, name: str) -> None:
        """Check that a group of that name is declared.

        Raises:
            Refused: If it is not, or if no configuration is in force yet.
        """
        if not self.groups:
            raise Refused("no configuration is in force yet")
        if name not in self.groups:
            raise UnknownGroup(f"unknown database {name!r}: no such group is declared")

    def find_class(self, statement: Statement) -> RequestClass:
        """Return the request class of a statement.

        The class is the one that the statement's hint names; else the one that
        declares a statement with the same fingerprint; else the default class.

        Raises:
            UnknownClass: If the hint names a class that is not declared.
        """
        name = statement.hints.request_class
        if not name and self.class_by_fingerprint:
            name = self.class_by_fingerprint.get(fingerprint(statement.text), "")
        try:
            return self.classes[name or DEFAULT_CLASS]
        except KeyError:
            raise UnknownClass(f"request class {name!r} is not declared") from None

    def admit(self, session: Session, statement: Statement) -> Request:
        """Return the request for a session's statement.

        Raises:
            Refused: If no database is selected, the group or the class is not
                declared, or a write of a non-idempotent class has no request id.
        """
        if not session.group:
            raise Refused("no database is selected", code=ER_NO_DB)
        if session.pin is None:
            self.check_group(session.group)
        request_class = self.find_class(statement)
        hints = statement.hints
        request_id = hints.request_id or session.transaction_id
        if (
            statement.kind is Kind.WRITE
            and not request_class.idempotent
            and not request_id
        ):
            raise Refused(
                f"class {request_class.name!r} is non-idempotent: its writes need"
                " a request id, such as /* wasabipitch: id=... */"
            )
        timeout_s = (
            hints.deadline_ms / 1000 if hints.deadline_ms else request_class.deadline_s
        )
        return Request(
            group=session.group,
            session=session.key,
            statement=statement,
            request_class=""
            if request_class.name == DEFAULT_CLASS
            else request_class.name,
            deadline_at_s=asyncio.get_running_loop().time() + timeout_s,
            floor=session.floors.get(session.group),
        )
