"""Stand-in for the platform's metadata store and its call to promote, over HTTP.

It follows PROTOCOL.md, "The platform's metadata store" and "Singleton duties", and uses
the standard library only.
"""

import asyncio
import base64
import itertools
import json
import time
from urllib.parse import parse_qsl, unquote, urlsplit

PAGE_ITEMS = 200
HISTORY_S = 20.0


class Store:
    """Items, leases and history of the store.

    ``before`` may be set to a coroutine function that is called with the caller's port,
    the method, the path and the body of each call before the call is carried out. What
    it returns, if not None, is the status of the answer, and nothing is done.
    """

    def __init__(self, promote=None):
        self.revision = 1
        self.items = {}
        self.history = []
        self.leases = {}
        self.numbers = itertools.count(100)
        self.changed = asyncio.Event()
        self.promote = promote
        self.before = None
        self.calls = 0
        self.promotions = []
        self.address = ""
        self._server = None
        self._tasks = set()

    async def start(self):
        self._server = await asyncio.start_server(self._serve, "127.0.0.1", 0)
        self.address = "127.0.0.1:%d" % self._server.sockets[0].getsockname()[1]
        task = asyncio.ensure_future(self._expire())
        self._tasks.add(task)

    async def stop(self):
        self._server.close()
        for task in list(self._tasks):
            task.cancel()
        await asyncio.gather(*self._tasks, return_exceptions=True)

    # What the operator and the instances write

    def put(self, key, value, lease=0):
        self._write({key: (value, lease)}, ())

    def remove(self, key):
        if key in self.items:
            self._write({}, (key,))

    # Changes

    def _write(self, writes, removes):
        self.revision += 1
        at_s = time.monotonic()
        for key, (value, lease) in writes.items():
            created = self.items[key]["Created"] if key in self.items else self.revision
            self.items[key] = {
                "Key": key,
                "Value": base64.b64encode(value).decode(),
                "Revision": self.revision,
                "Created": created,
                "Lease": lease,
            }
            self.history.append((at_s, self.revision, dict(self.items[key])))
        for key in removes:
            if self.items.pop(key, None) is not None:
                event = {"Key": key, "Revision": self.revision, "Deleted": True}
                self.history.append((at_s, self.revision, event))
        while self.history and self.history[0][0] < at_s - HISTORY_S:
            self.history.pop(0)
        changed, self.changed = self.changed, asyncio.Event()
        changed.set()

    async def _expire(self):
        while True:
            await asyncio.sleep(0.05)
            at_s = time.monotonic()
            for lease, (until_s, _) in list(self.leases.items()):
                if until_s < at_s:
                    self._end_lease(lease)

    def _end_lease(self, lease):
        del self.leases[lease]
        keys = [key for key, item in self.items.items() if item["Lease"] == lease]
        if keys:
            self._write({}, keys)

    # HTTP

    async def _serve(self, reader, writer):
        task = asyncio.current_task()
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)
        try:
            while True:
                head = await reader.readuntil(b"\r\n\r\n")
                request, *lines = head.decode().split("\r\n")
                method, target, _ = request.split(" ", 2)
                headers = {}
                for line in lines:
                    name, _, value = line.partition(":")
                    headers[name.strip().lower()] = value.strip()
                size = int(headers.get("content-length") or 0)
                raw = await reader.readexactly(size) if size else b""
                self.calls += 1
                await asyncio.sleep(0.004)
                port = writer.get_extra_info("peername")[1]
                status, answer = await self._answer(port, method, target, headers, raw)
                if status is None:
                    continue
                data = json.dumps(answer).encode()
                writer.write(
                    b"HTTP/1.1 %d X\r\nContent-Type: application/json\r\n"
                    b"Content-Length: %d\r\n\r\n" % (status, len(data)) + data
                )
                await writer.drain()
        except (asyncio.IncompleteReadError, OSError, asyncio.CancelledError):
            pass
        finally:
            writer.close()

    async def _answer(self, port, method, target, headers, raw):
        parts = urlsplit(target)
        query = dict(parse_qsl(parts.query))
        body = json.loads(raw) if raw else {}
        path = unquote(parts.path)
        if self.before is not None:
            status = await self.before(port, method, path, body)
            if status is not None:
                return status, {}
        if path == "/kv-key":
            item = self.items.get(query["Key"])
            if item is None:
                return 404, {"StoreRevision": self.revision}
            return 200, {**item, "StoreRevision": self.revision}
        if path == "/kv-range":
            return 200, self._list(query.get("Prefix", ""), query.get("after", ""))
        if path == "/kv-watch":
            wait_s = int(query.get("WaitMs", 0)) / 1000
            prefix = query.get("Prefix", "")
            return await self._watch(prefix, int(query["after"]), wait_s)
        if path == "/kv-txn":
            return self._txn(body)
        if path == "/kv-lease":
            lease, ttl_s = next(self.numbers), body["TtlMs"] / 1000
            self.leases[lease] = (time.monotonic() + ttl_s, ttl_s)
            return 200, {"Lease": lease, "TtlMs": body["TtlMs"]}
        if path.startswith("/kv-keep/"):
            lease = int(path.rpartition("/")[2])
            if lease not in self.leases:
                return 404, {}
            ttl_s = self.leases[lease][1]
            self.leases[lease] = (time.monotonic() + ttl_s, ttl_s)
            return 200, {}
        if path.startswith("/kv-lease-end/"):
            lease = int(path.rpartition("/")[2])
            if lease in self.leases:
                self._end_lease(lease)
            return 200, {}
        if path == "/promote":
            holder = headers.get("wasabipitch-duty-holder")
            fence = int(headers.get("wasabipitch-fence-token"))
            self.promotions.append((time.monotonic(), holder, fence, body))
            is_done = await self.promote(body["Backend"], body["Id"])
            return (200 if is_done else 409), {}
        return 404, {}

    def _list(self, prefix, after):
        keys = sorted(k for k in self.items if k.startswith(prefix) and k > after)
        return {
            "items": [self.items[key] for key in keys[:PAGE_ITEMS]],
            "HasMore": len(keys) > PAGE_ITEMS,
            "StoreRevision": self.revision,
        }

    async def _watch(self, prefix, after, wait_s):
        until_s = time.monotonic() + wait_s
        if self.history and after < self.history[0][1] - 1:
            return 410, {}
        while True:
            events = [
                event
                for _, revision, event in self.history
                if revision > after and event["Key"].startswith(prefix)
            ]
            left_s = until_s - time.monotonic()
            if events or left_s <= 0:
                return 200, {"events": events, "StoreRevision": self.revision}
            try:
                await asyncio.wait_for(self.changed.wait(), left_s)
            except TimeoutError:
                pass

    def _txn(self, body):
        expected = body.get("Expected") or []
        for row in expected:
            item = self.items.get(row["Key"])
            if (item["Revision"] if item else 0) != row["Revision"]:
                rows = [self.items.get(r["Key"]) or {"Key": r["Key"], "Revision": 0}
                        for r in expected]
                return 412, {"items": rows}
        writes = {}
        for row in body.get("Writes") or []:
            lease = row.get("Lease") or 0
            if lease and lease not in self.leases:
                return 404, {}
            writes[row["Key"]] = (base64.b64decode(row["Value"]), lease)
        self._write(writes, body.get("Remove") or [])
        return 200, {"Revision": self.revision}
