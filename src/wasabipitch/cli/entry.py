"""The program ``wasabipitch-entry``."""

from wasabipitch.cli.run import run_process
from wasabipitch.entry import Entry
from wasabipitch.settings import EntrySettings


def main() -> None:
    """Run an entry until SIGTERM or SIGINT, then stop gracefully."""
    run_process("wasabipitch-entry", EntrySettings, Entry)


if __name__ == "__main__":
    main()
