from pathlib import Path
from tempfile import TemporaryDirectory
from unittest import TestCase

from standins.directories import (
    DIRECTORY_PREFIX,
    LOCK_FILE_NAME,
    private_directory,
    remove_abandoned,
)


class DirectoryTest(TestCase):
    def test_only_abandoned_directories_are_removed(self) -> None:
        with TemporaryDirectory() as name:
            for which in ("abandoned", "starting", "other"):
                path = (
                    Path(name)
                    / f"{DIRECTORY_PREFIX if which != 'other' else ''}{which}"
                )
                path.mkdir()
                if which != "starting":
                    (path / LOCK_FILE_NAME).touch()
            remove_abandoned(Path(name))
            left = sorted(path.name for path in Path(name).iterdir())
            self.assertEqual(left, ["other", f"{DIRECTORY_PREFIX}starting"])

    def test_a_directory_in_use_is_kept_until_its_end(self) -> None:
        with private_directory() as directory:
            remove_abandoned(directory.parent)
            self.assertTrue(directory.exists())
        self.assertFalse(directory.exists())
