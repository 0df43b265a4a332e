"""Closed-loop measurements: the overhead of the proxy, and repeated failovers."""

import asyncio
import dataclasses
import signal
import statistics
import time
from collections.abc import Sequence
from contextlib import AsyncExitStack
from dataclasses import dataclass

from bench.callers import ANSWER_ERRORS, USER, connect
from bench.recording import new_histogram, percentile_ms, record_duration
from bench.runs import ENTRY_SETTINGS
from bench.summaries import find_gap_s
from bench.usage import UsageMeter
from bench.variants import find_policy
from standins.fleet import HARNESS_USER, Fleet, FleetConfig
from wasabipitch.deployment import Deployment, Group, Instance, RequestClass
from wasabipitch.models import Address

GROUP = "workshop"
DATA_CENTRES = ("thonburi", "bangna", "chatuchak")
TABLE = "CREATE TABLE jobs (id INTEGER PRIMARY KEY AUTO_INCREMENT, bike VARCHAR(40))"
INSERT = "INSERT INTO jobs (bike) VALUES ('red')"
READ = "SELECT id, bike FROM jobs WHERE id = 1"
PATH_CONNECTIONS = 64
PATH_SECONDS = 3.0
P50 = 50
P99 = 99
WRITER_COUNT = 12
WRITE_PAUSE_S = 0.1
RECONNECT_PAUSE_S = 0.02
DELAY_BEFORE_LOSS_S = 1.0
OBSERVE_S = 3.0
REJOIN_TIMEOUT_S = 20.0
POLL_S = 0.1
FAILOVER_LIMIT_S = 9.0
LOSSES = {"kill": signal.SIGKILL, "freeze": signal.SIGSTOP}


@dataclass(frozen=True)
class PathResult:
    """The result of closed-loop callers on one way to the target in one round.

    Args:
        way: ``direct`` to the instance, or ``proxy`` through an entry and a pool.
        statement: the SQL statement that every request runs.
        connections: the number of connections that send requests.
        requests_per_s: the throughput of all connections together.
        p50_ms: the median response time.
        p99_ms: the 99th percentile of the response time.
        entry_cores: the processor cores that the entry used.
        pool_cores: the processor cores that the pool used.
    """

    way: str
    statement: str
    connections: int
    requests_per_s: float
    p50_ms: float
    p99_ms: float
    entry_cores: float = 0.0
    pool_cores: float = 0.0


@dataclass(frozen=True)
class FailoverResult:
    """The result of repeated failures of the primary.

    Args:
        variant: the name of the policy variant.
        loss: ``kill`` if the primary's process was ended, ``freeze`` if it was
            suspended, so that its connections stayed open without answers.
        kills: the number of failures.
        gaps_s: the longest time without an acknowledged write, for each failure.
        median_s: the median of the gaps.
        worst_s: the longest gap.
        failed_writes: the number of failed connections and writes.
    """

    variant: str
    loss: str
    kills: int
    gaps_s: tuple[float, ...]
    median_s: float
    worst_s: float
    failed_writes: int


def make_deployment(
    groups: int = 1,
    connections: int = 16,
    data_centres: Sequence[str] = DATA_CENTRES,
    variant: str = "full",
) -> Deployment:
    """Return a small deployment whose groups have three instances each."""
    names = [GROUP] if groups == 1 else [f"{GROUP}{i}" for i in range(groups)]
    return Deployment(
        name="bench",
        groups=tuple(
            Group(
                name=name,
                instances=tuple(
                    Instance(f"{name}-{dc}", f"127.0.0.1:{port}", dc)
                    for port, dc in enumerate(data_centres[:3], start=1)
                ),
                connections=connections,
            )
            for name in names
        ),
        classes=(RequestClass(name="lookup", max_age_s=3.0),),
        policy=find_policy(variant),
    )


async def prepare_table(entry: Address, group: str = GROUP) -> None:
    """Create the table of the measurements and insert one row."""
    conn = await connect(entry, group)
    async with conn.cursor() as cursor:
        await cursor.execute(TABLE)
        await cursor.execute(INSERT)
    conn.close()


async def measure_path(connections: int = 8, rounds: int = 3) -> list[PathResult]:
    """Measure direct connections and connections through the proxy alternately.

    Args:
        connections: the number of caller connections on either way.
        rounds: the number of measurements of each way.
    """
    results = []
    deployment = make_deployment(connections=PATH_CONNECTIONS)
    cfg = FleetConfig(deployment, ("thonburi",), entry_settings=ENTRY_SETTINGS)
    async with Fleet(cfg) as fleet:
        await prepare_table(fleet.entries[0].address)
        target = fleet.processes[await fleet.fetch_primary(GROUP)].address
        ways = {"direct": target, "proxy": fleet.entries[0].address}
        for _ in range(rounds):
            for way, address in ways.items():
                meter = UsageMeter(fleet)
                result = await _measure_route(way, address, connections, READ)
                cores = {u.role: u.cores for u in meter.summarize()}
                results.append(
                    dataclasses.replace(
                        result, entry_cores=cores["entry"], pool_cores=cores["pool"]
                    )
                )
    return results


