"""Golden files: whole sessions as text, with what is not deterministic left out."""

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

# Kinds that follow from the acts of callers alone; probes, membership and the
# order in which replicas follow depend on timing.
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
# What differs from run to run in these kinds: which replica was ahead.
OMITTED_FIELDS = {"failover.promoted": ("detail",)}

_ADDRESS = re.compile(r"\d+\.\d+\.\d+\.\d+:\d+")
_TOKEN = re.compile(r"(wasabipitch_token = )'[^']*'")
_HEX_ID = re.compile(r"\b[0-9a-f]{8,}\b")


# Between two steps, for the events that follow a reply.
STEP_PAUSE_S = 0.02


@dataclass
class Transcript:
    """What is written to a golden file.

    Args:
        steps: requests with their replies, and faults, in their order.
        started: the hybrid logical clock at the start of each step.
        events: the time line, merged over all processes.
    """

    title: str
    steps: list[dict[str, Any]] = field(default_factory=list)
    started: list[int] = field(default_factory=list)
    events: list[str] = field(default_factory=list)

    async def begin(self, step: dict[str, Any]) -> dict[str, Any]:
        """Add a step, once the events of the one before are recorded."""
        await asyncio.sleep(STEP_PAUSE_S)
        self.started.append((time.time_ns() // 1_000_000) << LOGICAL_BITS)
        self.steps.append(step)
        return step

    async def record_fault(self, what: str) -> None:
        """Keep something that was done to the fleet."""
        await self.begin({"fault": what})

    def dump(self) -> str:
        """Return the transcript as YAML."""
        document = {"title": self.title, "session": self.steps, "events": self.events}
        return yaml.safe_dump(document, sort_keys=False, width=88)


class Client:
    """A caller whose requests and replies go into a transcript.

    Args:
        name: as the transcript shows it.
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
        """Send a request and keep its reply; return its rows, if any."""
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
        """Read the session's token; its text is left out of the transcript."""
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
    """Replace what differs from run to run: addresses, ports and tokens."""
    text = _TOKEN.sub(r"\1'<token>'", text)
    return _HEX_ID.sub("<id>", _ADDRESS.sub("<address>", text))


def describe_error(exc: Exception) -> str:
    """Return the code and the verdict of an error, without its details."""
    if len(exc.args) < 2:
        return "no answer"
    match = re.search(r"\(verdict: (\w+)\)", str(exc.args[1]))
    return f"{exc.args[0]} {match.group(1)}" if match else "no answer"


async def collect_events(fleet: Fleet, names: Iterable[str]) -> list[Event]:
    """Return the events of those of the processes that answer."""
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
    """Return the time line in a deterministic order, without its clocks.

    Events are in the order of the steps that they fall in; within one step,
    those of one process stay in their order, and processes go by name. The same
    event at several processes in a row is one line.

    Args:
        events: of all processes.
        started: when each step began, by the hybrid logical clock.
        kinds: those that are kept.
        skip: how many of the lines belong to the preparation.
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
    """Return the difference to a golden file as a unified diff, or ''."""
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
    """Return a process's name; which of the pools owns a group may differ."""
    if event.host.startswith("pool-") and not event.kind.startswith("configuration."):
        return "pool"
    return event.host


def _describe(event: Event) -> str:
    omitted = OMITTED_FIELDS.get(event.kind, ())
    values = {n: getattr(event, n) for n in EVENT_FIELDS if n not in omitted}
    return " ".join(
        [event.kind, *(f"{n}={mask(str(v))}" for n, v in values.items() if v)]
    )
