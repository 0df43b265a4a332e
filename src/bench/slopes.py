"""Growth of resource use with load or size, measured at three or more sizes."""

import asyncio
import dataclasses
import random
import statistics
import time
import tracemalloc
from collections.abc import Awaitable, Callable, Iterable, Sequence
from contextlib import AsyncExitStack

from bench.callers import connect
from bench.loops import GROUP, INSERT, READ, make_deployment, prepare_table
from bench.peers import DATA_CENTRES, HostListStore, Peer
from bench.results import Point, Slope
from bench.runs import ENTRY_SETTINGS, read_counters
from bench.usage import MB, UsageMeter, read_process
from standins.fleet import Fleet, FleetConfig
from wasabipitch import contracts
from wasabipitch import deployment as deployments
from wasabipitch.contracts import Envelope
from wasabipitch.envelopes import split_document
from wasabipitch.events import Clock
from wasabipitch.links import Link
from wasabipitch.members import LIVE, MemberTable
from wasabipitch.messages import AskStatus, Hello, HostFact
from wasabipitch.models import Address, Host
from wasabipitch.store import HostList

KB = 1024
US_PER_S = 1_000_000
CONNECTION_SIZES = (500, 1000, 2000)
CONNECTION_BATCH = 50
READ_RATES_PER_S = (200, 400, 800)
WRITE_RATES_PER_S = (100, 200, 400)
LINK_SIZES = (100, 400, 1600)
RATE_CONNECTIONS = 32
ARRIVAL_RATES_PER_S = (25, 50, 100)
GROUP_SIZES = (1, 2, 4)
PEER_SIZES = (20, 40, 80, 160)
TABLE_SIZES = (100, 400, 1560)
CONFIGURATION_SIZES = (100, 400, 1700)
DIGEST_COUNT = 200
LINK_TIMEOUT_S = 2.0
PACKET_HEADER_BYTES = 52  # IPv4 and TCP, with TCP timestamps
MEASURE_S = 4.0
IDLE_S = 10.0
# This spans two periods of the watches on the platform.
PLATFORM_IDLE_S = 32.0
SETTLE_S = 2.0
SEED = 1


async def measure_connections() -> Slope:
    """Measure idle callers connected to one entry, each with a session."""
    points = []
    async with Fleet(_make_config()) as fleet, AsyncExitStack() as stack:
        entry = fleet.entries[0]
        await prepare_table(entry.address)
        count = 0
        for size in CONNECTION_SIZES:
            while count < size:
                batch = min(CONNECTION_BATCH, size - count)
                for conn in await _open_connections(entry.address, batch):
                    stack.callback(conn.close)
                count += batch
            await asyncio.sleep(SETTLE_S)
            meter = UsageMeter(fleet)
            await asyncio.sleep(MEASURE_S)
            memory = read_process(entry.process.pid).rss_bytes
            cores = meter.read_cores()[entry.name]
            points.append(Point(size, {"rss_kb": memory / KB, "cores": cores}))
    return fit_line("connections", "idle callers at one entry", "connections", points)


async def measure_reads() -> Slope:
    """Measure reads at several rates through one entry and one pool."""
    points = await _measure_rates(READ, READ_RATES_PER_S)
    return fit_line("reads", "reads through one entry and pool", "statements/s", points)


async def measure_writes() -> Slope:
    """Measure writes at several rates through one entry and one pool."""
    points = await _measure_rates(INSERT, WRITE_RATES_PER_S)
    return fit_line(
        "writes", "writes through one entry and pool", "statements/s", points
    )


async def measure_arrivals() -> Slope:
    """Measure new callers at several rates, each of which reads once.

    A new session has no token, so the pool must first confirm its floor, the
    lowest log position that its read must see.
    """
    points = []
    async with Fleet(_make_config()) as fleet:
        address = fleet.entries[0].address
        await prepare_table(address)
        for rate in ARRIVAL_RATES_PER_S:
            meter = UsageMeter(fleet)
            await _run_at_rate(rate, lambda: _connect_and_read(address))
            points.append(Point(rate, _pick_cores(meter)))
    return fit_line("arrivals", "new callers that read once", "arrivals/s", points)


async def measure_links() -> Slope:
    """Measure peers that hold idle links to one pool."""
    points = []
    async with Fleet(_make_config()) as fleet, AsyncExitStack() as stack:
        pool = fleet.pools[0]
        count = 0
        for size in LINK_SIZES:
            while count < size:
                host = Host(f"entry-{count}", "entry", "127.0.0.1:1", DATA_CENTRES[0])
                link = Link(pool.link, Hello(host, str(count)), Clock())
                stack.push_async_callback(link.close)
                await link.call(AskStatus(), LINK_TIMEOUT_S)
                count += 1
            await asyncio.sleep(SETTLE_S)
            meter = UsageMeter(fleet)
            await asyncio.sleep(MEASURE_S)
            memory = read_process(pool.process.pid).rss_bytes
            cores = meter.read_cores()[pool.name]
            points.append(Point(size, {"rss_kb": memory / KB, "cores": cores}))
    return fit_line("links", "idle links at one pool", "links", points)


