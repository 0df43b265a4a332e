"""The program ``wasabipitch-soak``, which runs seeded fault injection tests."""

import asyncio
import contextlib
import random
import secrets
import sys
import tempfile
import time
from collections.abc import Callable
from pathlib import Path

import fire

from soak.callers import Caller, Connection, Database, Disconnected
from soak.faults import run_faults, run_returns, run_separations
from soak.fleet import SoakFleet
from soak.history import History, Report, Violation
from soak.incident import run_incident
from soak.keys import KeyCaller

DATABASES = {
    "payments": Database(0.0, True),
    "status": Database(1.5, False),
    "bookings": Database(2.5, True),
}
CALLER_COUNT = 16
KEY_CALLER_COUNT = 6
HOST_COUNT = 3
# Hosts start within a second or two. Recovery takes at most as long as a failover
# plus the time for which restarted hosts wait for the others.
START_TIMEOUT_S = 15.0
RECOVERY_TIMEOUT_S = 30.0
EXIT_VIOLATION = 1
# The counts that a run of each form prints.
COUNTS = {
    "faults": (),
    "incident": ("losses", "promotions", "lost commits", "late commits"),
    "keys": ("key ok", "key NOAUTH", "key BUSY"),
}


async def run_seed(seed: int, seconds: float, folder: Path) -> Report:
    """Run callers against a fleet under random faults and check the results.

    Args:
        seed: The seed of all random choices.
        seconds: How long faults are injected.
        folder: The directory for logs and settings.
    """
    rng = random.Random(seed)
    history = History()
    log_fault = _make_fault_log(folder)
    async with SoakFleet(folder, HOST_COUNT) as fleet:
        await _wait_writable(fleet, history, START_TIMEOUT_S)
        callers = _start_callers(fleet, history, rng)
        ended = asyncio.Event()
        faults = asyncio.ensure_future(run_faults(fleet, rng, log_fault, ended))
        returns = asyncio.ensure_future(
            run_returns(fleet, random.Random(f"returns {seed}"), log_fault)
        )
        await asyncio.sleep(seconds)
        ended.set()
        await faults
        await _cancel([returns])
        await fleet.heal()
        log_fault("all faults ended")
        await _wait_writable(fleet, history, RECOVERY_TIMEOUT_S, fleet.newest_database)
        await _cancel(callers)
        history.check_log(fleet.group.primary.log)
        history.check_promotions(fleet.group.promotions)
    return Report(seed, tuple(history.violations), dict(history.outcomes), folder)


async def run_keys(seed: int, seconds: float, folder: Path) -> Report:
    """Run callers whose keys are withdrawn while hosts get no changes.

    Args:
        seed: The seed of all random choices.
        seconds: How long faults are injected.
        folder: The directory for logs and settings.
    """
    rng = random.Random(seed)
    history = History()
    log_fault = _make_fault_log(folder)
    async with SoakFleet(folder, HOST_COUNT, has_keys=True) as fleet:
        await _wait_writable(fleet, history, START_TIMEOUT_S)
        callers = _start_callers(fleet, history, rng)
        callers += _start_key_callers(fleet, history, rng)
        faults = asyncio.ensure_future(run_separations(fleet, rng, log_fault))
        await asyncio.sleep(seconds)
        await _cancel([faults])
        await fleet.heal()
        log_fault("all faults ended")
        await _wait_writable(fleet, history, RECOVERY_TIMEOUT_S, fleet.newest_database)
        await _cancel(callers)
        history.check_log(fleet.group.primary.log)
    return Report(seed, tuple(history.violations), dict(history.outcomes), folder)


def _make_fault_log(folder: Path) -> Callable[[str], None]:
    started_s = time.monotonic()

    def log_fault(text: str) -> None:
        line = f"{time.monotonic() - started_s:7.2f}  {text}\n"
        with (folder / "faults.log").open("a", encoding="utf-8") as file:
            file.write(line)

    return log_fault


def _start_callers(
    fleet: SoakFleet, history: History, rng: random.Random
) -> list[asyncio.Task]:
    names = [f"c{n}" for n in range(CALLER_COUNT)]
    items = [f"{name}-{part}" for name in names for part in "ab"]
    return [
        asyncio.ensure_future(
            Caller(
                name,
                DATABASES,
                lambda: [host.front for host in fleet.hosts],
                items,
                history,
                random.Random(rng.random()),
            ).run()
        )
        for name in names
    ]


