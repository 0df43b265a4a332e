"""Runs the stand-in platform as a process.

It serves a key-value store and the host list as JSON over HTTP. Tests inject faults
by the paths under `/admin/`, which faults do not affect.
"""

import asyncio
import json
import logging
import signal
import time
from collections import Counter
from collections.abc import Awaitable, Callable
from contextlib import AsyncExitStack
from dataclasses import asdict, dataclass, field
from typing import Any

import msgspec
from aiohttp import web

from standins.exceptions import ConflictError, NoSuchLeaseError, ValueTooLargeError
from standins.faults import AnswerLoss, Faults, RateLimit
from standins.hosts import Host, Hosts
from standins.store import Item, Store

MAX_BODY_BYTES = 8 << 20
LEASE_SWEEP_INTERVAL_S = 0.05
HOST_POLL_INTERVAL_S = 0.02
STOP_TIMEOUT_S = 1.0
Handler = Callable[[web.Request], Awaitable[web.StreamResponse]]

logger = logging.getLogger(__name__)


@dataclass(frozen=True)
class PlatformConfig:
    """Settings of the platform.

    Attributes:
        host: IP address to listen on.
        port: Port to listen on; 0 lets the kernel choose.
        faults: Faults at the start.
        seed: Seed of the random choice of lost answers.
    """

    host: str = "127.0.0.1"
    port: int = 0
    faults: Faults = field(default_factory=Faults)
    seed: int = 1


@dataclass(frozen=True)
class PutBody:
    """Body of PUT /kv/{key}.

    Attributes:
        value: The new value.
        expect: Revision that the key must have, 0 if it must be absent, or None for no
            condition.
        lease: Id of the lease to attach the key to, or None.
    """

    value: str
    expect: int | None = None
    lease: str | None = None


@dataclass(frozen=True)
class LeaseBody:
    """Body of POST /leases.

    Attributes:
        ttl_s: Time between a renewal and the expiry, in seconds.
    """

    ttl_s: float


@dataclass(frozen=True)
class HostsBody:
    """Body of PUT /admin/hosts that replaces the whole list.

    Attributes:
        hosts: The new list.
    """

    hosts: list[Host]


