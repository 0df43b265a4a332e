"""Temporary directories that are removed even after their process was killed."""

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
    """Create a temporary directory and remove it after the block.

    The process holds a lock on a file in its directory, which the kernel releases when
    the process ends in any way. A directory whose lock is free therefore belongs to a
    process that was killed; each call removes such directories first. The lock file
    gets its name only once it is locked, so that a new directory is not taken for an
    abandoned one.
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
    """Remove the directories of processes that have ended.

    Args:
        parent: Directory that contains the private directories.
    """
    for path in parent.glob(f"{DIRECTORY_PREFIX}*/{LOCK_FILE_NAME}"):
        with suppress(OSError), path.open() as file:
            fcntl.flock(file, fcntl.LOCK_EX | fcntl.LOCK_NB)
            shutil.rmtree(path.parent, ignore_errors=True)
