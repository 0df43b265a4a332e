"""The commands of ``wasabipitch-ctl`` that check and change the configuration."""

import asyncio
import dataclasses
import time
import uuid
from dataclasses import dataclass
from pathlib import Path

from wasabipitch import configuration, plans, reports
from wasabipitch.deployment import Deployment, Group, dump, pack, parse
from wasabipitch.envelopes import StoredConfiguration
from wasabipitch.exceptions import SettingsError, StoreConflict, StoreError
from wasabipitch.fleet import FleetState, Silent
from wasabipitch.messages import InstanceState
from wasabipitch.outcomes import (
    EXIT_CONFLICT,
    EXIT_DONE,
    Outcome,
    Session,
    fail_usage,
)
from wasabipitch.plans import Step

POLL_S = 0.25
PRIMARY_ROLE = "primary"
MAX_DRAIN_TRIES = 5


@dataclass(frozen=True, slots=True)
class CheckReport:
    """What ``check`` found in a valid file."""

    name: str
    groups: int
    classes: int
    warnings: tuple[str, ...]


@dataclass(frozen=True, slots=True)
class PlanReport:
    """What ``plan`` shows: the steps from the revision in force."""

    revision: int
    steps: tuple[Step, ...]
    warnings: tuple[str, ...]
    difference: str


@dataclass(frozen=True, slots=True)
class ApplyReport:
    """Where a revision is in force."""

    revision: int
    changed: bool
    processes: int
    behind: tuple[str, ...] = ()
    silent: tuple[Silent, ...] = ()


@dataclass(frozen=True, slots=True)
class ConflictReport:
    """Another operator's change, which came first."""

    error: str
    revision: int
    difference: str
    exit_code: int = EXIT_CONFLICT


def read_file(path: str) -> Deployment:
    """Return the deployment that a file declares.

    Raises:
        SettingsError: naming the file, with every error and its path.
    """
    try:
        return parse(Path(path).read_text(encoding="utf-8"))
    except (OSError, UnicodeDecodeError) as exc:
        raise SettingsError(f"can't read {path}: {exc}") from exc
    except SettingsError as exc:
        raise SettingsError(f"{path}:\n{exc.message}") from exc


async def check(session: Session, path: str) -> Outcome:
    """Check a file."""
    try:
        deployment = read_file(path)
    except SettingsError as exc:
        return fail_usage(exc)
    warnings = plans.find_warnings(deployment)
    report = CheckReport(
        deployment.name, len(deployment.groups), len(deployment.classes), warnings
    )
    lines = [
        f"{path}: valid; deployment {report.name}, {report.groups} groups, "
        f"{report.classes} request classes",
        *(f"warning: {warning}" for warning in warnings),
    ]
    return Outcome(EXIT_DONE, "\n".join(lines), report)


async def plan(session: Session, path: str) -> Outcome:
    """Show the steps from the configuration in force to a file."""
    try:
        wanted = read_file(path)
    except SettingsError as exc:
        return fail_usage(exc)
    current = await session.read_current()
    in_force = parse(current.document) if current.document else None
    steps = plans.plan_change(in_force, wanted)
    warnings = plans.find_warnings(wanted)
    names = (f"revision {current.revision}", path)
    difference = plans.diff_documents(current.document, dump(wanted), names)
    report = PlanReport(current.revision, steps, warnings, difference)
    text = (
        f"from revision {current.revision} (apply with --expect {current.revision}):\n"
        + reports.render_plan(steps, warnings)
    )
    return Outcome(EXIT_DONE, text, report)


async def apply(session: Session, path: str, expect: int, author: str) -> Outcome:
    """Put a file in force by compare-and-swap."""
    try:
        wanted = read_file(path)
    except SettingsError as exc:
        return fail_usage(exc)
    base = await session.read_current()
    if expect < 0:
        expect = base.revision
    try:
        revision = await _put(session, wanted, expect, author)
    except StoreConflict as exc:
        return describe_conflict(exc, base, expect, wanted)
    return await follow_revision(session, revision, revision != base.revision)


async def _put(session: Session, wanted: Deployment, expect: int, author: str) -> int:
    return await configuration.apply(
        session.store,
        session.options.key,
        pack(wanted),
        expect,
        uuid.uuid4().hex,
        author,
        timeout_s=session.options.timeout_s,
    )


def describe_conflict(
    exc: StoreConflict, base: StoredConfiguration, expect: int, wanted: Deployment
) -> Outcome:
    """Return the outcome of a change that another one came before.

    The difference starts from the revision that the change was made from; if
    that is no longer known, from the operator's own file.
    """
    if base.revision == expect:
        before, name = base.document, f"revision {expect}"
    else:
        before, name = dump(wanted), "your file"
    names = (name, f"revision {exc.revision}")
    difference = plans.diff_documents(before, exc.value, names)
    text = f"conflict: {exc.message}; nothing was changed\n{difference}"
    report = ConflictReport(exc.message, exc.revision, difference)
    return Outcome(EXIT_CONFLICT, text, report)


