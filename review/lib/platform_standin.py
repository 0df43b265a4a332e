"""Stand-in of the platform: the metadata store and the promotion call, over HTTP/1.1.

It follows PROTOCOL.md ("The platform's metadata store", "Singleton duties"). One store
serves all hosts; it loses nothing, answers at once and never returns from a copy.
"""

import asyncio
import base64
import contextlib
import json
import time
from urllib.parse import parse_qsl, unquote, urlsplit

HOST = "127.0.0.1"
HISTORY = 20_000
PAGE_ITEMS = 500
LEASE_POLL_S = 0.05


class Store:
    """Items, revisions, leases and the history of changes."""

    def __init__(self):
        self.revision = 1
        self.items = {}
        self.leases = {}
        self._lease_numbers = 100
        self._events = []
        self._changed = asyncio.Event()

    def _wake(self):
        self._changed.set()
        self._changed = asyncio.Event()

    def change(self, writes, removes=()):
        """Apply writes (key -> (value, lease)) and removals as one change."""
        self.revision += 1
        for key, (value, lease) in writes.items():
            created = self.items.get(key, {}).get("Created", self.revision)
            item = {
                "Key": key,
                "Value": base64.b64encode(value).decode(),
                "Revision": self.revision,
                "Created": created,
                "Lease": lease,
            }
            self.items[key] = item
            self._events.append(item)
        for key in removes:
            if self.items.pop(key, None) is not None:
                gone = {"Key": key, "Revision": self.revision, "Deleted": True}
                self._events.append(gone)
        del self._events[:-HISTORY]
        self._wake()
        return self.revision

    def put(self, key, document):
        """Write a JSON document as the operator or an instance does."""
        self.change({key: (json.dumps(document).encode(), 0)})

    def remove(self, key):
        if key in self.items:
            self.change({}, [key])

    async def watch(self, prefix, after, wait_s):
        until = time.monotonic() + wait_s
        while True:
            events = [
                e
                for e in self._events
                if e["Revision"] > after and e["Key"].startswith(prefix)
            ]
            left = until - time.monotonic()
            if events or left <= 0:
                return {"events": events, "StoreRevision": self.revision}
            with contextlib.suppress(TimeoutError):
                await asyncio.wait_for(self._changed.wait(), left)

    def commit(self, body):
        expected = body.get("Expected") or []
        for row in expected:
            known = self.items.get(row["Key"], {}).get("Revision", 0)
            if known != row["Revision"]:
                rows = [r["Key"] for r in expected]
                present = [self.items[k] for k in rows if k in self.items]
                return 412, {"items": present}
        writes = body.get("Writes") or []
        for row in writes:
            if row["Key"].startswith(("op/", "servers/")):
                return 403, {}
            if row.get("Lease") and row["Lease"] not in self.leases:
                return 404, {}
        rows = {
            r["Key"]: (base64.b64decode(r["Value"]), r.get("Lease") or 0)
            for r in writes
        }
        return 200, {"Revision": self.change(rows, body.get("Remove") or [])}

    def open_lease(self, ttl_ms):
        self._lease_numbers += 1
        self.leases[self._lease_numbers] = [ttl_ms, time.monotonic() + ttl_ms / 1000]
        return {"Lease": self._lease_numbers, "TtlMs": ttl_ms}

    def keep_lease(self, lease):
        if lease not in self.leases:
            return 404, {}
        self.leases[lease][1] = time.monotonic() + self.leases[lease][0] / 1000
        return 200, {}

    def end_lease(self, lease):
        if self.leases.pop(lease, None) is not None:
            keys = [k for k, i in self.items.items() if i["Lease"] == lease]
            if keys:
                self.change({}, keys)

    async def expire_leases(self):
        while True:
            await asyncio.sleep(LEASE_POLL_S)
            at = time.monotonic()
            for lease in [n for n, (_, end) in self.leases.items() if end < at]:
                self.end_lease(lease)


