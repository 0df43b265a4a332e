"""The program ``wasabipitch-bench``."""

import sys

import fire

from bench.commands import Commands
from wasabipitch.exceptions import SettingsError

NAME = "wasabipitch-bench"
EXIT_USAGE = 2
BOOLEAN_FLAGS = ("--json",)


def main() -> None:
    """Parse the command line and run the command."""
    # ``fire`` would take the argument after a boolean flag as its value.
    args = [f"{arg}=True" if arg in BOOLEAN_FLAGS else arg for arg in sys.argv[1:]]
    try:
        fire.Fire(Commands, args, name=NAME, serialize=lambda _: None)
    except SettingsError as exc:
        print(exc.message, file=sys.stderr)
        sys.exit(EXIT_USAGE)


if __name__ == "__main__":
    main()
