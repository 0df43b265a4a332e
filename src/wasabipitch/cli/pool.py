"""The program ``wasabipitch-pool``."""

from wasabipitch.cli.run import run_process
from wasabipitch.pool import Pool
from wasabipitch.settings import PoolSettings


def main() -> None:
    """Run a pool until SIGTERM or SIGINT, then stop gracefully."""
    run_process("wasabipitch-pool", PoolSettings, Pool)


if __name__ == "__main__":
    main()
