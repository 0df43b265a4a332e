"""The sessions recorded in golden files.

The docstring of each session is the title of its golden file.
"""

import asyncio
import difflib
import signal
from collections.abc import Awaitable, Callable

from proofs.faults import find_owner, find_primary
from proofs.golden import (
    REQUEST_KINDS,
    Client,
    Transcript,
    collect_events,
    normalise,
)
from proofs.scenarios import make_fleet, wait_for_discovery, wait_revision, with_slots
from standins.fleet import Fleet
from wasabipitch import deployment as deployments
from wasabipitch.exceptions import StoreConflict

WRITE_DURATION_MS = 600
KILL_DELAY_S = 0.2
EVENT_TIMEOUT_S = 15.0
POLL_S = 0.05
CREATE_JOBS = "CREATE TABLE jobs (id INTEGER PRIMARY KEY AUTO_INCREMENT, bike TEXT)"
CREATE_PAYMENTS = "CREATE TABLE payments (job INTEGER, baht INTEGER)"
SELECT_JOBS = "SELECT id, bike FROM jobs ORDER BY id"
SELECT_PAYMENTS = "SELECT job, baht FROM payments"
ABORT_KINDS = frozenset({"transaction.aborted"})
CONFIGURATION_KINDS = frozenset({"configuration.taken"})

Run = Callable[[Fleet, Transcript], Awaitable[None]]


async def run_ordinary_day(fleet: Fleet, transcript: Transcript) -> None:
    """A job card in a transaction, a payment sent twice, and some errors."""
    counter = await _connect(fleet, transcript, "counter", 0)
    payment = "/* wasabipitch: id=pay-1, class=payment */ INSERT INTO payments"
    for statement in (
        CREATE_JOBS,
        CREATE_PAYMENTS,
        "BEGIN",
        "INSERT INTO jobs (bike) VALUES ('red')",
        "SELECT bike FROM jobs",
        "COMMIT",
        SELECT_JOBS,
        f"{payment} VALUES (1, 250)",
        f"{payment} VALUES (1, 250)",
        SELECT_PAYMENTS,
        "/* wasabipitch: class=payment */ INSERT INTO payments VALUES (1, 250)",
        "/* wasabipitch: class=nothing */ SELECT 1",
        "INSERT INTO nowhere VALUES (1)",
        "BEGIN",
        "INSERT INTO jobs (bike) VALUES ('blue')",
        "ROLLBACK",
        "/* wasabipitch: class=lookup */ SELECT bike FROM jobs",
    ):
        await counter.send(statement)
    counter.close()
    await _record_events(fleet, transcript, REQUEST_KINDS)


async def run_roaming_session(fleet: Fleet, transcript: Transcript) -> None:
    """A caller moves to the other entry with its token, then without it."""
    phone = await _connect(fleet, transcript, "phone", 0)
    await phone.send(CREATE_JOBS)
    await phone.send("INSERT INTO jobs (bike) VALUES ('red')")
    token = await phone.read_token()
    await phone.connect("entry-2", fleet.entries[1].address)
    await phone.send(f"SET wasabipitch_token = '{token}'")
    await phone.send(f"/* wasabipitch: class=lookup */ {SELECT_JOBS}")
    await phone.send("INSERT INTO jobs (bike) VALUES ('blue')")
    await phone.connect("entry-1", fleet.entries[0].address)
    await phone.send(f"/* wasabipitch: class=lookup */ {SELECT_JOBS}")
    await phone.send("SET wasabipitch_token = 'nonsense'")
    phone.close()
    await _record_events(fleet, transcript, REQUEST_KINDS)


async def run_primary_lost_mid_write(fleet: Fleet, transcript: Transcript) -> None:
    """The primary is killed while it runs a payment and a write without id."""
    counter = await _connect(fleet, transcript, "counter", 0)
    mechanic = await _connect(fleet, transcript, "mechanic", 0)
    payment = "class=payment */ INSERT INTO payments VALUES"
    await counter.send(CREATE_JOBS)
    await counter.send(CREATE_PAYMENTS)
    await counter.send(f"/* wasabipitch: id=pay-1, {payment} (1, 250)")
    primary = await find_primary(fleet)
    await fleet.call_target(
        primary, f"CALL standin_set('work_ms', {WRITE_DURATION_MS})"
    )
    paying = asyncio.create_task(
        counter.send(f"/* wasabipitch: id=pay-2, {payment} (2, 400)")
    )
    await asyncio.sleep(POLL_S)
    writing = asyncio.create_task(
        mechanic.send("INSERT INTO jobs (bike) VALUES ('red')")
    )
    await asyncio.sleep(KILL_DELAY_S)
    await fleet.processes[primary].kill()
    transcript.steps.append({"fault": "the primary was killed"})
    await asyncio.gather(paying, writing)
    await counter.send(SELECT_PAYMENTS)
    await counter.send(SELECT_JOBS)
    for client in (counter, mechanic):
        client.close()
    await _record_events(fleet, transcript, REQUEST_KINDS | {"failover.promoted"})