async def _measure_route(
    way: str, address: Address, connections: int, statement: str
) -> PathResult:
    histogram = new_histogram()
    async with AsyncExitStack() as stack:
        conns = [await connect(address, GROUP) for _ in range(connections)]
        for conn in conns:
            stack.callback(conn.close)
        end_s = time.monotonic() + PATH_SECONDS
        await asyncio.gather(
            *(_repeat_statement(conn, statement, end_s, histogram) for conn in conns)
        )
    return PathResult(
        way=way,
        statement=statement,
        connections=connections,
        requests_per_s=round(histogram.get_total_count() / PATH_SECONDS, 1),
        p50_ms=percentile_ms(histogram, P50),
        p99_ms=percentile_ms(histogram, P99),
    )


async def _repeat_statement(conn, statement: str, end_s: float, histogram) -> None:
    async with conn.cursor() as cursor:
        while (start_s := time.monotonic()) < end_s:
            await cursor.execute(statement)
            await cursor.fetchall()
            record_duration(histogram, time.monotonic() - start_s)


class Writers:
    """Connections that write at intervals and record each acknowledgement.

    Args:
        entries: the addresses of the entries, used in rotation.
    """

    def __init__(self, entries: Sequence[Address]) -> None:
        self._entries = entries
        self.acknowledged_s: list[float] = []
        self.failed = 0

    async def run(self) -> None:
        """Write until cancelled."""
        async with asyncio.TaskGroup() as tasks:
            for number in range(WRITER_COUNT):
                address = self._entries[number % len(self._entries)]
                tasks.create_task(self._write(address))

    async def _write(self, address: Address) -> None:
        while True:
            try:
                conn = await connect(address, GROUP)
                try:
                    await self._write_on(conn)
                finally:
                    conn.close()
            except ANSWER_ERRORS:
                self.failed += 1
                await asyncio.sleep(RECONNECT_PAUSE_S)

    async def _write_on(self, conn) -> None:
        async with conn.cursor() as cursor:
            while True:
                await cursor.execute(INSERT)
                self.acknowledged_s.append(time.monotonic())
                await asyncio.sleep(WRITE_PAUSE_S)


async def measure_failovers(kills: int, variant: str, loss: str) -> FailoverResult:
    """Fail the primary repeatedly; the failed instance rejoins with no data.

    Args:
        kills: the number of failures.
        variant: the name of the policy variant.
        loss: the kind of failure, a key of ``LOSSES``.
    """
    deployment = make_deployment(variant=variant)
    settings = {"callers": [{"name": USER}, {"name": HARNESS_USER}]}
    cfg = FleetConfig(deployment, DATA_CENTRES, entry_settings=settings)
    gaps = []
    async with Fleet(cfg) as fleet:
        await prepare_table(fleet.entries[0].address)
        writers = Writers([entry.address for entry in fleet.entries])
        task = asyncio.create_task(writers.run())
        try:
            for _ in range(kills):
                gaps.append(await _lose_primary(fleet, writers, loss))
        finally:
            task.cancel()
            await asyncio.gather(task, return_exceptions=True)
    return FailoverResult(
        variant=variant,
        loss=loss,
        kills=kills,
        gaps_s=tuple(round(g, 3) for g in gaps),
        median_s=round(statistics.median(gaps), 3),
        worst_s=round(max(gaps), 3),
        failed_writes=writers.failed,
    )


async def _lose_primary(fleet: Fleet, writers: Writers, loss: str) -> float:
    await asyncio.sleep(DELAY_BEFORE_LOSS_S)
    primary = await fleet.fetch_primary(GROUP)
    start_s = time.monotonic()
    fleet.processes[primary].send(LOSSES[loss])
    # An acknowledgement sent just before the failure can arrive just after it, so
    # only one that is at least POLL_S later ends the wait.
    await asyncio.sleep(OBSERVE_S)
    while not any(t > start_s + POLL_S for t in writers.acknowledged_s):
        if time.monotonic() - start_s > FAILOVER_LIMIT_S + OBSERVE_S:
            break
        await asyncio.sleep(POLL_S)
    gap_s = find_gap_s(writers.acknowledged_s, start_s, time.monotonic())
    await fleet.processes[primary].kill()
    group = fleet.deployment.group(GROUP)
    await fleet.start_target(group, primary, initial=False)
    async with asyncio.timeout(REJOIN_TIMEOUT_S):
        while not await _is_member(fleet, primary):
            await asyncio.sleep(POLL_S)
    return gap_s


async def _is_member(fleet: Fleet, name: str) -> bool:
    status = await fleet.call_target(name, "CALL wasabipitch_status()")
    return bool(int(status.get("member", 0)))
