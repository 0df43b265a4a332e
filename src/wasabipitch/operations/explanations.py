"""Explains from saved logs what happened to a request, and why."""

from collections.abc import Iterable, Sequence
from dataclasses import dataclass
from datetime import datetime, timedelta

from wasabipitch.operations.savedlogs import LogLine

# State changes longer before a request than this seldom affected it, since the time
# limit of a request is shorter.
CONTEXT_WINDOW_S = 10.0
TIME_FORMAT = "%Y-%m-%d %H:%M:%S,%f"

FAILOVER_EVENTS = frozenset(
    {
        "group record",
        "primary doubted",
        "replacing the primary",
        "primary relinquished",
        "no successor yet",
        "successor chosen",
        "promotion refused",
        "promotion unanswered",
        "primary settled",
    }
)
INSTANCE_EVENTS = frozenset(
    {
        "instance registered",
        "instance gone",
        "instance unreachable",
        "instance reachable",
    }
)
STORE_EVENTS = frozenset(
    {
        "store reachable",
        "store unreachable",
        "store reached through peers",
        "store reached itself",
        "store history lost",
        "store restored",
        "records read",
    }
)
LIFECYCLE_EVENTS = frozenset({"started", "stopping", "stopped"})


@dataclass(frozen=True, slots=True)
class Explanation:
    """What the logs show about one request.

    Args:
        request: The id of the request.
        steps: The log lines of the request, sorted by time.
        context: The state changes of hosts that may have affected the request,
            sorted by time.
        cause: The earliest cause that the logs show, as a sentence.
    """

    request: str
    steps: tuple[LogLine, ...]
    context: tuple[LogLine, ...]
    cause: str


def explain(lines: Iterable[LogLine], request: str) -> Explanation:
    """Return what saved logs show about a request.

    Args:
        lines: The log lines of all hosts, in any order.
        request: The id of the request.
    """
    state_changes: list[LogLine] = []
    steps: list[LogLine] = []
    for line in lines:
        if line.fields.get("request") == request:
            steps.append(line)
        elif line.level == "WARNING":
            state_changes.append(line)
    steps.sort(key=lambda line: line.time)
    context = tuple(_select_context(state_changes, steps))
    return Explanation(request, tuple(steps), context, _find_cause(steps, context))


def _select_context(
    state_changes: Sequence[LogLine], steps: Sequence[LogLine]
) -> list[LogLine]:
    if not steps:
        return []
    until = steps[-1].time
    since = _shift_time(steps[0].time, -CONTEXT_WINDOW_S)
    groups = {step.fields.get("group") for step in steps} - {None}
    hosts = {step.host for step in steps}
    found = [
        line
        for line in state_changes
        if since <= line.time <= until and _is_relevant(line, groups, hosts)
    ]
    return sorted(found, key=lambda line: line.time)


def _is_relevant(line: LogLine, groups: set, hosts: set[str]) -> bool:
    if line.event in FAILOVER_EVENTS | INSTANCE_EVENTS:
        return line.fields.get("group") in groups
    return line.host in hosts or line.event in LIFECYCLE_EVENTS


def _shift_time(time: str, seconds: float) -> str:
    try:
        moment = datetime.strptime(time, TIME_FORMAT)
    except ValueError:
        return ""
    return (moment + timedelta(seconds=seconds)).strftime(TIME_FORMAT)[:-3]


def _find_cause(steps: Sequence[LogLine], context: Sequence[LogLine]) -> str:
    if not steps:
        return "no log line mentions it: it succeeded, or its host's log is missing"
    last = steps[-1]
    if last.event == "request late":
        return _explain_lag(last, context)
    reason = str(last.fields.get("reason", ""))
    for words, find in _CAUSE_EXPLAINERS:
        if words in reason:
            return find(last, context) or reason
    return _explain_failover(last, context) or reason or last.event


def _explain_failover(last: LogLine, context: Sequence[LogLine]) -> str:
    replacement = _first(context, "replacing the primary")
    if replacement is None:
        suspected = _first(context, "primary doubted")
        if suspected is None:
            return ""
        return (
            f"{suspected.host} suspected primary {suspected.fields.get('primary')}: "
            f"{suspected.fields.get('reason')}; no host has begun to replace it"
        )
    text = (
        f"{replacement.host} began to replace primary "
        f"{replacement.fields.get('primary')}: "
        f"{replacement.fields.get('reason')}"
    )
    suspected = _first(context, "primary doubted")
    if suspected is not None:
        text += (
            f" (first suspected by {suspected.host}: {suspected.fields.get('reason')})"
        )
    waiting = _first(context, "no successor yet")
    if waiting is not None:
        text += f"; it was delayed: {waiting.fields.get('reason')}"
    return text


