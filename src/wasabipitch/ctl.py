"""The command line of ``wasabipitch-ctl``: its commands, flags and their checks."""

import getpass
import os
from collections.abc import Awaitable, Callable
from types import UnionType

from fire.decorators import SetParseFns

from wasabipitch import changes, orders, outcomes
from wasabipitch.exceptions import SettingsError
from wasabipitch.messages import AskEvents
from wasabipitch.models import Address
from wasabipitch.operations import explanations, savedlogs
from wasabipitch.outcomes import CommandSession, Outcome, run_command

DEFAULT_KEY = "wasabipitch/configuration"
PLATFORM_VARIABLE = "WASABIPITCH_PLATFORM"
DEFAULT_TIMEOUT_S = 10.0

CommandFunction = Callable[[CommandSession], Awaitable[Outcome]]


class Command:
    """A parsed command that has not run yet.

    It has no public attributes. ``fire`` would look up surplus words of the command
    line as attributes of it, so it rejects them before the command runs.

    Args:
        commands: The commands with the values of the shared flags.
        function: The function that runs the command in a session.
        needs_platform: Whether the command needs the platform's address.
    """

    def __init__(
        self, commands: "Commands", function: CommandFunction, needs_platform: bool
    ) -> None:
        self._commands = commands
        self._function = function
        self._needs_platform = needs_platform


def execute(command: Command) -> int:
    """Run a command, print its outcome and return the exit code."""
    commands = command._commands
    try:
        options = commands._read_options(command._needs_platform)
    except SettingsError as exc:
        outcome = outcomes.describe_usage_error(exc)
    else:
        outcome = run_command(options, command._function)
    outcomes.print_outcome(outcome, as_json=commands._json is True)
    return outcome.exit_code


