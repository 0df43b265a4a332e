"""The commands of ``wasabipitch-ctl`` that query or control processes."""

import asyncio
from dataclasses import dataclass

from wasabipitch import reports
from wasabipitch.exceptions import NotOwner, StoreError
from wasabipitch.fleet import FleetState
from wasabipitch.messages import AskEvents, Done, Switchover
from wasabipitch.outcomes import EXIT_DONE, CommandSession, Outcome

SWITCHOVER_TIMEOUT_S = 60.0
# The time between two lines of progress while a switchover runs.
PROGRESS_INTERVAL_S = 1.0


@dataclass(frozen=True, slots=True)
class StatusReport:
    """The state of the whole system.

    Args:
        accepted: The configuration's revision in the store, or 0 if it could not be
            read.
        state: The answers of the processes.
    """

    accepted: int
    state: FleetState


@dataclass(frozen=True, slots=True)
class SwitchoverReport:
    """The result of a switchover, a planned change of primary.

    Args:
        group: The group's name.
        pool: The name of the pool that ran the switchover.
        detail: The pool's message about the result, or an empty string.
        primary: The primary afterwards, or an empty string if it is unknown.
        term: The group's term afterwards.
    """

    group: str
    pool: str
    detail: str
    primary: str
    term: int


async def status(session: CommandSession) -> Outcome:
    """Report the state of every group and process."""
    state = await session.fleet.ask_status()
    try:
        accepted = (await session.read_configuration()).revision
    except StoreError:
        accepted = 0
    text = reports.render_status(state, accepted)
    return Outcome(EXIT_DONE, text, StatusReport(accepted, state))


async def timeline(session: CommandSession, ask: AskEvents) -> Outcome:
    """Report the events of all processes in their logical order."""
    found = await session.fleet.ask_events(ask)
    return Outcome(EXIT_DONE, reports.render_events(found), found)


async def switch_over(session: CommandSession, group: str, to: str) -> Outcome:
    """Ask the owner of a group to switch its primary, and report the result.

    Args:
        session: The operator's command session.
        group: The group's name.
        to: The name of the successor, or an empty string to let the pool choose.

    Raises:
        NotOwner: No pool that answers serves the group.
    """
    state = await session.fleet.ask_status()
    serving_pools = state.serving_pools(group)
    if not serving_pools:
        raise NotOwner(f"no pool that answers serves group {group!r}")
    pool = serving_pools[0].host
    link = session.fleet.links.find(pool)
    order = asyncio.create_task(link.call(Switchover(group, to), SWITCHOVER_TIMEOUT_S))
    try:
        while not (await asyncio.wait({order}, timeout=PROGRESS_INTERVAL_S))[0]:
            state = await session.fleet.ask_status()
            session.print_progress(f"{pool.name}: {_describe_activity(state, group)}")
    finally:
        order.cancel()
    done = order.result()
    detail = done.detail if isinstance(done, Done) else ""
    states = (await session.fleet.ask_status()).group_states(group)
    primary, term = (states[0].primary, states[0].term) if states else ("", 0)
    report = SwitchoverReport(group, pool.name, detail, primary, term)
    text = f"group {group}: primary {primary or 'unknown'}, term {term}"
    return Outcome(EXIT_DONE, f"{text}; {detail}" if detail else text, report)


def _describe_activity(state: FleetState, group: str) -> str:
    states = state.group_states(group)
    return states[0].activity if states and states[0].activity else "in progress"
