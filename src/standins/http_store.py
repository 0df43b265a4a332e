"""The HTTP API of the platform's store and promotions, on an in-memory store."""

import asyncio
import base64
import contextlib
import json
from collections import Counter
from collections.abc import Iterable, Mapping
from dataclasses import dataclass
from typing import Any

from aiohttp import web

from standins.line_group import LineGroup, LineInstance
from standins.memory_store import MemoryStore, StoreCopy
from wasabipitch.clock import now_s
from wasabipitch.coordination.revisions import find_number, make_revision
from wasabipitch.coordination.store import ABSENT, Item, Removal
from wasabipitch.exceptions import (
    HistoryLost,
    LeaseEnded,
    PromotionRefused,
    RecordConflict,
    StoreUnavailable,
)
from wasabipitch.models import Address
from wasabipitch.verdict import Verdict

HOST = "127.0.0.1"
# Small enough that lists in the tests span several pages.
PAGE_ITEMS = 20
LEASE_CHECK_INTERVAL_S = 0.1
PROMOTION_DELAY_S = 0.3
MS_PER_S = 1000
CONFIGURATION_KEY = "op/config"
INSTANCES_PREFIX = "servers/"


@dataclass(frozen=True, slots=True)
class RouteSpec:
    """A route in the operators' configuration.

    Args:
        database: The database that callers connect to.
        kind: The platform's type of the route, which sets its read consistency.
        max_age_ms: The maximum age of the data that a read returns.
    """

    database: str
    kind: str
    max_age_ms: int = 0


def _encode(event: Item | Removal) -> dict[str, Any]:
    if isinstance(event, Removal):
        number = find_number(event.revision)
        return {"Key": event.key, "Revision": number, "Deleted": True}
    return {
        "Key": event.key,
        "Value": base64.b64encode(event.value).decode(),
        "Revision": find_number(event.revision),
        "Lease": event.lease,
    }