async def follow_revision(session: Session, revision: int, changed: bool) -> Outcome:
    """Wait until a revision is in force on every process, and say on how many.

    Args:
        session: the command's.
        revision: the accepted revision.
        changed: whether this command wrote it.
    """
    deadline_s = time.monotonic() + session.options.timeout_s
    while True:
        try:
            state = await session.fleet.ask_status()
        except StoreError as exc:
            text = f"revision {revision} is accepted; can't ask the processes: "
            report = ApplyReport(revision, changed, 0)
            return Outcome(EXIT_DONE, text + exc.message, report)
        behind = tuple(p.host.name for p in state.behind(revision))
        waiting = behind or state.silent
        if not waiting or time.monotonic() > deadline_s:
            having = len(state.processes) - len(behind)
            report = ApplyReport(revision, changed, having, behind, state.silent)
            title = "in force" if changed else "in force already"
            text = f"{title}; {reports.render_revision(state, revision)}"
            return Outcome(EXIT_DONE, text, report)
        session.say(
            f"revision {revision} is accepted; waiting for "
            f"{len(behind) + len(state.silent)} processes"
        )
        await asyncio.sleep(POLL_S)


@dataclass(frozen=True, slots=True)
class DrainReport:
    """How far a drain has come.

    Args:
        waiting: what it still waits for; empty once it has finished.
    """

    revision: int
    target: str
    leaving: bool
    waiting: str


async def drain(session: Session, target: str, undo: bool, author: str) -> Outcome:
    """Declare that an instance leaves, and wait for its work to finish.

    Another operator's change in between is kept: the declaration is made again
    on top of it.
    """
    for tries_left in reversed(range(MAX_DRAIN_TRIES)):
        base = await session.read_current()
        try:
            wanted = set_leaving(base, target, not undo)
        except SettingsError as exc:
            return fail_usage(exc)
        try:
            revision = await _put(session, wanted, base.revision, author)
            break
        except StoreConflict as exc:
            if not tries_left:
                return describe_conflict(exc, base, base.revision, wanted)
    if undo:
        report = DrainReport(revision, target, False, "")
        text = f"{target} gets work again, from revision {revision} on"
        return Outcome(EXIT_DONE, text, report)
    waiting = await _wait_drained(session, target)
    report = DrainReport(revision, target, True, waiting)
    text = f"{target} gets no new work, from revision {revision} on; "
    text += f"still waiting: {waiting}" if waiting else "its work has finished"
    return Outcome(EXIT_DONE, text, report)


def set_leaving(base: StoredConfiguration, target: str, leaving: bool) -> Deployment:
    """Return the stored deployment with one instance's ``leaving`` changed.

    Raises:
        SettingsError: if no such instance is declared.
    """
    if not base.document:
        raise SettingsError("no configuration is in force")
    deployment = parse(base.document)
    groups = [_set_group_leaving(g, target, leaving) for g in deployment.groups]
    if not any(i.name == target for g in groups for i in g.instances):
        raise SettingsError(f"instance {target!r} is not declared")
    return dataclasses.replace(deployment, groups=tuple(groups))


def _set_group_leaving(group: Group, target: str, leaving: bool) -> Group:
    instances = tuple(
        dataclasses.replace(i, leaving=leaving) if i.name == target else i
        for i in group.instances
    )
    return dataclasses.replace(group, instances=instances)


async def _wait_drained(session: Session, target: str) -> str:
    """Wait until an instance has no work; return what is still waited for."""
    deadline_s = time.monotonic() + session.options.timeout_s
    while True:
        waiting = _describe_waiting(await session.fleet.ask_status(), target)
        if not waiting or time.monotonic() > deadline_s:
            return waiting
        session.say(f"{target}: waiting: {waiting}")
        await asyncio.sleep(POLL_S)


def _describe_waiting(state: FleetState, target: str) -> str:
    views = _find_views(state, target)
    if not views:
        return "no pool reports this instance"
    if not all(view.leaving for view in views):
        return "its owners have not taken the change yet"
    if views[0].role == PRIMARY_ROLE and views[0].reachable:
        return "it is the primary until a replica has taken over"
    if views[0].running:
        return f"{views[0].running} statements are running"
    return ""


def _find_views(state: FleetState, target: str) -> list[InstanceState]:
    """Return what each pool says of an instance, the first owner first."""
    groups = sorted(
        (g for p in state.processes for g in p.groups), key=lambda g: g.rank
    )
    return [i for g in groups for i in g.instances if i.name == target]