class Platform:
    """HTTP server of the platform.

    It is an asynchronous context manager: the server runs within the block.

    Args:
        cfg: Settings of the platform.

    Attributes:
        address: Address of the server as `ip:port`; empty until it listens.
        faults: Faults that are in force.
        store: Key-value store.
        hosts: Host list.
        calls: Number of calls by method and resource, and of those refused or lost.
        watches: Number of watches that wait.
    """

    def __init__(self, cfg: PlatformConfig) -> None:
        self.cfg = cfg
        self.address = ""
        self.faults = cfg.faults
        self.store = Store()
        self.hosts = Hosts(cfg.faults.host_lag_s)
        self.calls: Counter[str] = Counter()
        self.watches = 0
        self._read_limit = RateLimit(cfg.faults.reads_per_s)
        self._write_limit = RateLimit(cfg.faults.writes_per_s)
        self._answer_loss = AnswerLoss(cfg.seed)
        self._answer_loss.set(cfg.faults.lose_answers)
        self._stack = AsyncExitStack()

    async def __aenter__(self) -> "Platform":
        app = web.Application(
            middlewares=[self._inject_faults, self._map_errors],
            client_max_size=MAX_BODY_BYTES,
        )
        self._add_routes(app)
        runner = web.AppRunner(app, access_log=None, shutdown_timeout=STOP_TIMEOUT_S)
        self._stack.push_async_callback(runner.cleanup)
        await runner.setup()
        await web.TCPSite(runner, self.cfg.host, self.cfg.port).start()
        host, port = runner.addresses[0][:2]
        self.address = f"{host}:{port}"
        expiry_task = asyncio.get_running_loop().create_task(self._expire_leases())
        self._stack.callback(expiry_task.cancel)
        return self

    async def __aexit__(self, *exc_info: object) -> None:
        await self._stack.aclose()

    def _add_routes(self, app: web.Application) -> None:
        app.add_routes(
            [
                web.get("/kv/{key:.+}", self._get_key),
                web.put("/kv/{key:.+}", self._put_key),
                web.delete("/kv/{key:.+}", self._delete_key),
                web.post("/leases", self._grant_lease),
                web.post("/leases/{lease}/renew", self._renew_lease),
                web.delete("/leases/{lease}", self._revoke_lease),
                web.get("/hosts", self._get_hosts),
                web.put("/admin/hosts", self._put_hosts),
                web.delete("/admin/hosts/{name}", self._delete_host),
                web.put("/admin/faults", self._put_faults),
                web.get("/admin/stats", self._get_stats),
            ]
        )

    # Middleware

    @web.middleware
    async def _inject_faults(
        self, req: web.Request, handler: Handler
    ) -> web.StreamResponse:
        if req.path.startswith("/admin/"):
            return await handler(req)
        if self.faults.down:
            return _abort_connection(req)
        is_read = req.method == "GET"
        self.calls[_call_name(req)] += 1
        if not (self._read_limit if is_read else self._write_limit).try_spend():
            self.calls["refused"] += 1
            return _error(
                429, f"rate limit for {'reads' if is_read else 'writes'} exceeded"
            )
        await asyncio.sleep(self.faults.delay_ms / 1000)
        if self.faults.down:
            return _abort_connection(req)
        resp = await handler(req)
        if self.faults.down or (
            not is_read and resp.status < 400 and self._loses_answer()
        ):
            return _abort_connection(req)
        return resp

    @web.middleware
    async def _map_errors(
        self, req: web.Request, handler: Handler
    ) -> web.StreamResponse:
        try:
            return await handler(req)
        except ConflictError as exc:
            return web.json_response(_item_body(exc.current), status=409)
        except NoSuchLeaseError as exc:
            return _error(404, str(exc))
        except ValueTooLargeError as exc:
            return _error(413, str(exc))
        except (msgspec.DecodeError, ValueError) as exc:
            return _error(400, str(exc))
        except web.HTTPException as exc:
            return _error(exc.status, exc.reason)

    def _loses_answer(self) -> bool:
        lost = self._answer_loss.lose_next()
        self.calls["lost"] += lost
        return lost

    # Keys

    async def _get_key(self, req: web.Request) -> web.Response:
        key, after = req.match_info["key"], int(req.query.get("after", 0))
        wait_s = float(req.query.get("wait", 0))
        changed = True
        if wait_s > 0:
            changed = await self._watch(
                lambda: self.store.get(key).is_newer_than(after), wait_s
            )
        item = self.store.get(key)
        if item.value is None:
            return web.json_response(_item_body(item), status=404)
        if not changed:
            return web.Response(status=304)
        return web.json_response(_item_body(item))

    async def _watch(self, changed: Callable[[], bool], wait_s: float) -> bool:
        self.watches += 1
        try:
            await self.store.changed.wait_for(
                lambda: self.faults.down or changed(), wait_s
            )
        finally:
            self.watches -= 1
        return changed()

    async def _put_key(self, req: web.Request) -> web.Response:
        body = msgspec.json.decode(await req.read(), type=PutBody)
        revision = self.store.put(
            req.match_info["key"], body.value, body.expect, body.lease
        )
        return web.json_response({"revision": revision})

    async def _delete_key(self, req: web.Request) -> web.Response:
        key, expect = req.match_info["key"], req.query.get("expect")
        is_absent = self.store.get(key).value is None
        if is_absent and expect is None:
            return _error(404, f"key {key!r} does not exist")
        revision = self.store.delete(key, None if expect is None else int(expect))
        return web.json_response({"revision": revision})

    # Leases

    async def _grant_lease(self, req: web.Request) -> web.Response:
        body = msgspec.json.decode(await req.read(), type=LeaseBody)
        if body.ttl_s <= 0:
            return _error(400, f"ttl_s: {body.ttl_s} is not above 0")
        return web.json_response({"lease": self.store.grant(body.ttl_s)})

    async def _renew_lease(self, req: web.Request) -> web.Response:
        self.store.renew(req.match_info["lease"])
        return web.json_response({"lease": req.match_info["lease"]})

    async def _revoke_lease(self, req: web.Request) -> web.Response:
        self.store.revoke(req.match_info["lease"])
        return web.json_response({"lease": req.match_info["lease"]})

    # Hosts

    async def _get_hosts(self, req: web.Request) -> web.Response:
        wait_s, after = float(req.query.get("wait", 0)), int(req.query.get("after", 0))
        deadline = time.monotonic() + wait_s
        self.watches += 1
        try:
            while self._hosts_unchanged(after) and time.monotonic() < deadline:
                await asyncio.sleep(HOST_POLL_INTERVAL_S)
        finally:
            self.watches -= 1
        if wait_s > 0 and self._hosts_unchanged(after):
            return web.Response(status=304)
        return web.json_response(asdict(self.hosts.lagged()))

    def _hosts_unchanged(self, after: int) -> bool:
        return not self.faults.down and self.hosts.lagged().revision <= after

    async def _put_hosts(self, req: web.Request) -> web.Response:
        body = msgspec.json.decode(await req.read(), type=dict[str, Any])
        if "hosts" in body:
            self.hosts.replace(msgspec.convert(body, HostsBody).hosts)
        else:
            self.hosts.put(msgspec.convert(body, Host))
        return web.json_response({"revision": self.hosts.latest.revision})

    async def _delete_host(self, req: web.Request) -> web.Response:
        name = req.match_info["name"]
        if not self.hosts.remove(name):
            return _error(404, f"host {name!r} does not exist")
        return web.json_response({"revision": self.hosts.latest.revision})

    # Faults

    async def _put_faults(self, req: web.Request) -> web.Response:
        changes = msgspec.json.decode(await req.read(), type=dict[str, Any])
        known = asdict(self.faults)
        unknown = sorted(set(changes) - set(known))
        if unknown:
            return _error(400, f"unknown fault settings: {', '.join(unknown)}")
        self.faults = msgspec.convert(known | changes, Faults)
        if "lose_answers" in changes:
            self._answer_loss.set(self.faults.lose_answers)
        self.hosts.lag_s = self.faults.host_lag_s
        self._read_limit.per_s = self.faults.reads_per_s
        self._write_limit.per_s = self.faults.writes_per_s
        self.store.changed.notify()
        return web.json_response(asdict(self.faults))

    async def _get_stats(self, req: web.Request) -> web.Response:
        return web.json_response({"calls": self.calls, "watches": self.watches})

    async def _expire_leases(self) -> None:
        while True:
            await asyncio.sleep(LEASE_SWEEP_INTERVAL_S)
            self.store.expire_leases()


def _abort_connection(req: web.Request) -> web.Response:
    if req.transport is not None:
        req.transport.abort()
    return web.Response(status=503)


def _error(status: int, reason: str) -> web.Response:
    return web.json_response({"error": reason}, status=status)


def _item_body(item: Item) -> dict[str, Any]:
    return {"key": item.key, "value": item.value, "revision": item.expected}


def _call_name(req: web.Request) -> str:
    resource = req.path.split("/", 2)[1]
    if "wait" in req.query:
        return f"watch {resource}"
    return f"{req.method.lower()} {resource}"


async def serve(cfg: PlatformConfig) -> None:
    """Run the platform until SIGTERM or SIGINT.

    Once the platform accepts connections, one JSON line with its name and address is
    written to standard output.
    """
    stop = asyncio.Event()
    loop = asyncio.get_running_loop()
    for signum in (signal.SIGTERM, signal.SIGINT):
        loop.add_signal_handler(signum, stop.set)
    async with Platform(cfg) as platform:
        ready = {"ready": True, "name": "platform", "address": platform.address}
        print(json.dumps(ready), flush=True)
        await stop.wait()


if __name__ == "__main__":
    from standins import cli

    cli.platform()
