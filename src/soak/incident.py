"""The incident form of the soak: losses of whole groups, judged at each promotion."""

import asyncio
import contextlib
import random
import secrets
import sys
import time
from collections import Counter
from dataclasses import replace
from pathlib import Path

from soak.callers import THINK_TIME_S, Caller, Connection, Database, Disconnected
from soak.history import NOT_RUN_CODES, History, Report, Violation
from soak.incident_fleet import GROUPS, KINDS, IncidentFleet, name_database
from soak.strikes import Strike, StrikeRunner, draw_strike
from wasabipitch.clock import now_s
from wasabipitch.models import Address

CALLERS_PER_GROUP = 10
START_TIMEOUT_S = 20.0
# All groups serve writes again this long after the last return.
RECOVERY_TIMEOUT_S = 12.0
# The longest pause before a COMMIT, and the share of sessions that end in the middle.
COMMIT_PAUSE_S = 0.6
LEAVING_SHARE = 0.05
# A statement has 1.5 s at its route. An unharmed host answers within twice that time,
# whether or not the statement can be served.
ANSWER_BOUND_S = 3.0
PROBE_INTERVAL_S = 0.3
MS_PER_S = 1000


class IncidentCaller(Caller):
    """A caller of one group that keeps its session until the host is gone.

    A write without a definite answer may take effect after the next one. The caller
    then goes on with new items, so that versions keep the order of the log.
    """

    _generation = 0

    def _renew_items(self) -> None:
        self._generation += 1
        items = tuple(f"{self.name}-{part}{self._generation}" for part in "ab")
        for old, new in zip(self.items, items, strict=True):
            self._all_items[self._all_items.index(old)] = new
        self.items = items

    def _record_write(
        self, session: str, items: tuple[str, ...], data: str, code: str
    ) -> None:
        super()._record_write(session, items, data, code)
        if code != "ok" and code not in NOT_RUN_CODES:
            self._renew_items()

    async def _run_session(self, conn: Connection, database: str) -> None:
        session = f"{self.name}/{self._rng.getrandbits(32):08x}"
        try:
            await self._run_statements(conn, session, database)
        finally:
            self._renew_items()

    async def _run_statements(
        self, conn: Connection, session: str, database: str
    ) -> None:
        while True:
            work = self._rng.random()
            if work < 0.35:
                await self._write(conn, session)
            elif work < 0.6:
                await self._run_transaction(conn, session)
            else:
                await self._read(conn, session, self._databases[database])
            await asyncio.sleep(self._rng.expovariate(1 / THINK_TIME_S))

    async def _run_transaction(self, conn: Connection, session: str) -> None:
        data = self._next_data()
        leaves, sends = self._rng.random() < LEAVING_SHARE, self._rng.random() < 0.5
        for text in ("BEGIN", *(f"WRITE {item} {data}" for item in self.items)):
            code, _ = await conn.execute(text)
            if code != "ok":
                self._record_write(session, self.items, data, code)
                await conn.execute("ROLLBACK")
                return
        await asyncio.sleep(self._rng.uniform(0.0, COMMIT_PAUSE_S))
        if leaves:
            if sends:
                conn.send("COMMIT")
            raise Disconnected("the caller left in the middle of a transaction")
        code, _ = await conn.execute("COMMIT")
        self._record_write(session, self.items, data, code)
        if code != "ok":
            await conn.execute("ROLLBACK")


async def run_incident(
    seed: int, seconds: float, folder: Path, late: bool = True, busy: int = 0
) -> Report:
    """Run callers against groups that are lost and return, and check the results.

    Args:
        seed: The seed of the losses and of the callers' choices.
        seconds: No loss begins later than this.
        folder: The directory for logs and settings.
        late: Whether answers of instances may leave late.
        busy: The number of processes that keep processors busy meanwhile.
    """
    rng = random.Random(f"incident {seed}")
    started_s, clock_s = time.monotonic(), now_s()

    def log(text: str) -> None:
        line = f"{time.monotonic() - started_s:7.2f}  {text}\n"
        with (folder / "faults.log").open("a", encoding="utf-8") as file:
            file.write(line)

    log(f"times of violations count from {clock_s:.3f}")
    histories = {name: History() for name in GROUPS}
    common = History()
    async with IncidentFleet(folder, rng) as fleet, _keep_processors_busy(busy):
        await _check_writable(fleet, common, START_TIMEOUT_S, "the start")
        callers = _start_callers(fleet, histories, rng)
        runner = StrikeRunner(fleet, log)
        probes = [
            asyncio.ensure_future(_probe(fleet, runner, group, common))
            for group in GROUPS
        ]
        losses = 0
        while losses == 0 or time.monotonic() - started_s < seconds:
            await runner.run(_draw(rng, losses, late))
            losses += 1
            returned_s = time.monotonic()
            await _check_writable(fleet, common, RECOVERY_TIMEOUT_S, "the last return")
            log(f"all serve writes after {time.monotonic() - returned_s:.2f} s")
            runner.harmed.clear()
        await _cancel([*callers, *probes])
        _check_groups(fleet, histories)
    return _make_report(seed, folder, fleet, [common, *histories.values()], losses)