def _explain_unconfirmed(last: LogLine, context: Sequence[LogLine]) -> str:
    lost = _last(context, "store unreachable", last.host)
    if lost is None:
        return ""
    relayed = _last(context, "store reached through peers", last.host)
    by_peers = (
        ""
        if relayed is None
        else f", and reached it through peers from {relayed.time} on"
    )
    return (
        f"{last.host} got no answer from the store after {lost.time}"
        f" ({lost.fields.get('reason')}){by_peers}"
    )


def _explain_instance(last: LogLine, context: Sequence[LogLine]) -> str:
    lost = _first(context, "instance unreachable")
    replaced = _explain_failover(last, context)
    if lost is None:
        return replaced
    text = f"instance {lost.fields.get('instance')}: {lost.fields.get('reason')}"
    return f"{text}; {replaced}" if replaced else text


def _explain_lag(last: LogLine, context: Sequence[LogLine]) -> str:
    lagging = last.fields.get("lagging")
    if lagging:
        found = _explain_failover(last, context)
        text = f"instances {lagging} lagged, so that other instances served the reads"
        return f"{text}; {found}" if found else text
    line_s, run_s = last.fields.get("in_line_s"), last.fields.get("ran_s")
    known = isinstance(line_s, int | float) and isinstance(run_s, int | float)
    if known and line_s > run_s:
        return _explain_load(last, context)
    return f"instance {last.fields.get('instance')} took {run_s} s to answer"


def _explain_load(last: LogLine, context: Sequence[LogLine]) -> str:
    found = _explain_instance(last, context)
    load = "the group's instances got more work than they can serve in time"
    return f"{load}, while {found}" if found else load


def _explain_unproven(last: LogLine, context: Sequence[LogLine]) -> str:
    age_s, version = last.fields.get("proof_age_s"), last.fields.get("version")
    text = f"{last.host} had configuration {version}, which was "
    if age_s is None:
        text += "not known to be current since its start"
    else:
        text += f"last known to be current {age_s} s before"
    found = _explain_unconfirmed(last, context)
    return f"{text}; {found}" if found else text


def _explain_key(last: LogLine, context: Sequence[LogLine]) -> str:
    account, version = last.fields.get("account"), last.fields.get("version")
    in_force = _last(context, "configuration in force", last.host)
    text = f"the caller's key belongs to no account in configuration {version}"
    if account:
        text = (
            f"the caller's key belongs to account {account} in configuration {version},"
            " and to another one when the transaction began"
        )
    if in_force is None or in_force.fields.get("version") != version:
        return text
    return f"{text}, which {last.host} put in force at {in_force.time}"


def _first(lines: Sequence[LogLine], event: str) -> LogLine | None:
    return next((line for line in lines if line.event == event), None)


def _last(lines: Sequence[LogLine], event: str, host: str) -> LogLine | None:
    found = [line for line in lines if line.event == event and line.host == host]
    return found[-1] if found else None


# The first pair whose text is part of a failure's reason explains the failure.
_CAUSE_EXPLAINERS = (
    ("not known to be current", _explain_unproven),
    ("key is not known", _explain_key),
    ("key no longer belongs", _explain_key),
    ("not confirmed in time", _explain_unconfirmed),
    ("has no primary", _explain_failover),
    ("primary was replaced", _explain_failover),
    ("connection", _explain_instance),
    ("no answer of", _explain_instance),
    ("expected wait", _explain_load),
    ("wait already", _explain_load),
    ("became free", _explain_load),
    ("no time is left", _explain_load),
    ("no instance may serve", _explain_instance),
)


def render(explanation: Explanation) -> str:
    """Return an explanation as text, with one line for each log line."""
    lines = [f"request {explanation.request}"]
    lines += [f"  {_render_line(step)}" for step in explanation.steps]
    if explanation.context:
        lines.append("state changes of hosts before it:")
        lines += [f"  {_render_line(line)}" for line in explanation.context]
    lines.append(f"first cause: {explanation.cause}")
    return "\n".join(lines)


def _render_line(line: LogLine) -> str:
    fields = "  ".join(
        f"{name}={value}" for name, value in line.fields.items() if name != "request"
    )
    return f"{line.time}  {line.host}  {line.event}  {fields}".rstrip()
