"""Renders the reports of ``wasabipitch-ctl`` as text."""

import datetime
from collections.abc import Iterable, Sequence

from wasabipitch.events import LOGICAL_BITS
from wasabipitch.fleet import FleetEvents, FleetState, UnresponsiveProcess
from wasabipitch.messages import Event, GroupState, InstanceState
from wasabipitch.plans import Step

MAX_LISTED_NAMES = 8
MS_PER_S = 1000


def render_table(header: Sequence[str], rows: Iterable[Sequence[object]]) -> str:
    """Return a text table with aligned columns under a header."""
    lines = [list(header), *([str(cell) for cell in row] for row in rows)]
    widths = [max(len(line[i]) for line in lines) for i in range(len(header))]
    return "\n".join(
        "  ".join(cell.ljust(w) for cell, w in zip(line, widths, strict=True)).rstrip()
        for line in lines
    )


def render_plan(steps: Sequence[Step], warnings: Sequence[str]) -> str:
    """Return the steps of a configuration change and the warnings as text."""
    lines = []
    for step in steps:
        lines.append(f"{step.subject}: {step.change}")
        lines += [f"    {detail}" for detail in step.details]
        lines.append(f"    effect: {step.effect}")
    if not steps:
        lines.append("no change")
    lines += [f"warning: {warning}" for warning in warnings]
    return "\n".join(lines)


def render_status(state: FleetState, accepted: int) -> str:
    """Return the state of all processes, groups and instances as text.

    Args:
        state: The answers of the processes.
        accepted: The configuration's revision in the store, or 0 if it could not be
            read.
    """
    newest = max([accepted, *(p.revision for p in state.processes)])
    parts = [render_revision(state, newest)]
    if not accepted:
        parts.append("  (the store did not say which revision it holds)")
    rows = [
        (
            p.host.name,
            p.host.data_centre,
            p.revision,
            p.sessions,
            f"{p.uptime_s:.0f} s",
            "stopping" if p.stopping else "live",
        )
        for p in state.processes
    ]
    header = ("process", "data centre", "revision", "sessions", "up", "state")
    parts.append(render_table(header, rows))
    names = sorted({g.name for p in state.processes for g in p.groups})
    parts += [_render_group(state.group_states(name), state) for name in names]
    return "\n\n".join(parts)


def render_revision(state: FleetState, revision: int) -> str:
    """Return the number of processes that have a revision, and those that lack it."""
    behind = state.behind(revision)
    total = len(state.processes) + len(state.silent)
    up_to_date = len(state.processes) - len(behind)
    lines = [f"configuration revision {revision}: on {up_to_date} of {total} processes"]
    if behind:
        names = [f"{p.host.name} (revision {p.revision})" for p in behind]
        lines.append(f"  behind: {_join_names(names)}")
    lines += render_unresponsive(state.silent)
    return "\n".join(lines)


def render_unresponsive(silent: Sequence[UnresponsiveProcess]) -> list[str]:
    """Return a line for each process that did not answer."""
    return [f"  no answer: {s.host}: {s.reason}" for s in silent]


def render_events(found: FleetEvents) -> str:
    """Return the timeline with one event on each line."""
    lines = [_render_event(event) for event in found.events]
    lines += render_unresponsive(found.silent)
    return "\n".join(lines)


def _render_event(event: Event) -> str:
    wall_ms, counter = divmod(event.clock, 1 << LOGICAL_BITS)
    timestamp = datetime.datetime.fromtimestamp(wall_ms / MS_PER_S, datetime.UTC)
    fields = [
        f"{timestamp:%Y-%m-%dT%H:%M:%S}.{wall_ms % MS_PER_S:03}Z+{counter}",
        event.host,
        event.kind,
    ]
    field_names = ("group", "session", "request", "term", "detail")
    fields += [f"{n}={getattr(event, n)}" for n in field_names if getattr(event, n)]
    return "  ".join(fields)


def _render_group(states: Sequence[GroupState], fleet: FleetState) -> str:
    owner_state = states[0]
    owners = [p.host.name for p in fleet.serving_pools(owner_state.name)]
    title = (
        f"group {owner_state.name}: primary {owner_state.primary or 'none'}, "
        f"term {owner_state.term}, served by {', '.join(owners)}; "
        f"{owner_state.slots} slots, {owner_state.running} running, "
        f"{owner_state.queued} queued"
    )
    lines = [title]
    if owner_state.activity:
        lines.append(f"  {owner_state.activity}")
    conflicting = [
        s
        for s in states[1:]
        if (s.primary, s.term) != (owner_state.primary, owner_state.term)
    ]
    lines += [
        f"  another pool says: primary {s.primary or 'none'}, term {s.term}"
        for s in conflicting
    ]
    header = (
        "instance",
        "data centre",
        "role",
        "term",
        "position",
        "behind",
        "age",
        "running",
        "connections",
        "state",
    )
    table = render_table(header, [_make_instance_row(i) for i in owner_state.instances])
    lines += [f"  {line}" for line in table.splitlines()]
    return "\n".join(lines)


def _make_instance_row(instance: InstanceState) -> tuple[object, ...]:
    return (
        instance.name,
        instance.data_centre,
        instance.role,
        instance.term,
        instance.position,
        instance.lag_entries,
        f"{instance.age_ms} ms" if instance.age_ms >= 0 else "unknown",
        instance.running,
        instance.connections,
        _describe_state(instance),
    )


def _describe_state(instance: InstanceState) -> str:
    if not instance.reachable:
        return "unreachable"
    labels = []
    if not instance.member:
        labels.append("no member yet")
    if instance.leaving:
        labels.append("leaving")
    return ", ".join(labels) or "live"


def _join_names(names: Sequence[str]) -> str:
    omitted = len(names) - MAX_LISTED_NAMES
    shown = ", ".join(names[:MAX_LISTED_NAMES])
    return f"{shown} and {omitted} more" if omitted > 0 else shown