async def measure_groups() -> Slope:
    """Measure idle groups that one pool owns."""
    points = []
    for size in GROUP_SIZES:
        async with Fleet(_make_config(groups=size)) as fleet:
            await asyncio.sleep(SETTLE_S)
            before = await read_counters(fleet)
            meter = UsageMeter(fleet)
            await asyncio.sleep(IDLE_S)
            after = await read_counters(fleet)
            pool = fleet.pools[0]
            values = _pick_cores(meter)
            values["pool_rss_kb"] = read_process(pool.process.pid).rss_bytes / KB
            status = await fleet.ask(pool.name, AskStatus())
            values["status_bytes"] = len(contracts.pack(Envelope(1, 1, status)))
            for name in ("store.reads", "store.writes"):
                values[f"{name}/s"] = (after[name] - before[name]) / IDLE_S
            points.append(Point(size, values))
    return fit_line("groups", "groups owned by one pool, idle", "groups", points)


async def measure_processes() -> Slope:
    """Measure idle entries and pools on one platform."""
    points = []
    for size in (1, 2, 4):
        centres = (DATA_CENTRES * 2)[:size]
        async with Fleet(_make_config(data_centres=centres)) as fleet:
            await asyncio.sleep(SETTLE_S)
            before = await read_counters(fleet)
            meter = UsageMeter(fleet)
            await asyncio.sleep(PLATFORM_IDLE_S)
            after = await read_counters(fleet)
            usage = {u.role: u.cores / u.processes for u in meter.summarize()}
            values = {f"{r}_cores_each": usage[r] for r in ("entry", "pool")}
            for name in ("store.reads", "store.writes"):
                values[f"{name}/s"] = (after[name] - before[name]) / PLATFORM_IDLE_S
            points.append(Point(size, values))
    return fit_line(
        "processes", "hosts with an entry and a pool, idle", "hosts", points
    )


async def measure_peers() -> Slope:
    """Measure members that exchange digests, all of them in this process."""
    points = []
    for size in PEER_SIZES:
        store = HostListStore()
        async with AsyncExitStack() as stack:
            peers = [Peer(i, store) for i in range(size)]
            hosts = []
            for peer in peers:
                hosts.append(await peer.start())
                stack.push_async_callback(peer.stop)
            store.host_list = HostList(tuple(hosts), 1)
            for peer in peers:
                peer.run()
            await asyncio.sleep(SETTLE_S)
            points.append(Point(size, await _measure_exchanges(peers)))
    return fit_line("peers", "members that exchange digests", "members", points)


async def measure_table() -> Slope:
    """Measure the member table of one process and the digests that it sends."""
    points = []
    for size in TABLE_SIZES:
        rng = random.Random(SEED)
        tracemalloc.start()
        table = MemberTable(_make_host(0), "0005", rng)
        for i in range(1, size):
            table.merge(HostFact(_make_host(i), f"{i:016x}", i, LIVE), 0.0)
        held, _ = tracemalloc.get_traced_memory()
        tracemalloc.stop()
        start_s = time.process_time()
        digests = [
            table.build_digest(1, f"pool-{i % size}") for i in range(DIGEST_COUNT)
        ]
        spent_s = time.process_time() - start_s
        frames = [len(contracts.pack(Envelope(1, 1, d))) for d in digests]
        values = {
            "table_kb": held / KB,
            "digest_us": spent_s / DIGEST_COUNT * US_PER_S,
            "digest_bytes": statistics.mean(frames),
            "news_s": table.compute_suspicion_timeout_s(),
        }
        points.append(Point(size, values))
    return fit_line("table", "the member table of one process", "members", points)


async def measure_configuration() -> Slope:
    """Measure a configuration's text, parsing time, memory and changed parts."""
    points = []
    for size in CONFIGURATION_SIZES:
        text = deployments.dump_json(_make_large_deployment(size))
        tracemalloc.start()
        held = deployments.parse(text)
        memory, peak = tracemalloc.get_traced_memory()
        tracemalloc.stop()
        fetched = _find_changed_parts(held, text)
        values = {
            "text_kb": len(text) / KB,
            "parse_s": _time_parse(text),
            "held_mb": memory / MB,
            "peak_mb": peak / MB,
            "fetched_kb": sum(len(part) for part in fetched) / KB,
            "fetches": float(len(fetched)),
        }
        points.append(Point(size, values))
    return fit_line("configuration", "a configuration's size", "groups", points)


def fit_line(name: str, title: str, size: str, points: Sequence[Point]) -> Slope:
    """Return the points and the least-squares line of each value.

    Args:
        name: the name on the command line.
        title: a short description of what was measured.
        size: the unit of the size.
        points: the measured points, all with the same values.
    """
    sizes = [float(p.size) for p in points]
    per_unit, base = {}, {}
    for key in points[0].values:
        line = statistics.linear_regression(sizes, [p.values[key] for p in points])
        per_unit[key] = line.slope
        base[key] = line.intercept
    rounded = tuple(
        Point(p.size, {k: round(v, 5) for k, v in p.values.items()}) for p in points
    )
    return Slope(name, title, size, rounded, per_unit, base)


