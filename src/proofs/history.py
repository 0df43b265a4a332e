"""What callers asked and were told, and what the database holds in the end."""

import enum
import itertools
from dataclasses import dataclass, field


class Work(enum.Enum):
    """What an attempt does."""

    JOB = "job"
    PAYMENT = "payment"
    PAIR = "pair"
    READ_JOBS = "read jobs"
    READ_PAIRS = "read pairs"
    READ_FILLER = "read filler"


class Outcome(enum.Enum):
    """What the caller learnt of an attempt.

    ``ABORTED`` is a transaction that ended before its COMMIT was sent.
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
    """One request of a caller and its outcome.

    Args:
        session: the caller; it stays the same when the caller roams.
        value: unique to the piece of work; of a read, whose rows it asks for.
        request_id: the request's id, or empty.
        seen: the values that a read returned.
        whole: whether the answer was complete and belonged to this request.
        sent_at_s: on the recorder's monotonic clock, as is ``answered_at_s``.
        error: the text of the error, or empty.
        arrival: counts the times that the caller arrived without a token.
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
        jobs: the value of each row; ``payments`` likewise.
        pairs: the side and value of each row, as ``left:value``.
    """

    jobs: tuple[str, ...] = ()
    payments: tuple[str, ...] = ()
    pairs: tuple[str, ...] = ()


@dataclass
class History:
    """The attempts of all callers, in the order of their ends."""

    attempts: list[Attempt] = field(default_factory=list)

    def add(self, attempt: Attempt) -> None:
        """Keep an attempt that has ended."""
        self.attempts.append(attempt)

    def count(self, outcome: Outcome) -> int:
        """Return how many attempts had an outcome."""
        return sum(a.outcome is outcome for a in self.attempts)

    def longest_write_gap_s(self) -> float:
        """Return the longest time between two acknowledged writes."""
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