class HttpServer:
    """A small HTTP/1.1 server with kept-alive connections."""

    def __init__(self, handler):
        self._handler = handler
        self.port = 0
        self._server = None
        self._writers = set()

    @property
    def address(self):
        return f"{HOST}:{self.port}"

    async def start(self):
        self._server = await asyncio.start_server(self._serve, HOST, 0)
        self.port = self._server.sockets[0].getsockname()[1]

    def close(self):
        self._server.close()
        for writer in list(self._writers):
            writer.transport.abort()

    async def _serve(self, reader, writer):
        self._writers.add(writer)
        try:
            await self._answer_all(reader, writer)
        finally:
            self._writers.discard(writer)
            writer.close()

    async def _answer_all(self, reader, writer):
        with contextlib.suppress(OSError, asyncio.IncompleteReadError, ValueError):
            while True:
                line = (await reader.readline()).decode()
                if not line.strip():
                    break
                method, target, _ = line.split()
                headers = {}
                while (line := (await reader.readline()).decode().strip()):
                    name, _, value = line.partition(":")
                    headers[name.strip().lower()] = value.strip()
                data = await reader.readexactly(int(headers.get("content-length", 0)))
                parts = urlsplit(target)
                query = dict(parse_qsl(parts.query, keep_blank_values=True))
                body = json.loads(data) if data else {}
                status, answer = await self._handler(
                    method, unquote(parts.path), query, headers, body
                )
                content = json.dumps(answer).encode()
                writer.write(
                    f"HTTP/1.1 {status} X\r\nContent-Type: application/json\r\n"
                    f"Store-Era: 1\r\nContent-Length: {len(content)}\r\n\r\n".encode()
                    + content
                )
                await writer.drain()


class Platform:
    """The store and the promotion call, each on a port of its own.

    Args:
        promote: Called with service and instance id; returns the HTTP status.
        note: Called with the words of each promotion order, for the record.
    """

    def __init__(self, promote, note):
        self.store = Store()
        self.store_server = HttpServer(self._answer_store)
        self.cloud_server = HttpServer(self._answer_cloud)
        # Each order as it arrived: time, holder, fence, service, instance.
        self.orders = []
        self._promote = promote
        self._note = note
        self._task = None

    async def start(self):
        await self.store_server.start()
        await self.cloud_server.start()
        self._task = asyncio.ensure_future(self.store.expire_leases())

    async def close(self):
        self._task.cancel()
        self.store_server.close()
        self.cloud_server.close()

    async def _answer_store(self, method, path, query, headers, body):
        store = self.store
        if path == "/kv-key":
            item = store.items.get(query["Key"])
            answer = {"StoreRevision": store.revision}
            return (200, {**item, **answer}) if item else (404, answer)
        if path == "/kv-range":
            prefix, after = query.get("Prefix", ""), query.get("after", "")
            keys = sorted(k for k in store.items if k.startswith(prefix) and k > after)
            return 200, {
                "items": [store.items[k] for k in keys[:PAGE_ITEMS]],
                "HasMore": len(keys) > PAGE_ITEMS,
                "StoreRevision": store.revision,
            }
        if path == "/kv-watch":
            wait_s = int(query["WaitMs"]) / 1000
            prefix = query.get("Prefix", "")
            return 200, await store.watch(prefix, int(query["after"]), wait_s)
        if path == "/kv-txn":
            return store.commit(body)
        if path == "/kv-lease":
            return 200, store.open_lease(body["TtlMs"])
        if path.startswith("/kv-keep/"):
            return store.keep_lease(int(path.rpartition("/")[2]))
        if path.startswith("/kv-lease-end/"):
            store.end_lease(int(path.rpartition("/")[2]))
            return 200, {}
        return 404, {}

    async def _answer_cloud(self, method, path, query, headers, body):
        if (method, path) != ("POST", "/promote"):
            return 404, {}
        holder = headers["wasabipitch-duty-holder"]
        fence = int(headers["wasabipitch-fence-token"])
        order = (time.monotonic(), holder, fence, body["Backend"], body["Id"])
        self.orders.append(order)
        self._note(f"platform: promote {body['Id']} by {holder} with token {fence}")
        return await self._promote(body["Backend"], body["Id"]), {}