def _make_config(
    groups: int = 1, data_centres: Iterable[str] = DATA_CENTRES[:1]
) -> FleetConfig:
    deployment = make_deployment(groups=groups, connections=64)
    return FleetConfig(deployment, tuple(data_centres), entry_settings=ENTRY_SETTINGS)


async def _open_connections(address: Address, count: int) -> list:
    return await asyncio.gather(*(connect(address, GROUP) for _ in range(count)))


def _pick_cores(meter: UsageMeter) -> dict[str, float]:
    cores = {u.role: u.cores for u in meter.summarize()}
    return {f"{role}_cores": cores[role] for role in ("entry", "pool")}


async def _measure_rates(statement: str, rates: Sequence[int]) -> list[Point]:
    points = []
    async with Fleet(_make_config()) as fleet, AsyncExitStack() as stack:
        await prepare_table(fleet.entries[0].address)
        conns = await _open_connections(fleet.entries[0].address, RATE_CONNECTIONS)
        idle: asyncio.Queue = asyncio.Queue()
        for conn in conns:
            stack.callback(conn.close)
            idle.put_nowait(conn)
        for rate in rates:
            meter = UsageMeter(fleet)
            start_s = time.monotonic()
            count = await _run_at_rate(rate, lambda: _send_statement(idle, statement))
            values = _pick_cores(meter)
            values["sent/s"] = count / (time.monotonic() - start_s)
            points.append(Point(rate, values))
    return points


async def _send_statement(idle: asyncio.Queue, statement: str) -> None:
    conn = await idle.get()
    try:
        async with conn.cursor() as cursor:
            await cursor.execute(statement)
    finally:
        idle.put_nowait(conn)


async def _connect_and_read(address: Address) -> None:
    conn = await connect(address, GROUP)
    try:
        async with conn.cursor() as cursor:
            await cursor.execute(READ)
    finally:
        conn.close()


async def _run_at_rate(rate: float, work: Callable[[], Awaitable[None]]) -> int:
    """Start work at a constant rate for ``MEASURE_S`` and return the count.

    The rate does not depend on whether earlier work has finished.
    """
    start_s = time.monotonic()
    count = int(rate * MEASURE_S)
    async with asyncio.TaskGroup() as tasks:
        for i in range(count):
            wait_s = start_s + i / rate - time.monotonic()
            if wait_s > 0:
                await asyncio.sleep(wait_s)
            tasks.create_task(work())
    return count


async def _measure_exchanges(peers: Sequence[Peer]) -> dict[str, float]:
    answered = sum(p.answered for p in peers)
    start_s, cpu_s = time.monotonic(), time.process_time()
    await asyncio.sleep(IDLE_S)
    elapsed_s = time.monotonic() - start_s
    exchanges = (sum(p.answered for p in peers) - answered) / elapsed_s / len(peers)
    digest = peers[0].membership.table.build_digest(1, "")
    size = len(contracts.pack(Envelope(1, 1, digest))) + PACKET_HEADER_BYTES
    return {
        "cores_each": (time.process_time() - cpu_s) / elapsed_s / len(peers),
        "exchanges/s": exchanges,
        # A member starts as many exchanges as it answers; each has two digests.
        "bytes/s": exchanges * 2 * 2 * size,
        "known_live": float(len(peers[0].membership.live("pool"))),
    }


def _make_host(number: int) -> Host:
    address = f"10.20.{number // 250}.{number % 250}:40000"
    name = f"pool-{number}"
    return Host(name, "pool", address, DATA_CENTRES[number % len(DATA_CENTRES)])


def _make_large_deployment(groups: int) -> deployments.Deployment:
    return deployments.Deployment(
        name="large",
        groups=tuple(
            deployments.Group(
                name=f"workshop{i}",
                instances=tuple(
                    deployments.Instance(
                        f"workshop{i}-{dc}", f"10.{i // 250}.{i % 250}.{j}:3306", dc
                    )
                    for j, dc in enumerate(DATA_CENTRES, start=1)
                ),
            )
            for i in range(groups)
        ),
    )


def _find_changed_parts(held: deployments.Deployment, text: str) -> set[str]:
    """Return the document parts that change when one middle group changes."""
    middle = len(held.groups) // 2
    group = dataclasses.replace(held.groups[middle], connections=30)
    groups = (*held.groups[:middle], group, *held.groups[middle + 1 :])
    changed = deployments.dump_json(dataclasses.replace(held, groups=groups))
    return set(split_document(changed)) - set(split_document(text))


def _time_parse(text: str) -> float:
    start_s = time.process_time()
    deployments.parse(text)
    return time.process_time() - start_s


SLOPES: dict[str, Callable[[], Awaitable[Slope]]] = {
    "connections": measure_connections,
    "reads": measure_reads,
    "writes": measure_writes,
    "arrivals": measure_arrivals,
    "links": measure_links,
    "groups": measure_groups,
    "processes": measure_processes,
    "peers": measure_peers,
    "table": measure_table,
    "configuration": measure_configuration,
}
