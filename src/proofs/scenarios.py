"""Runs callers against a fleet under faults, and reads the final state."""

import asyncio
import dataclasses
from collections.abc import Sequence
from dataclasses import dataclass

import asyncmy

from proofs.checker import Violation, check
from proofs.faults import GROUP, STATUS, Fault, find_primary
from proofs.history import FinalState, History
from proofs.recorder import SCHEMA, Recorder
from standins.fleet import HARNESS_USER, Fleet, FleetConfig
from wasabipitch.deployment import Deployment, Group, Instance, RequestClass
from wasabipitch.messages import AskStatus
from wasabipitch.models import Address

DATA_CENTRES = ("thonburi", "bangna", "chatuchak")
CALLERS = 8
# The time without faults before and after each fault.
FAULT_FREE_S = 0.4
CATCH_UP_TIMEOUT_S = 20.0
POLL_S = 0.1
# The time within which every process applies a changed configuration.
PROPAGATION_TIMEOUT_S = 4.0
# Changes of the platform's list are visible after one second and the list is
# fetched every half second. A process watches the store again within one second
# after a change.
DISCOVERY_S = 2.5
PAYMENT_DEADLINE_S = 4.0


@dataclass(frozen=True)
class Report:
    """The result of a run.

    Args:
        history: The attempts of all callers.
        state: The final state of the database.
        violations: The violations of the guarantees.
    """

    history: History
    state: FinalState
    violations: list[Violation]


def make_deployment(name: str = "proofs") -> Deployment:
    """Return a deployment of a three-instance group with two request classes."""
    instances = tuple(
        Instance(name=f"w{number}", address="127.0.0.1:1", data_centre=data_centre)
        for number, data_centre in enumerate(DATA_CENTRES, 1)
    )
    classes = (
        RequestClass(name="lookup", max_age_s=2.0),
        RequestClass(name="payment", idempotent=False, deadline_s=PAYMENT_DEADLINE_S),
    )
    return Deployment(name, (Group(name=GROUP, instances=instances),), classes)


def make_fleet(**fields) -> Fleet:
    """Return a fleet of three targets, two entries and two pools."""
    return Fleet(FleetConfig(make_deployment(), DATA_CENTRES[:2], **fields))


async def connect(address: Address, user: str = "app") -> asyncmy.Connection:
    """Open a plain client connection to an entry or a target."""
    return await asyncmy.connect(
        host=address.ip, port=address.port, user=user, database=GROUP, autocommit=True
    )


async def run_statements(address: Address, statements: Sequence[str]) -> None:
    """Run statements over a new connection."""
    conn = await connect(address)
    try:
        async with conn.cursor() as cursor:
            for statement in statements:
                await cursor.execute(statement)
    finally:
        conn.close()


async def run_scenario(
    fleet: Fleet, faults: Sequence[Fault], seed: int, callers: int = CALLERS
) -> Report:
    """Run callers while faults are injected in sequence, and check the history.

    Args:
        fleet: A running fleet without tables; they are created here.
        faults: The faults in order. Each one undoes its effect before it returns.
        seed: The seed of the callers' random choices.
        callers: The number of concurrent callers.
    """
    await run_statements(fleet.entries[0].address, SCHEMA)

    def list_entries() -> list[Address]:
        return [entry.address for entry in fleet.entries]

    async with Recorder(list_entries, callers, seed) as recorder:
        await asyncio.sleep(FAULT_FREE_S)
        for fault in faults:
            await fault(fleet)
            await asyncio.sleep(FAULT_FREE_S)
    state = await read_final_state(fleet)
    return Report(recorder.history, state, check(recorder.history, state))


async def wait_for_discovery(fleet: Fleet) -> None:
    """Wait until all processes have discovered each other and watch the store."""
    await asyncio.sleep(DISCOVERY_S)


def with_slots(deployment: Deployment, slots: int) -> Deployment:
    """Return a copy of the deployment with another number of slots per group."""
    groups = tuple(dataclasses.replace(g, slots=slots) for g in deployment.groups)
    return dataclasses.replace(deployment, groups=groups)


async def read_revisions(fleet: Fleet) -> list[int]:
    """Return the configuration revision that each entry and pool has applied."""
    processes = (*fleet.entries, *fleet.pools)
    return [(await fleet.ask(p.name, AskStatus())).revision for p in processes]


async def wait_revision(fleet: Fleet, revision: int) -> None:
    """Wait until every entry and pool has applied a configuration revision.

    Raises:
        TimeoutError: It is not applied within ``PROPAGATION_TIMEOUT_S``.
    """
    async with asyncio.timeout(PROPAGATION_TIMEOUT_S):
        while min(await read_revisions(fleet)) < revision:
            await asyncio.sleep(POLL_S)


async def read_final_state(fleet: Fleet) -> FinalState:
    """Wait until all instances hold the same log, and return the primary's rows."""
    await wait_same_logs(fleet)
    address = fleet.processes[await find_primary(fleet)].address
    conn = await connect(address, HARNESS_USER)
    try:
        async with conn.cursor() as cursor:
            jobs = await _read_column(cursor, "value", "jobs")
            payments = await _read_column(cursor, "value", "payments")
            pairs = await _read_column(cursor, "side || ':' || value", "pairs")
    finally:
        conn.close()
    return FinalState(jobs, payments, pairs)


async def wait_same_logs(fleet: Fleet) -> None:
    """Wait until all instances of the group respond and hold the same log."""
    names = [i.name for i in fleet.deployment.group(GROUP).instances]
    async with asyncio.timeout(CATCH_UP_TIMEOUT_S):
        while True:
            try:
                rows = [await fleet.call_target(n, STATUS) for n in names]
            except (OSError, asyncmy.errors.Error):
                rows = []
            positions = {(r["last_term"], r["last_index"]) for r in rows}
            if len(positions) == 1:
                return
            await asyncio.sleep(POLL_S)


async def _read_column(cursor, column: str, table: str) -> tuple[str, ...]:
    await cursor.execute(f"SELECT {column} FROM {table} ORDER BY id")
    return tuple(row[0] for row in await cursor.fetchall())
