"""The commands of ``wasabipitch-ctl`` that check and change the configuration."""

import asyncio
import dataclasses
import time
import uuid
from dataclasses import dataclass
from pathlib import Path

from wasabipitch import configuration, plans, reports
from wasabipitch.deployment import Deployment, Group, dump, dump_json, parse
from wasabipitch.envelopes import StoredConfiguration
from wasabipitch.exceptions import SettingsError, StoreConflict, StoreError
from wasabipitch.fleet import FleetState, UnresponsiveProcess
from wasabipitch.messages import InstanceState
from wasabipitch.outcomes import (
    EXIT_CONFLICT,
    EXIT_DONE,
    CommandSession,
    Outcome,
    describe_usage_error,
)
from wasabipitch.plans import Step

POLL_INTERVAL_S = 0.25
PRIMARY_ROLE = "primary"
MAX_DRAIN_ATTEMPTS = 5


@dataclass(frozen=True, slots=True)
class CheckReport:
    """The result of ``check`` for a valid file.

    Args:
        name: The deployment's name.
        groups: The number of declared groups.
        classes: The number of declared request classes.
        warnings: The parts that are valid but probably unintended.
    """

    name: str
    groups: int
    classes: int
    warnings: tuple[str, ...]


@dataclass(frozen=True, slots=True)
class PlanReport:
    """The result of ``plan``.

    Args:
        revision: The revision in force, from which the steps start.
        steps: The steps from that revision to the file.
        warnings: The parts of the file that are valid but probably unintended.
        difference: A unified diff of the two documents.
    """

    revision: int
    steps: tuple[Step, ...]
    warnings: tuple[str, ...]
    difference: str


@dataclass(frozen=True, slots=True)
class ApplyReport:
    """The result of ``apply``: the processes on which a revision is in force.

    Args:
        revision: The accepted revision.
        changed: Whether the command changed the configuration.
        processes: The number of processes on which the revision is in force.
        behind: The names of the processes that have an older revision.
        silent: The processes that did not answer.
    """

    revision: int
    changed: bool
    processes: int
    behind: tuple[str, ...] = ()
    silent: tuple[UnresponsiveProcess, ...] = ()


@dataclass(frozen=True, slots=True)
class ConflictReport:
    """The change of another operator, which was applied first.

    Args:
        error: The error message.
        revision: The revision in force.
        difference: A unified diff that ends at the document in force.
        exit_code: The exit code of the command.
    """

    error: str
    revision: int
    difference: str
    exit_code: int = EXIT_CONFLICT


def read_file(path: str) -> Deployment:
    """Return the deployment that a file declares.

    Raises:
        SettingsError: The file can't be read or is invalid. The message names the
            file and has one line for each error, with its path.
    """
    try:
        return parse(Path(path).read_text(encoding="utf-8"))
    except (OSError, UnicodeDecodeError) as exc:
        raise SettingsError(f"can't read {path}: {exc}") from exc
    except SettingsError as exc:
        raise SettingsError(f"{path}:\n{exc.message}") from exc


async def check(session: CommandSession, path: str) -> Outcome:
    """Check a configuration file and report its warnings."""
    try:
        deployment = read_file(path)
    except SettingsError as exc:
        return describe_usage_error(exc)
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


async def plan(session: CommandSession, path: str) -> Outcome:
    """Report the steps that lead from the configuration in force to a file."""
    try:
        desired = read_file(path)
    except SettingsError as exc:
        return describe_usage_error(exc)
    current = await session.read_configuration()
    in_force = parse(current.document) if current.document else None
    steps = plans.plan_change(in_force, desired)
    warnings = plans.find_warnings(desired)
    names = (f"revision {current.revision}", path)
    difference = plans.diff_documents(current.document, dump(desired), names)
    report = PlanReport(current.revision, steps, warnings, difference)
    text = (
        f"from revision {current.revision} (apply with --expect {current.revision}):\n"
        + reports.render_plan(steps, warnings)
    )
    return Outcome(EXIT_DONE, text, report)


async def apply(
    session: CommandSession, path: str, expect: int, author: str
) -> Outcome:
    """Put a file in force by compare-and-swap and wait for the processes.

    Args:
        session: The operator's command session.
        path: The path of the YAML file.
        expect: The revision that must be in force, or a negative number for the one
            in force when the command starts.
        author: The author of the change.
    """
    try:
        desired = read_file(path)
    except SettingsError as exc:
        return describe_usage_error(exc)
    base = await session.read_configuration()
    if expect < 0:
        expect = base.revision
    try:
        revision = await _write_configuration(session, desired, expect, author)
    except StoreConflict as exc:
        return describe_conflict(exc, base, expect, desired)
    return await wait_for_revision(session, revision, revision != base.revision)


async def _write_configuration(
    session: CommandSession, desired: Deployment, expect: int, author: str
) -> int:
    return await configuration.apply(
        session.store,
        session.options.key,
        dump_json(desired),
        expect,
        uuid.uuid4().hex,
        author,
        timeout_s=session.options.timeout_s,
    )


