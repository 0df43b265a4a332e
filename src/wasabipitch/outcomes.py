"""How a command of ``wasabipitch-ctl`` runs, and how it ends."""

import contextlib
import sys
from collections.abc import Awaitable, Callable
from dataclasses import dataclass, field
from typing import Any

import msgspec
import uvloop

from wasabipitch.envelopes import NOTHING_STORED, Stored, read_stored
from wasabipitch.exceptions import (
    SettingsError,
    WasabipitchError,
)
from wasabipitch.fleet import Fleet, make_hosts
from wasabipitch.models import Address
from wasabipitch.store import PlatformStore, Store
from wasabipitch.verdict import Verdict

EXIT_DONE = 0
EXIT_FAILED = 1
EXIT_USAGE = 2
EXIT_CONFLICT = 3
EXIT_IN_DOUBT = 4

POLL_S = 0.25


@dataclass(frozen=True, slots=True)
class Options:
    """The flags that all commands share.

    Args:
        platform: where the key-value service listens; None if not needed.
        key: the key that holds the configuration.
        processes: addresses to ask in place of the platform's list.
        timeout_s: how long to try for.
        show_progress: whether to say on standard error what is waited for.
    """

    platform: Address | None
    key: str
    processes: tuple[str, ...] = ()
    timeout_s: float = 10.0
    show_progress: bool = True


@dataclass(frozen=True, slots=True)
class Outcome:
    """How a command ended.

    Args:
        exit_code: of the program.
        text: for people.
        report: for programs, as JSON.
    """

    exit_code: int
    text: str
    report: Any


@dataclass(frozen=True, slots=True)
class ErrorReport:
    """An error, and whether the change that failed may have taken effect."""

    error: str
    verdict: str
    exit_code: int


@dataclass
class CommandSession:
    """What one command works with.

    Args:
        options: the flags.
        store: the platform's store; commands that need no platform have none.
        fleet: the processes.
    """

    options: Options
    store: Store
    fleet: Fleet
    _last_progress: str = field(default="", init=False)

    def print_progress(self, text: str) -> None:
        """Show progress, where it is wanted and has changed."""
        if self.options.show_progress and text != self._last_progress:
            print(text, file=sys.stderr, flush=True)
            self._last_progress = text

    async def read_configuration(self) -> Stored:
        """Return the configuration that the store holds."""
        stored = await read_stored(self.store, self.options.key)
        return stored or NOTHING_STORED


def run_command(
    options: Options, function: Callable[[CommandSession], Awaitable[Outcome]]
) -> Outcome:
    """Run a command in an event loop and return its outcome."""
    try:
        return uvloop.run(_run_command(options, function))
    except WasabipitchError as exc:
        return describe_error(exc)


async def _run_command(
    options: Options, function: Callable[[CommandSession], Awaitable[Outcome]]
) -> Outcome:
    async with contextlib.AsyncExitStack() as stack:
        store = PlatformStore(options.platform)
        stack.push_async_callback(store.close)
        fleet = Fleet(store, make_hosts(options.processes))
        await stack.enter_async_context(fleet)
        return await function(CommandSession(options, store, fleet))


def print_outcome(outcome: Outcome, *, as_json: bool) -> None:
    """Print an outcome: errors as text go to standard error."""
    if as_json:
        report = msgspec.json.encode(outcome.report)
        print(msgspec.json.format(report, indent=2).decode())
        return
    file = sys.stdout if outcome.exit_code == EXIT_DONE else sys.stderr
    if outcome.text:
        print(outcome.text, file=file)


def describe_error(exc: WasabipitchError) -> Outcome:
    """Return the outcome of a command that ended in an error."""
    in_doubt = exc.verdict is Verdict.MAY_HAVE_RUN
    exit_code = EXIT_IN_DOUBT if in_doubt else EXIT_FAILED
    report = ErrorReport(exc.message, exc.verdict.name, exit_code)
    hint = "; it may have taken effect: repeat the command" if in_doubt else ""
    return Outcome(exit_code, f"{exc.message}{hint}", report)


def describe_usage_error(exc: SettingsError) -> Outcome:
    """Return the outcome of wrong usage or a bad file."""
    report = ErrorReport(exc.message, Verdict.NOT_RUN.name, EXIT_USAGE)
    return Outcome(EXIT_USAGE, exc.message, report)