class Commands:
    """Operates a wasabipitch deployment.

    check FILE: report every error in a configuration file.
    plan FILE: show what applying a file would change.
    apply FILE: put a file in force as the new configuration.
    status: show groups, instances and processes.
    timeline: show the events of all processes.
    explain REQUEST LOG...: show from saved logs why a request failed.
    switchover GROUP: replace a group's primary in a planned switchover.
    drain TARGET: stop sending new work to an instance.

    COMMAND --help shows the details. All commands take the flags below. Exit
    codes: 0 done; 1 failed, nothing was changed; 2 wrong usage or an invalid
    file; 3 conflict with another operator's change, nothing was changed;
    4 in doubt, the change may have taken effect: repeat the command.

    Args:
        platform: The ip:port of the platform's key-value service. The default is
            the environment variable WASABIPITCH_PLATFORM.
        key: The key that holds the configuration.
        json: Print JSON instead of text.
        processes: The ip:port of each process to ask, separated by commas, for
            use when the platform does not list them.
        timeout: The time to keep trying, in seconds.
    """

    def __init__(
        self,
        platform: str = "",
        key: str = DEFAULT_KEY,
        json: bool = False,
        processes: str = "",
        timeout: float = DEFAULT_TIMEOUT_S,
    ) -> None:
        self._platform = platform or os.environ.get(PLATFORM_VARIABLE, "")
        self._key = key
        self._json = json
        self._processes = processes
        self._timeout = timeout

    def check(self, file: str) -> Command:
        """Check a configuration file and report every error with its path.

        Args:
            file: The YAML file.
        """
        return Command(self, lambda s: changes.check(s, str(file)), False)

    def plan(self, file: str) -> Command:
        """Show what applying a file would change, and the effect on running work.

        Args:
            file: The YAML file.
        """
        return Command(self, lambda s: changes.plan(s, str(file)), True)

    def apply(self, file: str, expect: int = -1, author: str = "") -> Command:
        """Put a file in force, unless another change was applied first.

        A conflict shows the other change. The command is safe to repeat when its
        answer was lost.

        Args:
            file: The YAML file.
            expect: The revision that the file was made from, as ``plan`` shows it.
                The default is the revision in force when the command starts.
            author: The author of the change. The default is the login name.
        """
        _check_number("expect", expect, int)
        name = str(author) or _get_login_name()
        return Command(self, lambda s: changes.apply(s, str(file), expect, name), True)

    def status(self) -> Command:
        """Show each group's primary, replicas and owners, and every process."""
        return Command(self, orders.status, True)

    def timeline(
        self,
        group: str = "",
        session: str = "",
        request: str = "",
        term: int = 0,
        limit: int = 1000,
    ) -> Command:
        """Show the events of all processes in their logical order.

        Args:
            group: Show only events of this group.
            session: Show only events of this session.
            request: Show only events of this request id.
            term: Show only events of this term.
            limit: The maximum number of events. The latest ones are shown.
        """
        _check_number("term", term, int)
        _check_number("limit", limit, int)
        ask = AskEvents(str(group), str(session), str(request), term, limit)
        return Command(self, lambda s: orders.timeline(s, ask), True)

    @SetParseFns(str, request=str)
    def explain(self, request: str, *logs: str) -> Command:
        """Show from saved logs how a request passed the hosts and why it failed.

        Args:
            request: The request id.
            logs: The log files of all hosts, or folders that hold them.
        """
        paths = tuple(map(str, logs))

        async def run_explain(_: CommandSession) -> Outcome:
            return _explain(str(request), paths)

        return Command(self, run_explain, False)

    def switchover(self, group: str, to: str = "") -> Command:
        """Replace a group's primary in a planned switchover, and show its progress.

        Args:
            group: The group's name.
            to: The instance that becomes the primary. By default the group's owner
                chooses one.
        """
        return Command(self, lambda s: orders.switch_over(s, str(group), str(to)), True)

    def drain(self, target: str, undo: bool = False) -> Command:
        """Stop sending new work to an instance and wait until its work has finished.

        The command changes the configuration, so it stays in effect when processes
        restart.

        Args:
            target: The instance's name.
            undo: Send work to the instance again.
        """
        return Command(
            self, lambda s: changes.drain(s, str(target), undo, _get_login_name()), True
        )

    def _read_options(self, needs_platform: bool) -> outcomes.Options:
        if not isinstance(self._json, bool):
            raise SettingsError("--json takes no value; put it last")
        if needs_platform and not self._platform:
            raise SettingsError(
                f"no platform: give --platform ip:port or set {PLATFORM_VARIABLE}"
            )
        _check_number("timeout", self._timeout, int | float)
        address = Address.parse(str(self._platform)) if self._platform else None
        return outcomes.Options(
            platform=address,
            key=str(self._key),
            processes=_read_addresses(self._processes),
            timeout_s=float(self._timeout),
            show_progress=not self._json,
        )


def _explain(request: str, paths: tuple[str, ...]) -> Outcome:
    try:
        files = savedlogs.find_files(paths)
    except SettingsError as exc:
        return outcomes.describe_usage_error(exc)
    explanation = explanations.explain(savedlogs.read_lines(files), request)
    exit_code = outcomes.EXIT_DONE if explanation.steps else outcomes.EXIT_FAILED
    return Outcome(exit_code, explanations.render(explanation), explanation)


def _read_addresses(processes: object) -> tuple[str, ...]:
    """Return the addresses in a flag.

    ``fire`` passes a value with commas as a tuple or as a string.
    """
    parts = processes if isinstance(processes, tuple | list) else [processes]
    texts = [t.strip() for part in parts for t in str(part).split(",")]
    return tuple(str(Address.parse(text)) for text in texts if text)


def _check_number(flag: str, value: object, kind: type | UnionType) -> None:
    if not isinstance(value, kind) or isinstance(value, bool):
        raise SettingsError(f"--{flag} {value} is not a number of the right kind")


def _get_login_name() -> str:
    try:
        return getpass.getuser()
    except (KeyError, OSError):
        return "unknown"