def describe_conflict(
    exc: StoreConflict, base: StoredConfiguration, expect: int, desired: Deployment
) -> Outcome:
    """Return the outcome of a change that conflicts with an earlier one.

    The outcome holds a diff that ends at the document in force. It starts at the
    revision that the change was made from. If the document of that revision is not
    known, it starts at the operator's own file.

    Args:
        exc: The conflict, with the revision and the document in force.
        base: The configuration that was in force when the command started.
        expect: The revision that the change was made from.
        desired: The operator's own deployment.
    """
    if base.revision == expect:
        before, name = base.document, f"revision {expect}"
    else:
        before, name = dump(desired), "your file"
    names = (name, f"revision {exc.revision}")
    difference = plans.diff_documents(before, exc.value, names)
    text = f"conflict: {exc.message}; nothing was changed\n{difference}"
    report = ConflictReport(exc.message, exc.revision, difference)
    return Outcome(EXIT_CONFLICT, text, report)


async def wait_for_revision(
    session: CommandSession, revision: int, changed: bool
) -> Outcome:
    """Wait until a revision is in force on every process and report the result.

    After the session's timeout, the outcome lists the processes that are behind or
    did not answer. The exit code is 0 in any case, since the revision is accepted.

    Args:
        session: The operator's command session.
        revision: The accepted revision.
        changed: Whether this command changed the configuration.
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
            up_to_date = len(state.processes) - len(behind)
            report = ApplyReport(revision, changed, up_to_date, behind, state.silent)
            title = "in force" if changed else "in force already"
            text = f"{title}; {reports.render_revision(state, revision)}"
            return Outcome(EXIT_DONE, text, report)
        session.print_progress(
            f"revision {revision} is accepted; waiting for "
            f"{len(behind) + len(state.silent)} processes"
        )
        await asyncio.sleep(POLL_INTERVAL_S)


@dataclass(frozen=True, slots=True)
class DrainReport:
    """The result of ``drain``.

    Args:
        revision: The revision that declares the change.
        target: The instance's name.
        leaving: Whether the instance is now declared as leaving.
        waiting: The reason why the drain has not finished, or an empty string if it
            has.
    """

    revision: int
    target: str
    leaving: bool
    waiting: str


async def drain(
    session: CommandSession, target: str, undo: bool, author: str
) -> Outcome:
    """Declare an instance as leaving and wait until its work has finished.

    If another operator changes the configuration meanwhile, the declaration is made
    again from the new revision, so that neither change is lost. After
    ``MAX_DRAIN_ATTEMPTS`` conflicts the outcome is the last conflict.

    Args:
        session: The operator's command session.
        target: The instance's name.
        undo: Whether to declare the instance as not leaving instead.
        author: The author of the change.
    """
    for attempts_left in reversed(range(MAX_DRAIN_ATTEMPTS)):
        base = await session.read_configuration()
        try:
            desired = set_leaving(base, target, not undo)
        except SettingsError as exc:
            return describe_usage_error(exc)
        try:
            revision = await _write_configuration(
                session, desired, base.revision, author
            )
            break
        except StoreConflict as exc:
            if not attempts_left:
                return describe_conflict(exc, base, base.revision, desired)
    if undo:
        report = DrainReport(revision, target, False, "")
        text = f"{target} gets work again, from revision {revision} on"
        return Outcome(EXIT_DONE, text, report)
    waiting = await _wait_until_drained(session, target)
    report = DrainReport(revision, target, True, waiting)
    text = f"{target} gets no new work, from revision {revision} on; "
    text += f"still waiting: {waiting}" if waiting else "its work has finished"
    return Outcome(EXIT_DONE, text, report)


def set_leaving(base: StoredConfiguration, target: str, leaving: bool) -> Deployment:
    """Return the stored deployment with one instance's ``leaving`` changed.

    Raises:
        SettingsError: No configuration is in force, or it declares no instance of
            that name.
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


async def _wait_until_drained(session: CommandSession, target: str) -> str:
    """Wait until an instance has no work left.

    Returns:
        An empty string, or after the session's timeout, the reason why the drain has
        not finished.
    """
    deadline_s = time.monotonic() + session.options.timeout_s
    while True:
        waiting = _describe_waiting(await session.fleet.ask_status(), target)
        if not waiting or time.monotonic() > deadline_s:
            return waiting
        session.print_progress(f"{target}: waiting: {waiting}")
        await asyncio.sleep(POLL_INTERVAL_S)


def _describe_waiting(state: FleetState, target: str) -> str:
    states = _find_instance_states(state, target)
    if not states:
        return "no pool reports this instance"
    if not all(i.leaving for i in states):
        return "its owners have not taken the change yet"
    if states[0].role == PRIMARY_ROLE and states[0].reachable:
        return "it is the primary until a replica has taken over"
    if states[0].running:
        return f"{states[0].running} statements are running"
    return ""


def _find_instance_states(state: FleetState, target: str) -> list[InstanceState]:
    """Return an instance's state as each pool reports it, by the pools' owner rank."""
    groups = sorted(
        (g for p in state.processes for g in p.groups), key=lambda g: g.rank
    )
    return [i for g in groups for i in g.instances if i.name == target]