def _start_key_callers(
    fleet: SoakFleet, history: History, rng: random.Random
) -> list[asyncio.Task]:
    return [
        asyncio.ensure_future(
            KeyCaller(
                lambda: [host.front for host in fleet.hosts],
                lambda: fleet.version,
                fleet.withdrawals,
                history,
                random.Random(rng.random()),
            ).run()
        )
        for _ in range(KEY_CALLER_COUNT)
    ]


async def _wait_writable(
    fleet: SoakFleet, history: History, timeout_s: float, database: str = "payments"
) -> None:
    """Wait until every host serves writes, and record a violation on a timeout."""
    not_writable = {host.name: host for host in fleet.hosts}
    with contextlib.suppress(TimeoutError):
        async with asyncio.timeout(timeout_s):
            while not_writable:
                for host in list(not_writable.values()):
                    if await _is_writable(host.front, database):
                        del not_writable[host.name]
                await asyncio.sleep(0.1)
    if not_writable:
        hosts = sorted(not_writable)
        detail = f"{hosts} serve no writes to {database} after {timeout_s:.0f} s"
        history.violations.append(Violation("no recovery", detail))


async def _is_writable(address, database: str) -> bool:
    try:
        conn = await Connection.open(address, database)
    except Disconnected:
        return False
    try:
        data = f"0.probe-{secrets.token_hex(4)}"
        return (await conn.execute(f"WRITE probe {data}"))[0] == "ok"
    except Disconnected:
        return False
    finally:
        conn.close()


async def _cancel(tasks: list[asyncio.Task]) -> None:
    for task in tasks:
        task.cancel()
    await asyncio.gather(*tasks, return_exceptions=True)


def main(
    seed: int = -1,
    seconds: float = 20.0,
    runs: int = 1,
    keep: str = "",
    form: str = "faults",
    late: bool = True,
    busy: int = 0,
) -> None:
    """Run fault injection tests and exit with 1 if a guarantee was violated.

    Args:
        seed: Seed of the first run; by default a random one. The same seed injects
            the same faults in the same order.
        seconds: How long faults are injected in each run.
        runs: Number of runs; each one uses the next seed.
        keep: Directory for the logs; by default a new temporary one.
        form: ``faults`` for three hosts and one group, ``incident`` for six hosts and
            three groups that are lost and return, ``keys`` for three hosts and keys
            that are withdrawn.
        late: Whether answers of instances may leave late, in the incident form.
        busy: Number of processes that compute beside a run of the incident form.
    """
    if form not in COUNTS:
        raise ValueError(f"there is no form {form}")
    first = secrets.randbelow(1_000_000) if seed < 0 else seed
    base = Path(keep) if keep else Path(tempfile.mkdtemp(prefix="soak-"))
    broken = False
    for number in range(first, first + runs):
        folder = base / str(number)
        folder.mkdir(parents=True, exist_ok=True)
        if form == "incident":
            run = run_incident(number, seconds, folder, late, busy)
        elif form == "keys":
            run = run_keys(number, seconds, folder)
        else:
            run = run_seed(number, seconds, folder)
        report = asyncio.run(run)
        served = sum(n for name, n in report.outcomes.items() if name.endswith(" ok"))
        total = sum(report.outcomes.values())
        print(f"seed {number}: {served} of {total} served", flush=True)
        counts = [f"{n} {report.outcomes.get(n, 0)}" for n in COUNTS[form]]
        if counts:
            print(f"  {', '.join(counts)}", flush=True)
        for violation in report.violations[:5]:
            print(f"  {violation.promise}: {violation.detail}")
        if report.violations:
            broken = True
            print(
                f"  logs: {folder}; reproduce with: --form {form} --seed {number} "
                f"--seconds {seconds}"
            )
    sys.exit(EXIT_VIOLATION if broken else 0)


def cli() -> None:
    """Run the command line interface."""
    fire.Fire(main)


if __name__ == "__main__":
    cli()
