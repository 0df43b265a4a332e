"""Golden files, which hold the deterministic parts of whole sessions as text."""

import asyncio
import difflib
import re
import time
from bisect import bisect_right
from collections.abc import Iterable
from dataclasses import dataclass, field
from pathlib import Path
from typing import Any

import asyncmy
import yaml

from proofs.scenarios import connect
from standins.fleet import Fleet
from wasabipitch.events import LOGICAL_BITS
from wasabipitch.exceptions import WasabipitchError
from wasabipitch.messages import AskEvents, Event
from wasabipitch.models import Address

# Event kinds that depend only on what callers do. Events of probes, of membership
# and of replicas that follow a new primary depend on timing.
REQUEST_KINDS = frozenset(
    {
        "request.answered",
        "request.failed",
        "request.repeated",
        "request.resolved",
        "request.sent",
    }
)
EVENT_FIELDS = ("group", "request", "term", "detail")
# The promoted replica varies from run to run: it is the one that was ahead.
OMITTED_FIELDS = {"failover.promoted": ("detail",)}

_ADDRESS = re.compile(r"\d+\.\d+\.\d+\.\d+:\d+")
_TOKEN = re.compile(r"(wasabipitch_token = )'[^']*'")
_HEX_ID = re.compile(r"\b[0-9a-f]{8,}\b")


# The pause between steps, in which the events that follow a reply are recorded.
STEP_PAUSE_S = 0.02


@dataclass
class Transcript:
    """The content of a golden file.

    Args:
        title: One line that describes the session.
        steps: Requests with their replies, and faults, in the order they happened.
        started: The hybrid logical clock at the start of each step.
        events: The timeline, merged over all processes.
    """

    title: str
    steps: list[dict[str, Any]] = field(default_factory=list)
    started: list[int] = field(default_factory=list)
    events: list[str] = field(default_factory=list)

    async def begin(self, step: dict[str, Any]) -> dict[str, Any]:
        """Add a step after a pause for the events of the previous one."""
        await asyncio.sleep(STEP_PAUSE_S)
        self.started.append((time.time_ns() // 1_000_000) << LOGICAL_BITS)
        self.steps.append(step)
        return step

    async def record_fault(self, what: str) -> None:
        """Add a step for something that was done to the fleet."""
        await self.begin({"fault": what})

    def dump(self) -> str:
        """Return the transcript as YAML."""
        document = {"title": self.title, "session": self.steps, "events": self.events}
        return yaml.safe_dump(document, sort_keys=False, width=88)


class Client:
    """A caller whose requests and replies are added to a transcript.

    Args:
        name: The name of the caller in the transcript.
        transcript: The transcript to add to.
    """

    def __init__(self, name: str, transcript: Transcript) -> None:
        self.name = name
        self._transcript = transcript
        self._conn: asyncmy.Connection | None = None

    async def connect(self, entry: str, address: Address) -> None:
        """Connect, or reconnect, to an entry."""
        self.close()
        self._conn = await connect(address)
        await self._transcript.begin({"caller": self.name, "connects": entry})

    async def send(self, statement: str) -> Any:
        """Send a request, record its reply and return its rows, if any."""
        step = {"caller": self.name, "request": mask(statement)}
        await self._transcript.begin(step)
        rows: tuple = ()
        try:
            async with self._conn.cursor() as cursor:
                await cursor.execute(statement)
                if cursor.description:
                    rows = tuple(await cursor.fetchall())
                    step["rows"] = [[mask(str(v)) for v in row] for row in rows]
                else:
                    step["affected"] = cursor.rowcount
        except (asyncmy.errors.Error, OSError) as exc:
            step["error"] = describe_error(exc)
        return rows

    async def read_token(self) -> str:
        """Return the session's token, which the transcript shows as ``<token>``."""
        step = {"caller": self.name, "request": "SELECT @@wasabipitch_token"}
        await self._transcript.begin({**step, "rows": [["<token>"]]})
        async with self._conn.cursor() as cursor:
            await cursor.execute("SELECT @@wasabipitch_token")
            (row,) = await cursor.fetchall()
        return row[0]

    def close(self) -> None:
        """Close the connection."""
        if self._conn is not None:
            self._conn.close()


def mask(text: str) -> str:
    """Replace text that varies between runs: addresses, tokens and long hex ids."""
    text = _TOKEN.sub(r"\1'<token>'", text)
    return _HEX_ID.sub("<id>", _ADDRESS.sub("<address>", text))


def describe_error(exc: Exception) -> str:
    """Return the code and the verdict of an error, without its details."""
    if len(exc.args) < 2:
        return "no answer"
    match = re.search(r"\(verdict: (\w+)\)", str(exc.args[1]))
    return f"{exc.args[0]} {match.group(1)}" if match else "no answer"


async def collect_events(fleet: Fleet, names: Iterable[str]) -> list[Event]:
    """Return the events of all named processes that reply."""
    events: list[Event] = []
    for name in names:
        try:
            answer = await fleet.ask(name, AskEvents())
        except WasabipitchError:
            continue
        events += answer.events
    return events


def normalise(
    events: Iterable[Event], started: list[int], kinds: frozenset[str], skip: int = 0
) -> list[str]:
    """Return the timeline in a deterministic order and without clock values.

    Events are sorted by step, then by process name, then by clock. The same event
    at several processes in a row becomes one line.

    Args:
        events: The events of all processes.
        started: The hybrid logical clock at the start of each step.
        kinds: The event kinds to keep.
        skip: The number of leading lines to drop, which belong to the preparation.
    """
    relevant = [e for e in events if e.kind in kinds]
    relevant.sort(key=lambda e: (bisect_right(started, e.clock), e.host, e.clock))
    lines: list[tuple[str, set[str]]] = []
    for event in relevant:
        what = _describe(event)
        if lines and lines[-1][0] == what:
            lines[-1][1].add(_name_host(event))
        else:
            lines.append((what, {_name_host(event)}))
    return [f"{', '.join(sorted(hosts))}: {what}" for what, hosts in lines[skip:]]


def compare(path: Path, text: str) -> str:
    """Return the unified diff to a golden file, or an empty string."""
    golden = path.read_text(encoding="utf-8") if path.exists() else ""
    lines = difflib.unified_diff(
        golden.splitlines(),
        text.splitlines(),
        f"{path.name} (golden)",
        f"{path.name} (this run)",
        lineterm="",
    )
    return "\n".join(lines)


def _name_host(event: Event) -> str:
    """Return the process's name; pools share one, as the owner of a group varies."""
    if event.host.startswith("pool-") and not event.kind.startswith("configuration."):
        return "pool"
    return event.host


def _describe(event: Event) -> str:
    omitted = OMITTED_FIELDS.get(event.kind, ())
    values = {n: getattr(event, n) for n in EVENT_FIELDS if n not in omitted}
    return " ".join(
        [event.kind, *(f"{n}={mask(str(v))}" for n, v in values.items() if v)]
    )
