"""Private temporary directories that outlive no process for long."""

import fcntl
import shutil
import tempfile
from collections.abc import Iterator
from contextlib import contextmanager, suppress
from pathlib import Path

DIRECTORY_PREFIX = "standin-target-"
LOCK_FILE_NAME = "lock"


@contextmanager
def private_directory() -> Iterator[Path]:
    """Create a directory and remove it, and those of killed processes, again.

    A process holds a lock on a file in its directory; the lock ends with the
    process, however that ends.
    """
    remove_abandoned(Path(tempfile.gettempdir()))
    with tempfile.TemporaryDirectory(prefix=DIRECTORY_PREFIX) as name:
        directory = Path(name)
        new_lock = directory / f"new-{LOCK_FILE_NAME}"
        with new_lock.open("w") as file:
            fcntl.flock(file, fcntl.LOCK_EX)
            new_lock.rename(directory / LOCK_FILE_NAME)
            yield directory


def remove_abandoned(parent: Path) -> None:
    """Remove the directories whose lock is free."""
    for path in parent.glob(f"{DIRECTORY_PREFIX}*/{LOCK_FILE_NAME}"):
        with suppress(OSError), path.open() as file:
            fcntl.flock(file, fcntl.LOCK_EX | fcntl.LOCK_NB)
            shutil.rmtree(path.parent, ignore_errors=True)
