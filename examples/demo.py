"""A demo of session consistency and failover with two entries and two pools.

It starts all processes on the loopback interface, prints each step and stops the
processes at the end. Run it with ``make demo``.
"""

import dataclasses
import sys
import time
from contextlib import AsyncExitStack

import asyncmy
import uvloop
import wheelcraft

from standins.fleet import Fleet, FleetConfig, RunningProcess

GROUP = "workshop1"
CREATE_JOB_CARDS = (
    "CREATE TABLE job_cards (id INTEGER PRIMARY KEY AUTO_INCREMENT, "
    "bicycle VARCHAR(80), status VARCHAR(20))"
)
CREATE_PAYMENTS = (
    "CREATE TABLE payments (id INTEGER PRIMARY KEY AUTO_INCREMENT, baht INTEGER)"
)
INSERT_PAYMENT = (
    "/* wasabipitch: id=payment-7, class=payment */ INSERT INTO payments (baht) "
)
SELECT_STATUS = "/* wasabipitch: class=repair-status */ SELECT status FROM job_cards"


class Caller:
    """A MySQL connection to an entry that prints its statements and answers.

    Args:
        name: the name in the output.
        conn: an open connection.
    """

    def __init__(self, name: str, conn: asyncmy.Connection) -> None:
        self.name = name
        self._conn = conn

    async def run(self, statement: str) -> list[tuple]:
        """Run a statement, print it with its answer and return the rows."""
        started_s = time.monotonic()
        async with self._conn.cursor() as cursor:
            await cursor.execute(statement)
            rows = list(await cursor.fetchall())
            answer = rows or f"{cursor.rowcount} rows affected"
        elapsed_ms = (time.monotonic() - started_s) * 1000
        print(f"  {self.name}> {statement}\n      {answer}  ({elapsed_ms:.0f} ms)")
        return rows


async def open_caller(
    stack: AsyncExitStack, name: str, entry: RunningProcess
) -> Caller:
    """Open a connection to an entry, which is closed with the stack."""
    conn = await asyncmy.connect(
        host=entry.address.ip,
        port=entry.address.port,
        user="app",
        database=GROUP,
        autocommit=True,
    )
    stack.callback(conn.close)
    return Caller(name, conn)


def make_config() -> FleetConfig:
    """Return a fleet with one workshop's group and two data centres."""
    deployment = wheelcraft.build()
    groups = tuple(g for g in deployment.groups if g.name == GROUP)
    return FleetConfig(
        deployment=dataclasses.replace(deployment, groups=groups),
        data_centres=("thonburi", "bangna"),
    )


async def save_job_card(mechanic: Caller) -> None:
    """Record a job card in a transaction and read it back."""
    print("A mechanic records a job card in a transaction and reads it back:")
    await mechanic.run(CREATE_JOB_CARDS)
    await mechanic.run(CREATE_PAYMENTS)
    await mechanic.run("BEGIN")
    await mechanic.run(
        "INSERT INTO job_cards (bicycle, status) VALUES ('red tandem', 'waiting')"
    )
    await mechanic.run("COMMIT")
    rows = await mechanic.run("SELECT bicycle, status FROM job_cards")
    expect(rows == [("red tandem", "waiting")], "the mechanic sees the card")


async def roam(stack: AsyncExitStack, mechanic: Caller, fleet: Fleet) -> Caller:
    """Read through the other entry, first with the session's token, then without."""
    print("The session moves to the other entry and passes on its token:")
    ((token,),) = await mechanic.run("SELECT @@wasabipitch_token")
    roaming = await open_caller(stack, "roaming", fleet.entries[1])
    await roaming.run(f"SET wasabipitch_token = '{token}'")
    rows = await roaming.run("SELECT bicycle FROM job_cards")
    expect(rows == [("red tandem",)], "it sees the card")
    print("Another session connects to that entry without a token:")
    arriving = await open_caller(stack, "arriving", fleet.entries[1])
    rows = await arriving.run("SELECT bicycle FROM job_cards")
    expect(rows == [("red tandem",)], "it sees the card as well")
    print("A status page accepts data that are a few seconds old, from a replica:")
    await arriving.run(SELECT_STATUS)
    return roaming


async def lose_primary(roaming: Caller, fleet: Fleet) -> None:
    """Kill the primary; no write is lost and no payment is booked twice."""
    print("A payment is booked with a request id:")
    await roaming.run(f"{INSERT_PAYMENT}VALUES (450)")
    old = await fleet.fetch_primary(GROUP)
    print(f"The primary, {old}, is killed. The next write waits for the failover:")
    await fleet.processes[old].kill()
    await roaming.run("UPDATE job_cards SET status = 'ready' WHERE id = 1")
    print(f"{await fleet.fetch_primary(GROUP)} is the new primary. No write was lost:")
    rows = await roaming.run("SELECT bicycle, status FROM job_cards")
    expect(rows == [("red tandem", "ready")], "the card and its change are there")
    print("The payment is sent again with the same request id:")
    await roaming.run(f"{INSERT_PAYMENT}VALUES (450)")
    rows = await roaming.run("SELECT count(*), sum(baht) FROM payments")
    expect([tuple(map(int, r)) for r in rows] == [(1, 450)], "it was booked once")


def expect(condition: bool, what: str) -> None:
    """Print that a condition holds, or end the demo with an error."""
    if not condition:
        sys.exit(f"FAILED: {what}")
    print(f"      ok: {what}")


async def main() -> None:
    """Run the scenario and stop every process."""
    print("Starting the platform, three targets, two pools and two entries...")
    async with Fleet(make_config()) as fleet, AsyncExitStack() as stack:
        mechanic = await open_caller(stack, "mechanic", fleet.entries[0])
        await save_job_card(mechanic)
        roaming = await roam(stack, mechanic, fleet)
        await lose_primary(roaming, fleet)
        print("Stopping...")
    codes = {p.name: p.process.returncode for p in fleet.processes.values()}
    unclean = {n: c for n, c in codes.items() if c not in (0, -9)}
    expect(not unclean, f"every process has ended cleanly {unclean or ''}")


if __name__ == "__main__":
    uvloop.run(main())
