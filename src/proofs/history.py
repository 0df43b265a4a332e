"""The attempts of callers with their outcomes, and the final database state."""

import enum
import itertools
from dataclasses import dataclass, field


class Work(enum.Enum):
    """The kinds of work that callers attempt."""

    JOB = "job"
    PAYMENT = "payment"
    PAIR = "pair"
    READ_JOBS = "read jobs"
    READ_PAIRS = "read pairs"
    READ_FILLER = "read filler"


class Outcome(enum.Enum):
    """The outcome of an attempt as its caller knows it.

    ``ABORTED`` means that the transaction ended before its COMMIT was sent.
    """

    OK = "ok"
    RAN = "ran"
    NOT_RUN = "not run"
    MAY_HAVE_RUN = "may have run"
    NO_ANSWER = "no answer"
    ABORTED = "aborted"


DURABLE = frozenset({Outcome.OK, Outcome.RAN})
IN_DOUBT = frozenset({Outcome.MAY_HAVE_RUN, Outcome.NO_ANSWER})


@dataclass(frozen=True)
class Attempt:
    """A request or transaction of a caller and its outcome.

    Args:
        session: The caller, also after it moved to another entry.
        work: The kind of work.
        outcome: The outcome as the caller knows it.
        value: The value that a write stores, unique to it; for a read, the session
            whose rows it selects.
        request_id: The request's id, or an empty string.
        seen: The values that a read returned.
        whole: Whether the reply was complete and belonged to this request.
        sent_at_s: The time of sending on the monotonic clock.
        answered_at_s: The time of the reply on the monotonic clock.
        error: The text of the error, or an empty string.
        arrival: How many times the caller has connected without a token.
    """

    session: str
    work: Work
    outcome: Outcome
    value: str = ""
    request_id: str = ""
    seen: tuple[str, ...] = ()
    whole: bool = True
    sent_at_s: float = 0.0
    answered_at_s: float = 0.0
    error: str = ""
    arrival: int = 0


@dataclass(frozen=True)
class FinalState:
    """All rows on the final primary.

    Args:
        jobs: The value of each row of the table of jobs.
        payments: The value of each row of the table of payments.
        pairs: The side and value of each row, such as ``left:value``.
    """

    jobs: tuple[str, ...] = ()
    payments: tuple[str, ...] = ()
    pairs: tuple[str, ...] = ()


@dataclass
class History:
    """The attempts of all callers, in the order in which they ended."""

    attempts: list[Attempt] = field(default_factory=list)

    def add(self, attempt: Attempt) -> None:
        """Add an attempt that has ended."""
        self.attempts.append(attempt)

    def count(self, outcome: Outcome) -> int:
        """Return the number of attempts with an outcome."""
        return sum(a.outcome is outcome for a in self.attempts)

    def longest_write_gap_s(self) -> float:
        """Return the longest time between consecutive acknowledged writes, in seconds.

        Only single-statement writes are counted.
        """
        times = [
            a.answered_at_s
            for a in self.attempts
            if a.outcome is Outcome.OK and a.work in (Work.JOB, Work.PAYMENT)
        ]
        times.sort()
        gaps = [later - earlier for earlier, later in itertools.pairwise(times)]
        return max(gaps, default=0.0)

    def describe(self) -> str:
        """Return the number of attempts with each outcome, as one line."""
        counts = ", ".join(f"{o.value} {self.count(o)}" for o in Outcome)
        return f"{len(self.attempts)} attempts: {counts}"
