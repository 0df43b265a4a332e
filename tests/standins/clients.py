import logging
from contextlib import AsyncExitStack
from dataclasses import dataclass
from typing import Any

import asyncmy
from asyncmy.connection import Connection
from asyncmy.errors import Error

from standins.controls import StatusRow
from standins.instance import TargetConfig
from standins.target import Target

logging.getLogger("mysql_mimic").setLevel(logging.CRITICAL)

CREATE_JOBS = (
    "CREATE TABLE jobs (id BIGINT AUTO_INCREMENT PRIMARY KEY, note VARCHAR(99))"
)


@dataclass(frozen=True)
class Reply:
    rows: tuple = ()
    types: tuple = ()
    affected: int = 0
    insert_id: int = 0


async def query(conn: Connection, sql: str, args: Any = None) -> Reply:
    async with conn.cursor() as cur:
        await cur.execute(sql, args)
        if cur.description is None:
            return Reply((), (), cur.rowcount, cur.lastrowid)
        types = tuple(item[1] for item in cur.description)
        return Reply(tuple(await cur.fetchall()), types, cur.rowcount)


async def get_error(conn: Connection, sql: str) -> tuple[int, str]:
    try:
        await query(conn, sql)
    except Error as exc:
        return exc.args[0], exc.sqlstate
    raise AssertionError(f"{sql!r} did not fail")


class Group:
    """Three instances with the primary `a`, and a client connection to each."""

    def __init__(self) -> None:
        self.targets: dict[str, Target] = {}
        self.conns: dict[str, Connection] = {}
        self._stack = AsyncExitStack()

    async def __aenter__(self) -> "Group":
        for name in "abc":
            await self.add(name, primary=name == "a")
        for name in "bc":
            await self.call(name, f"follow('{self.targets['a'].address}', 1)")
        await query(self.conns["a"], CREATE_JOBS)
        await self.wait_until_caught_up("a", "b", "c")
        return self

    async def __aexit__(self, *exc_info: object) -> None:
        await self._stack.aclose()

    async def add(self, name: str, **settings: Any) -> None:
        cfg = TargetConfig(**{"name": name, "connect_ms": 0} | settings)
        self.targets[name] = await self._stack.enter_async_context(Target(cfg))
        self.conns[name] = await self.connect(name, user="harness")

    async def connect(self, name: str, user: str = "app", **kw: Any) -> Connection:
        host, port = self.targets[name].address.split(":")
        conn = await asyncmy.connect(
            host=host, port=int(port), user=user, **{"autocommit": True} | kw
        )
        self._stack.callback(conn.close)
        return conn

    async def call(self, name: str, call: str) -> StatusRow:
        reply = await query(self.conns[name], f"CALL wasabipitch_{call}")
        return StatusRow(*reply.rows[0])

    async def call_standin(self, name: str, call: str) -> None:
        await query(self.conns[name], f"CALL standin_{call}")

    async def wait_until_caught_up(self, leader: str, *names: str) -> None:
        last = await self.call(leader, "status()")
        for name in names:
            wait = f"wait({last.last_term}, {last.last_index}, 5000)"
            status = await self.call(name, wait)
            if not status.accepted:
                raise AssertionError(f"{status} has not caught up with {last}")

    async def notes(self, name: str) -> list[str]:
        reply = await query(self.conns[name], "SELECT note FROM jobs ORDER BY id")
        return [row[0] for row in reply.rows]

    async def fail_over(self, term: int, new: str, *others: str) -> None:
        for name in (new, *others):
            await self.call(name, f"fence({term})")
        await self.call(new, f"promote({term})")
        for name in others:
            follow = f"follow('{self.targets[new].address}', {term})"
            await self.call(name, follow)
