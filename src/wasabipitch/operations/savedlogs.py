"""Reads decision log lines from files that a log collector has saved."""

import json
from collections.abc import Iterable, Iterator
from dataclasses import dataclass
from pathlib import Path
from typing import Any

from wasabipitch.exceptions import SettingsError

# Fields that every line has; the others are specific to the event.
COMMON_FIELDS = frozenset({"time", "level", "event", "host", "at_s"})


@dataclass(frozen=True, slots=True)
class LogLine:
    """One line of a host's decision log.

    Args:
        time: The host's wall-clock time, as text that sorts by time.
        host: The name of the host.
        level: WARNING for a change of the host's state, INFO for a decision on a
            request, DEBUG for a routine decision.
        event: The text of the event.
        fields: The event's own fields, such as the reason of a decision.
    """

    time: str
    host: str
    level: str
    event: str
    fields: dict[str, Any]


def parse_line(text: str) -> LogLine | None:
    """Parse a decision log line; return None for any other output.

    Text before the JSON object, such as a collector's prefix, is skipped.
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
    """Return the given files, and the files directly in the given folders.

    Raises:
        SettingsError: If a path does not exist or no file was found.
    """
    files: list[Path] = []
    for path in map(Path, paths):
        if path.is_dir():
            files += sorted(p for p in path.iterdir() if p.is_file())
        elif path.is_file():
            files.append(path)
        else:
            raise SettingsError(f"no such file or folder: {path}")
    if not files:
        raise SettingsError("no log files were given")
    return files


def read_lines(files: Iterable[Path]) -> Iterator[LogLine]:
    """Yield the decision log lines of files, in the order of the files."""
    for path in files:
        with path.open(encoding="utf-8", errors="replace") as file:
            yield from filter(None, map(parse_line, file))