async def run_entry_lost_mid_transaction(fleet: Fleet, transcript: Transcript) -> None:
    """An entry is killed within a transaction; the caller goes to the other."""
    counter = await _connect(fleet, transcript, "counter", 0)
    await counter.send(CREATE_JOBS)
    await counter.send("BEGIN")
    await counter.send("INSERT INTO jobs (bike) VALUES ('red')")
    await transcript.record_fault("entry-1 is killed")
    await fleet.entries[0].kill()
    del fleet.processes["entry-1"]
    await _wait_event(fleet, "transaction.aborted")
    await counter.send("INSERT INTO jobs (bike) VALUES ('blue')")
    await counter.connect("entry-2", fleet.entries[0].address)
    await counter.send(SELECT_JOBS)
    await counter.send("INSERT INTO jobs (bike) VALUES ('green')")
    await counter.send("SELECT bike FROM jobs")
    counter.close()
    await _record_events(fleet, transcript, ABORT_KINDS | REQUEST_KINDS)


async def run_platform_outage(fleet: Fleet, transcript: Transcript) -> None:
    """The platform goes down before all processes have an accepted revision."""
    counter = await _connect(fleet, transcript, "counter", 0)
    await counter.send(CREATE_JOBS)
    await wait_for_discovery(fleet)
    # The owner is not paused, so that the caller's requests do not wait.
    owner = await find_owner(fleet)
    other = next(pool for pool in fleet.pools if pool is not owner)
    paused = (fleet.entries[1], other)
    for process in paused:
        process.send(signal.SIGSTOP)
    revision = await fleet.apply(with_slots(fleet.deployment, 3))
    await transcript.record_fault(
        f"revision {revision} accepted while two processes were paused"
    )
    await fleet.set_faults(down=True)
    await transcript.record_fault("the platform went down, then the two processes woke")
    for process in paused:
        process.send(signal.SIGCONT)
    await wait_revision(fleet, revision)
    await transcript.record_fault(f"revision {revision} is in force at every process")
    await counter.send("INSERT INTO jobs (bike) VALUES ('red')")
    await counter.send(SELECT_JOBS)
    counter.close()
    await _record_events(fleet, transcript, CONFIGURATION_KINDS, skip=1)


async def run_two_operators(fleet: Fleet, transcript: Transcript) -> None:
    """Two operators apply changes that were made from the same revision."""
    counter = await _connect(fleet, transcript, "counter", 0)
    await counter.send(CREATE_JOBS)
    revision = 0
    for operator, slots in (("malee", 3), ("somchai", 4)):
        change = with_slots(fleet.deployment, slots)
        step = {"operator": operator, "applies": f"slots: {slots}", "expects": 1}
        await transcript.begin(step)
        try:
            revision = await fleet.apply(change, expect=1)
            step["revision"] = revision
        except StoreConflict as exc:
            step["conflict"] = exc.message
            step["difference"] = _diff(
                deployments.dump(deployments.parse(exc.value)), deployments.dump(change)
            )
    await wait_revision(fleet, revision)
    await transcript.record_fault(f"revision {revision} is in force at every process")
    await counter.send("INSERT INTO jobs (bike) VALUES ('red')")
    counter.close()
    await _record_events(fleet, transcript, CONFIGURATION_KINDS, skip=1)


SESSIONS: dict[str, Run] = {
    "ordinary_day": run_ordinary_day,
    "roaming_session": run_roaming_session,
    "primary_lost_mid_write": run_primary_lost_mid_write,
    "entry_lost_mid_transaction": run_entry_lost_mid_transaction,
    "platform_outage": run_platform_outage,
    "two_operators": run_two_operators,
}


async def record_session(name: str) -> str:
    """Run a session against a new fleet and return its transcript as YAML."""
    run = SESSIONS[name]
    transcript = Transcript(run.__doc__)
    async with make_fleet() as fleet:
        await run(fleet, transcript)
    return transcript.dump()


async def _connect(
    fleet: Fleet, transcript: Transcript, name: str, number: int
) -> Client:
    client = Client(name, transcript)
    entry = fleet.entries[number]
    await client.connect(entry.name, entry.address)
    return client


async def _record_events(
    fleet: Fleet, transcript: Transcript, kinds: frozenset[str], skip: int = 0
) -> None:
    names = [p.name for p in (*fleet.entries, *fleet.pools)]
    events = await collect_events(fleet, names)
    transcript.events = normalise(events, transcript.started, kinds, skip)


async def _wait_event(fleet: Fleet, kind: str) -> None:
    async with asyncio.timeout(EVENT_TIMEOUT_S):
        names = [pool.name for pool in fleet.pools]
        while kind not in {e.kind for e in await collect_events(fleet, names)}:
            await asyncio.sleep(POLL_S)


def _diff(theirs: str, own: str) -> list[str]:
    lines = difflib.unified_diff(theirs.splitlines(), own.splitlines(), n=0)
    return [ln for ln in lines if not ln.startswith(("---", "+++", "@@"))]
