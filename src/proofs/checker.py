"""Checks a recorded history and the final state against the guarantees."""

from collections import Counter, defaultdict
from collections.abc import Iterator
from dataclasses import dataclass

from proofs.history import (
    DURABLE,
    IN_DOUBT,
    Attempt,
    FinalState,
    History,
    Outcome,
    Work,
)

SIDES = ("left", "right")
WRITES = (Work.JOB, Work.PAYMENT, Work.PAIR)


@dataclass(frozen=True)
class Violation:
    """A violated guarantee.

    Args:
        rule: The name of the guarantee.
        detail: The session and the data that show the violation.
    """

    rule: str
    detail: str


def check(history: History, state: FinalState) -> list[Violation]:
    """Return all violations of the guarantees."""
    rules = (
        _find_lost_writes(history, state),
        _find_duplicates(state),
        _find_stale_reads(history),
        _find_partial_transactions(history, state),
        _find_false_not_run(history, state),
        _find_wrong_answers(history),
    )
    return [violation for rule in rules for violation in rule]


def describe(violations: list[Violation]) -> str:
    """Return the violations as text, one per line."""
    return "\n".join(f"{v.rule}: {v.detail}" for v in violations)


def _count_values(state: FinalState) -> dict[Work, Counter[str]]:
    left = (p.split(":", 1)[1] for p in state.pairs if p.startswith("left:"))
    return {
        Work.JOB: Counter(state.jobs),
        Work.PAYMENT: Counter(state.payments),
        Work.PAIR: Counter(left),
    }


def _find_lost_writes(history: History, state: FinalState) -> Iterator[Violation]:
    values = _count_values(state)
    for a in history.attempts:
        if a.work in WRITES and a.outcome in DURABLE and not values[a.work][a.value]:
            detail = f"{a.session}: {a.work.value} {a.value} ({a.outcome.value})"
            yield Violation("lost acknowledged write", detail)


def _find_duplicates(state: FinalState) -> Iterator[Violation]:
    for work, values in _count_values(state).items():
        for value, count in values.items():
            if count > 1:
                yield Violation("doubled", f"{work.value} {value}: {count} times")


def _find_stale_reads(history: History) -> Iterator[Violation]:
    """Find reads that lack rows which their session wrote or read before.

    Earlier reads count only until the caller connects again without a token.
    """
    written: dict[tuple[str, Work, str], set[str]] = defaultdict(set)
    shown: dict[tuple[str, Work, str, int], set[str]] = defaultdict(set)
    for a in sorted(history.attempts, key=lambda a: a.answered_at_s):
        if a.work is Work.JOB and a.outcome in DURABLE:
            written[a.session, Work.READ_JOBS, a.session].add(a.value)
        elif a.work is Work.PAIR and a.outcome in DURABLE:
            rows = {f"{side}:{a.value}" for side in SIDES}
            written[a.session, Work.READ_PAIRS, a.session] |= rows
        elif a.work in (Work.READ_JOBS, Work.READ_PAIRS) and a.outcome is Outcome.OK:
            before = shown[a.session, a.work, a.value, a.arrival]
            missing = (written[a.session, a.work, a.value] | before) - set(a.seen)
            if missing:
                detail = f"{a.session}: {a.work.value} lacks {sorted(missing)[:5]}"
                yield Violation("read below own write", detail)
            before.update(a.seen)


def _find_partial_transactions(
    history: History, state: FinalState
) -> Iterator[Violation]:
    aborted = {a.value for a in history.attempts if a.outcome is Outcome.ABORTED}
    reads = [a for a in history.attempts if a.work is Work.READ_PAIRS]
    views = [(f"{a.session} read", a.seen) for a in reads]
    views.append(("final state", state.pairs))
    for where, rows in views:
        by_side = {
            side: Counter(r.split(":", 1)[1] for r in rows if r.startswith(side))
            for side in SIDES
        }
        if by_side["left"] != by_side["right"]:
            halves = set(by_side["left"].items()) ^ set(by_side["right"].items())
            yield Violation("mixed transaction", f"{where}: halves {sorted(halves)}")
        undone = aborted & set(by_side["left"])
        if undone:
            yield Violation("mixed transaction", f"{where}: undone {sorted(undone)}")


def _find_false_not_run(history: History, state: FinalState) -> Iterator[Violation]:
    attempts: dict[tuple[Work, str], list[Attempt]] = defaultdict(list)
    for a in history.attempts:
        if a.work in WRITES:
            attempts[a.work, a.value].append(a)
    values = _count_values(state)
    for (work, value), tries in attempts.items():
        outcomes = {a.outcome for a in tries}
        may_have_taken_effect = outcomes & (DURABLE | IN_DOUBT)
        if (
            Outcome.NOT_RUN in outcomes
            and not may_have_taken_effect
            and values[work][value]
        ):
            yield Violation("untrue NOT_RUN", f"{work.value} {value} took effect")


def _find_wrong_answers(history: History) -> Iterator[Violation]:
    for a in history.attempts:
        if not a.whole:
            detail = f"{a.session}: {a.work.value} {a.value}: {a.error or a.seen[:5]}"
            yield Violation("foreign or partial answer", detail)
