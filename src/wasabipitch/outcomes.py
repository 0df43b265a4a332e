"""Runs the commands of ``wasabipitch-ctl`` and prints their outcomes."""

import contextlib
import sys
from collections.abc import Awaitable, Callable
from dataclasses import dataclass, field
from typing import Any

import msgspec
import uvloop

from wasabipitch.envelopes import NO_CONFIGURATION, StoredConfiguration, read_stored
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
        platform: The address of the platform's key-value service, or None for a
            command that does not need it.
        key: The key that holds the configuration.
        processes: The addresses of the processes to ask instead of those that the
            platform lists.
        timeout_s: The time to keep trying, in seconds.
        show_progress: Whether to print progress on standard error.
    """

    platform: Address | None
    key: str
    processes: tuple[str, ...] = ()
    timeout_s: float = 10.0
    show_progress: bool = True


@dataclass(frozen=True, slots=True)
class Outcome:
    """The result of a command.

    Args:
        exit_code: The exit code of the program.
        text: The result as text for people.
        report: The result as an object that is printed as JSON for programs.
    """

    exit_code: int
    text: str
    report: Any


@dataclass(frozen=True, slots=True)
class ErrorReport:
    """The report of a command that failed.

    Args:
        error: The error message.
        verdict: The name of the ``Verdict`` on whether the command took effect.
        exit_code: The exit code of the program.
    """

    error: str
    verdict: str
    exit_code: int


@dataclass
class CommandSession:
    """The options and connections that a command uses while it runs.

    Args:
        options: The flags that all commands share.
        store: The platform's store. A command that needs no platform must not use it,
            since it may have no address.
        fleet: The processes of the deployment.
    """

    options: Options
    store: Store
    fleet: Fleet
    _last_progress: str = field(default="", init=False)

    def print_progress(self, text: str) -> None:
        """Print a line of progress, if progress is shown and the text has changed."""
        if self.options.show_progress and text != self._last_progress:
            print(text, file=sys.stderr, flush=True)
            self._last_progress = text

    async def read_configuration(self) -> StoredConfiguration:
        """Return the configuration in the store, or ``NO_CONFIGURATION``."""
        stored = await read_stored(self.store, self.options.key)
        return stored or NO_CONFIGURATION


def run_command(
    options: Options, function: Callable[[CommandSession], Awaitable[Outcome]]
) -> Outcome:
    """Run a command in an event loop and return its outcome.

    Args:
        options: The flags that all commands share.
        function: The function that runs the command in a session.
    """
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
    """Print an outcome as text or JSON.

    JSON goes to standard output. Text goes there only if the command succeeded, else
    to standard error.
    """
    if as_json:
        report = msgspec.json.encode(outcome.report)
        print(msgspec.json.format(report, indent=2).decode())
        return
    file = sys.stdout if outcome.exit_code == EXIT_DONE else sys.stderr
    if outcome.text:
        print(outcome.text, file=file)


def describe_error(exc: WasabipitchError) -> Outcome:
    """Return the outcome of a command that failed with an error."""
    in_doubt = exc.verdict is Verdict.MAY_HAVE_RUN
    exit_code = EXIT_IN_DOUBT if in_doubt else EXIT_FAILED
    report = ErrorReport(exc.message, exc.verdict.name, exit_code)
    hint = "; it may have taken effect: repeat the command" if in_doubt else ""
    return Outcome(exit_code, f"{exc.message}{hint}", report)


def describe_usage_error(exc: SettingsError) -> Outcome:
    """Return the outcome of wrong usage or an invalid file."""
    report = ErrorReport(exc.message, Verdict.NOT_RUN.name, EXIT_USAGE)
    return Outcome(EXIT_USAGE, exc.message, report)