class PlatformService:
    """An HTTP server for the store and for promotions in some groups.

    Args:
        groups: The groups by name.
    """

    def __init__(self, groups: dict[str, LineGroup]) -> None:
        self.store = MemoryStore()
        # The delay before each call is handled.
        self.delay_s = 0.0
        # How long an order to promote is held before the group receives it.
        self.promotion_delay_s = PROMOTION_DELAY_S
        self.port = 0
        self._groups = groups
        # How often each instance has written its registration.
        self._sequences: Counter[str] = Counter()
        self._ttls_s: dict[int, float] = {}
        self._expiries_s: dict[int, float] = {}
        self._runner: web.AppRunner | None = None
        self._stack = contextlib.AsyncExitStack()

    async def start(self) -> None:
        """Start listening on a free port."""
        app = web.Application(middlewares=[self._translate_errors])
        app.add_routes(
            [
                web.get("/kv-key", self._get),
                web.get("/kv-range", self._list),
                web.get("/kv-watch", self._watch),
                web.post("/kv-txn", self._commit),
                web.post("/kv-lease", self._open_lease),
                web.post("/kv-keep/{lease}", self._renew_lease),
                web.delete("/kv-lease-end/{lease}", self._end_lease),
                web.post("/promote", self._promote),
            ]
        )
        runner = web.AppRunner(app, handler_cancellation=True)
        await runner.setup()
        self._stack.push_async_callback(runner.cleanup)
        site = web.TCPSite(runner, HOST, 0, shutdown_timeout=0.1)
        await site.start()
        self.port = runner.addresses[0][1]
        task = asyncio.ensure_future(self._expire_leases())
        self._stack.callback(task.cancel)

    async def close(self) -> None:
        """Stop the server and the expiry of leases."""
        await self._stack.aclose()

    def restore(self, copy: StoreCopy) -> None:
        """Return from a copy; its leases run for their whole time again."""
        self.store.restore(copy)
        at_s = now_s()
        self._expiries_s = {n: at_s + self._ttls_s[n] for n in copy.leases}

    def configure(
        self,
        version: int,
        group: str,
        routes: Iterable[RouteSpec],
        connections: int,
        fields: Mapping[str, Any] | None = None,
    ) -> None:
        """Store a configuration unless it is unchanged, as operators would.

        Args:
            version: The version of the configuration.
            group: The only group.
            routes: The routes, all to that group.
            connections: The connections that each instance accepts.
            fields: More fields of the configuration.
        """
        self.configure_groups(version, {group: routes}, connections, fields)

    def configure_groups(
        self,
        version: int,
        routes: Mapping[str, Iterable[RouteSpec]],
        connections: int,
        fields: Mapping[str, Any] | None = None,
    ) -> None:
        """Store a configuration of several groups unless it is unchanged.

        Args:
            version: The version of the configuration.
            routes: The routes to each group, by its name.
            connections: The connections that each instance accepts.
            fields: More fields of the configuration.
        """
        document = {
            "Version": version,
            "Routes": [
                {
                    "Host": route.database,
                    "Type": route.kind,
                    "Backend": group,
                    "TimeoutMs": 1500,
                    "GoalMs": 300,
                    "Priority": 1,
                    "MaxStalenessMs": route.max_age_ms,
                }
                for group, group_routes in routes.items()
                for route in group_routes
            ],
            "Backends": [
                {"Name": group, "MaxConns": connections, "SyncReplicas": 1}
                for group in routes
            ],
            "Limits": {"TxIdleMs": 1000},
            **(fields or {}),
        }
        value = json.dumps(document).encode()
        known = self.store.items.get(CONFIGURATION_KEY)
        if known is None or known.value != value:
            self.store.put(CONFIGURATION_KEY, value)

    def read_version(self) -> int | None:
        """Return the version of the stored configuration, or None without one."""
        item = self.store.items.get(CONFIGURATION_KEY)
        return None if item is None else json.loads(item.value)["Version"]

    def register(self, instance: LineInstance, address: Address, leaving: bool) -> None:
        """Store the registration of an instance unless it is unchanged."""
        entry = {
            "Backend": instance.group.name,
            "Addr": str(address),
            "Zone": f"dc-{instance.name[-1]}",
            "Version": "1",
            "Slots": 4,
            "State": "draining" if leaving else "ready",
            "DbRole": "primary" if instance.is_primary else "replica",
            "ColdMs": 0,
            "Seq": self._sequences[instance.name],
            "born": 1,
        }
        key = INSTANCES_PREFIX + instance.name
        known = self.store.items.get(key)
        if known is None or known.value != json.dumps(entry).encode():
            self._sequences[instance.name] += 1
            entry["Seq"] += 1
            self.store.put(key, json.dumps(entry).encode())

    def deregister(self, name: str) -> None:
        """Remove the registration of an instance."""
        if INSTANCES_PREFIX + name in self.store.items:
            self.store.remove(INSTANCES_PREFIX + name)

    @web.middleware
    async def _translate_errors(
        self, request: web.Request, handler
    ) -> web.StreamResponse:
        await asyncio.sleep(self.delay_s)
        response = await self._answer(request, handler)
        response.headers["Store-Era"] = str(self.store.epoch)
        return response

    async def _answer(self, request: web.Request, handler) -> web.StreamResponse:
        try:
            return web.json_response(await handler(request))
        except web.HTTPNotFound as exc:
            return exc
        except StoreUnavailable as exc:
            if exc.verdict is Verdict.NOT_RUN:
                return web.json_response({}, status=503)
            # The call took effect; closing the connection loses its reply.
            request.transport.abort()
            return web.Response()
        except HistoryLost:
            return web.json_response({}, status=410)
        except RecordConflict:
            return web.json_response({"items": []}, status=412)
        except LeaseEnded:
            return web.json_response({}, status=404)
        except PromotionRefused:
            return web.json_response({}, status=409)

    async def _get(self, request: web.Request) -> dict[str, Any]:
        item = await self.store.get(request.query["Key"])
        if item is None:
            revision = {"StoreRevision": find_number(self.store.revision)}
            raise web.HTTPNotFound(
                text=json.dumps(revision), content_type="application/json"
            )
        return {**_encode(item), "StoreRevision": find_number(self.store.revision)}

    async def _list(self, request: web.Request) -> dict[str, Any]:
        listing = await self.store.list(request.query.get("Prefix", ""))
        after = request.query.get("after", "")
        items = sorted(listing.items, key=lambda item: item.key)
        items = [item for item in items if item.key > after]
        return {
            "items": [_encode(item) for item in items[:PAGE_ITEMS]],
            "HasMore": len(items) > PAGE_ITEMS,
            "StoreRevision": find_number(listing.revision),
        }

    async def _watch(self, request: web.Request) -> dict[str, Any]:
        changes = await self.store.watch(
            request.query.get("Prefix", ""),
            self._read_revision(request.query["after"]),
            int(request.query["WaitMs"]) / MS_PER_S,
        )
        events = [_encode(event) for event in changes.events]
        return {"events": events, "StoreRevision": find_number(changes.revision)}

    def _read_revision(self, number: str | int) -> int:
        return make_revision(self.store.epoch, int(number)) if int(number) else ABSENT

    async def _commit(self, request: web.Request) -> dict[str, Any]:
        body = await request.json()
        rows = body.get("Writes") or []
        lease = max((row.get("Lease") or 0 for row in rows), default=0)
        writes, lasting = {}, {}
        for row in rows:
            kind = writes if row.get("Lease") or not lease else lasting
            kind[row["Key"]] = base64.b64decode(row["Value"])
        revision = await self.store.commit(
            {
                row["Key"]: self._read_revision(row["Revision"])
                for row in body.get("Expected") or []
            },
            writes,
            body.get("Remove") or [],
            lease,
            lasting,
        )
        return {"Revision": find_number(revision)}

    async def _open_lease(self, request: web.Request) -> dict[str, Any]:
        ttl_ms = (await request.json())["TtlMs"]
        lease = await self.store.open_lease(ttl_ms / MS_PER_S)
        self._ttls_s[lease] = ttl_ms / MS_PER_S
        self._expiries_s[lease] = now_s() + self._ttls_s[lease]
        return {"Lease": lease, "TtlMs": ttl_ms}

    async def _renew_lease(self, request: web.Request) -> dict[str, Any]:
        lease = int(request.match_info["lease"])
        await self.store.renew_lease(lease)
        self._expiries_s[lease] = now_s() + self._ttls_s[lease]
        return {}

    async def _end_lease(self, request: web.Request) -> dict[str, Any]:
        await self.store.end_lease(int(request.match_info["lease"]))
        return {}

    async def _promote(self, request: web.Request) -> dict[str, Any]:
        body = await request.json()
        await asyncio.sleep(self.promotion_delay_s)
        await self._groups[body["Backend"]].promote(
            body["Backend"],
            body["Id"],
            request.headers["Wasabipitch-Duty-Holder"],
            int(request.headers["Wasabipitch-Fence-Token"]),
        )
        return {}

    async def _expire_leases(self) -> None:
        while True:
            await asyncio.sleep(LEASE_CHECK_INTERVAL_S)
            at_s = now_s()
            for lease in [
                n for n, expires_at_s in self._expiries_s.items() if expires_at_s < at_s
            ]:
                del self._expiries_s[lease]
                await self.store.end_lease(lease)
