"""The program ``wasabipitch-ctl``."""

import sys

import fire

from wasabipitch.ctl import Command, Commands, execute
from wasabipitch.exceptions import SettingsError
from wasabipitch.outcomes import EXIT_IN_DOUBT, EXIT_USAGE

NAME = "wasabipitch-ctl"
BOOLEAN_FLAGS = ("--json", "--undo")


def main() -> None:
    """Parse the command line, run the command and exit with its exit code."""
    # ``fire`` would take the argument after a boolean flag as its value.
    args = [f"{arg}=True" if arg in BOOLEAN_FLAGS else arg for arg in sys.argv[1:]]
    try:
        command = fire.Fire(Commands, args, name=NAME, serialize=lambda _: None)
    except SettingsError as exc:
        print(exc.message, file=sys.stderr)
        sys.exit(EXIT_USAGE)
    if not isinstance(command, Command):
        print(f"no command was given; see {NAME} --help", file=sys.stderr)
        sys.exit(EXIT_USAGE)
    try:
        sys.exit(execute(command))
    except KeyboardInterrupt:
        print("interrupted: a change may have taken effect", file=sys.stderr)
        sys.exit(EXIT_IN_DOUBT)


if __name__ == "__main__":
    main()