def _draw(rng: random.Random, number: int, late: bool) -> Strike:
    strike = draw_strike(rng, number)
    return strike if late else replace(strike, answer_delay_s=(0.0, 0.0))


def _check_groups(fleet: IncidentFleet, histories: dict[str, History]) -> None:
    for name, group in fleet.groups.items():
        history = histories[name]
        history.check_log(group.primary.log)
        history.check_promotions(group.promotions)
        group.judge.check_late_commits(history.acknowledged_data)


def _make_report(
    seed: int, folder: Path, fleet: IncidentFleet, histories: list[History], losses: int
) -> Report:
    judges = [group.judge for group in fleet.groups.values()]
    violations = [v for judge in judges for v in judge.violations]
    outcomes: Counter[str] = Counter()
    for history in histories:
        violations.extend(history.violations)
        outcomes.update(history.outcomes)
    outcomes["losses"] = losses
    outcomes["promotions"] = sum(judge.promotion_count for judge in judges)
    outcomes["lost commits"] = sum(judge.lost_count for judge in judges)
    outcomes["late commits"] = sum(len(judge.late_commits) for judge in judges)
    with (folder / "faults.log").open("a", encoding="utf-8") as file:
        for violation in violations:
            file.write(f"{violation.promise}: {violation.detail}\n")
        file.write(f"{dict(outcomes)}\n")
    return Report(seed, tuple(violations), dict(outcomes), folder)


def _start_callers(
    fleet: IncidentFleet, histories: dict[str, History], rng: random.Random
) -> list[asyncio.Task]:
    tasks = []
    for group, history in histories.items():
        databases = {
            name_database(group, kind): Database(age_ms / MS_PER_S, kind != KINDS[1][0])
            for kind, age_ms in KINDS
        }
        names = [f"{group}-c{n}" for n in range(CALLERS_PER_GROUP)]
        items = [f"{name}-{part}" for name in names for part in "ab"]
        for name in names:
            caller = IncidentCaller(
                name,
                databases,
                lambda: [host.front for host in fleet.hosts],
                items,
                history,
                random.Random(rng.random()),
            )
            tasks.append(asyncio.ensure_future(caller.run()))
    return tasks


async def _probe(
    fleet: IncidentFleet, runner: StrikeRunner, group: str, history: History
) -> None:
    """Write to a group at one host after the other, and time the answers."""
    database, number = name_database(group, "primary"), 0
    while True:
        host = fleet.hosts[number % len(fleet.hosts)]
        number += 1
        started_s = time.monotonic()
        outcome = await _write(host.front, database, f"{number}.probe-{group}")
        took_s = time.monotonic() - started_s
        if host.name not in runner.harmed:
            slow = " slowly" if took_s > 0.5 else ""
            history.outcomes[f"probe {outcome}{slow}"] += 1
            if took_s > ANSWER_BOUND_S:
                detail = f"{host.name} answered {outcome} after {took_s:.1f} s"
                history.violations.append(Violation("late answer", detail))
        await asyncio.sleep(PROBE_INTERVAL_S)


async def _check_writable(
    fleet: IncidentFleet, history: History, timeout_s: float, since: str
) -> None:
    """Wait until every host serves writes to every group, or record a violation."""
    waiting = {(host.name, group): host for host in fleet.hosts for group in GROUPS}
    with contextlib.suppress(TimeoutError):
        async with asyncio.timeout(timeout_s):
            while waiting:
                await _remove_writable(waiting)
                await asyncio.sleep(0.1)
    if waiting:
        detail = f"{sorted(waiting)} serve no writes {timeout_s:.0f} s after {since}"
        history.violations.append(Violation("no recovery", detail))


async def _remove_writable(waiting: dict) -> None:
    async def check(key: tuple[str, str]) -> None:
        database = name_database(key[1], "primary")
        data = f"0.check-{secrets.token_hex(4)}"
        if await _write(waiting[key].front, database, data) == "ok":
            del waiting[key]

    await asyncio.gather(*(check(key) for key in list(waiting)))


async def _write(address: Address, database: str, data: str) -> str:
    """Write on a new connection and return ``ok``, a code or ``no answer``."""
    try:
        conn = await Connection.open(address, database)
    except Disconnected:
        return "no session"
    try:
        return (await conn.execute(f"WRITE probe {data}"))[0]
    except Disconnected:
        return "no answer"
    finally:
        conn.close()


@contextlib.asynccontextmanager
async def _keep_processors_busy(count: int):
    """Run processes that compute until the end of the run."""
    processes = [
        await asyncio.create_subprocess_exec(sys.executable, "-c", "while True: pass")
        for _ in range(count)
    ]
    try:
        yield
    finally:
        for process in processes:
            process.kill()
            await process.wait()


async def _cancel(tasks: list[asyncio.Task]) -> None:
    for task in tasks:
        task.cancel()
    await asyncio.gather(*tasks, return_exceptions=True)
