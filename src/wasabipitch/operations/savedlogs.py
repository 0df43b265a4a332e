"""Reads the decision lines that hosts have written, saved by whatever collects them."""

import json
from collections.abc import Iterable, Iterator
from dataclasses import dataclass
from pathlib import Path
from typing import Any

from wasabipitch.exceptions import SettingsError

# Fields that every line has; all others say what was decided, and on what.
COMMON_FIELDS = frozenset({"time", "level", "event", "host", "at_s"})


@dataclass(frozen=True, slots=True)
class LogLine:
    """One decision of one host.

    Args:
        time: the host's time of day, as text that sorts.
        level: WARNING for a change of belief, INFO for a request.
        fields: what the decision rested on.
    """

    time: str
    host: str
    level: str
    event: str
    fields: dict[str, Any]


def parse_line(text: str) -> LogLine | None:
    """Return a decision line, or None for any other output.

    Collectors may put words of their own before the line.
    """
    start = text.find("{")
    if start < 0:
        return None
    try:
        found = json.loads(text[start:])
    except ValueError:
        return None
    if not isinstance(found, dict) or "event" not in found:
        return None
    return LogLine(
        time=str(found.get("time", "")),
        host=str(found.get("host", "")),
        level=str(found.get("level", "")),
        event=str(found["event"]),
        fields={k: v for k, v in found.items() if k not in COMMON_FIELDS},
    )


def find_files(paths: Iterable[str]) -> list[Path]:
    """Return the files that are named, or that lie in a named folder.

    Raises:
        SettingsError: a path does not exist, or none was given.
    """
    files: list[Path] = []
    for path in map(Path, paths):
        if path.is_dir():
            files += sorted(p for p in path.iterdir() if p.is_file())
        elif path.is_file():
            files.append(path)
        else:
            raise SettingsError(f"no file or folder {path}")
    if not files:
        raise SettingsError("no log files are named")
    return files


def read_lines(files: Iterable[Path]) -> Iterator[LogLine]:
    """Yield the decision lines of files, each file in its own order."""
    for path in files:
        with path.open(encoding="utf-8", errors="replace") as file:
            yield from filter(None, map(parse_line, file))
