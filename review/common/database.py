"""Stand-in for a service of one primary and two replicas that speak the platform's wire.

It follows PROTOCOL.md, "The wire" and "Instances", and uses the standard library only.
Each instance has 2 slots, a new connection takes 12 ms, a commit is acknowledged once
one replica has received it (``SyncReplicas`` 1), and a replica applies it 20 ms later.
"""

import asyncio
import itertools
import json
import time

HANDSHAKE_S = 0.012
REPLICATION_S = 0.001
APPLY_S = 0.02
PROMOTE_S = 0.3
HEARTBEAT_S = 0.4


class Session:
    def __init__(self):
        self.values, self.prepared = {}, {}
        self.writes, self.term = None, 0
        self.failed = self.read_only = False

    @property
    def state(self):
        if self.failed:
            return "E"
        return "I" if self.writes is None else "T"

    def end(self):
        self.writes, self.failed, self.read_only = None, False, False


class Instance:
    """A database instance.

    Attributes:
        deaf: Whether it receives nothing from the primary.
        work_s: How long a statement occupies a slot.
    """

    def __init__(self, group, name, zone):
        self.group, self.name, self.zone = group, name, zone
        self.log, self.applied = [], 0
        self.is_primary, self.term, self.held = False, 1, 0
        self.deaf = False
        self.work_s = 0.004
        self.max_conns = 16
        self.port = 0
        self.is_up = False
        self.slots = asyncio.Semaphore(2)
        self.queued = 0
        self.connections = 0
        self.born_ms = int(time.time() * 1000)
        self.state = "ready"
        self.seq = 0
        self._server = None
        self._writers = set()
        # The open sessions, with the time of their last statement.
        self._sessions = {}

    def count_open(self, at_s):
        """Return for how long each open transaction has had no statement."""
        return [at_s - s for session, s in self._sessions.items() if session.state == "T"]

    async def start(self):
        self._server = await asyncio.start_server(
            self._serve, "127.0.0.1", self.port, limit=1 << 21
        )
        self.port = self._server.sockets[0].getsockname()[1]
        self.is_up = True

    async def crash(self):
        self.is_up = False
        self._server.close()
        for writer in list(self._writers):
            writer.transport.abort()

    @property
    def end(self):
        return self.log[-1][:2] if self.log else (0, 0)

    @property
    def position(self):
        return self.log[self.applied - 1][:2] if self.applied else (0, 0)

    def receive(self, source, entry):
        """Take the log of the primary; return whether it holds the entry then."""
        if self.deaf or not self.is_up or self.is_primary:
            return False
        if self.held > source.term or self.term > source.term:
            return False
        self.term = source.term
        common = 0
        for mine, theirs in zip(self.log, source.log):
            if mine != theirs:
                break
            common += 1
        del self.log[common:]
        self.applied = min(self.applied, common)
        self.log += source.log[common : source.log.index(entry) + 1]
        asyncio.get_running_loop().call_later(APPLY_S, self._apply, len(self.log))
        return True

    def _apply(self, count):
        self.applied = max(self.applied, min(count, len(self.log)))

    async def commit(self, writes, request):
        entry = (self.term, (self.log[-1][1] if self.log else 0) + 1, request, tuple(writes))
        self.log.append(entry)
        await asyncio.sleep(REPLICATION_S)
        others = [i for i in self.group.instances.values() if i is not self]
        while self.is_up and self.is_primary and entry in self.log:
            # Each of them takes what it can get; one is enough.
            if any([other.receive(self, entry) for other in others]):
                break
            await asyncio.sleep(0.01)
        else:
            return False
        self._apply(self.log.index(entry) + 1)
        return True

    def read(self, item):
        for _, _, _, writes in reversed(self.log[: self.applied]):
            for name, data in reversed(writes):
                if name == item:
                    return data
        return "-"

    async def _serve(self, reader, writer):
        self._writers.add(writer)
        self.connections += 1
        session = Session()
        try:
            line = await self._line(reader)
            _, service, _, name = (line.split(" ") + ["", "", ""])[:4]
            if service != self.group.name or name not in ("", self.name):
                writer.write(b"ERROR MISROUTED -\r\n")
                return
            if self.connections > self.max_conns:
                writer.write(b"ERROR TOOMANY -\r\n")
                return
            await asyncio.sleep(HANDSHAKE_S)
            writer.write(self._ready(session))
            while True:
                line = await self._line(reader)
                if line == "QUIT":
                    return
                self._sessions[session] = time.monotonic()
                _, request, text = line.split(" ", 2)
                answer = await self._run(session, request, text)
                writer.write(answer.encode() + self._ready(session))
                await writer.drain()
        except (asyncio.IncompleteReadError, OSError, asyncio.CancelledError):
            pass
        finally:
            self.connections -= 1
            self._sessions.pop(session, None)
            self._writers.discard(writer)
            writer.close()

    async def _line(self, reader):
        return (await reader.readuntil(b"\r\n"))[:-2].decode()

    def _ready(self, session):
        return b"READY %s %d.%d\r\n" % (session.state.encode(), *self.position)

    async def _run(self, session, request, text):
        floor = None
        if text.startswith("AFTER "):
            _, floor, text = text.split(" ", 2)
            floor = tuple(map(int, floor.split(".")))
        verb, _, rest = text.partition(" ")
        if verb in ("STATUS", "PAUSE", "RESUME", "STEPDOWN"):
            return self._control(verb, rest)
        if verb == "RESET":
            session.values, session.prepared = {}, {}
            return "COMPLETE -\r\n"
        if verb == "SET":
            name, _, value = rest.partition(" ")
            session.values[name] = value
            return "COMPLETE -\r\n"
        if verb == "PREPARE":
            name, kind, shape = rest.split(" ", 2)
            session.prepared[name] = (kind, shape)
            return "COMPLETE -\r\n"
        if verb == "DEALLOC":
            session.prepared.pop(rest, None)
            return "COMPLETE -\r\n"
        if verb == "ROLLBACK":
            session.end()
            return "COMPLETE -\r\n"
        if session.failed:
            return "ERROR MALFORMED -\r\n"
        if verb == "BEGIN":
            return self._begin(session, rest == "READ", floor)
        if self.queued >= 16:
            return self._fail(session, "BUSY")
        self.queued += 1
        try:
            async with self.slots:
                await asyncio.sleep(self.work_s)
                return await self._work(session, request, verb, rest, floor)
        finally:
            self.queued -= 1

    def _begin(self, session, read_only, floor):
        if floor is not None and self.position < floor:
            return "ERROR LAGGING -\r\n"
        if not read_only and not self.is_primary:
            return "ERROR READONLY -\r\n"
        session.writes, session.read_only, session.term = [], read_only, self.term
        return "COMPLETE -\r\n"

    def _fail(self, session, code):
        session.failed = session.writes is not None
        return f"ERROR {code} -\r\n"

    async def _work(self, session, request, verb, rest, floor):
        digest = "%d.%s" % (len(self.log), request)
        if verb == "EXECUTE":
            name, _, rest = rest.partition(" ")
            if name not in session.prepared:
                return self._fail(session, "NOSTMT")
            verb = session.prepared[name][0]
        in_transaction = session.writes is not None
        has_lead = self.is_primary and session.term in (0, self.term)
        if in_transaction and not session.read_only and not has_lead:
            if verb != "COMMIT" or session.writes:
                return self._fail(session, "READONLY")
        if verb == "READ":
            if floor is not None and self.position < floor:
                return self._fail(session, "LAGGING")
            self.group.ran.append((time.monotonic(), self.name, request, verb, rest))
            return f"ROW {self.read(rest)}\r\nCOMPLETE {digest}\r\n"
        if verb == "WRITE":
            item, _, data = rest.partition(" ")
            if in_transaction:
                session.writes.append((item, data))
                self.group.ran.append((time.monotonic(), self.name, request, verb, rest))
                return f"COMPLETE {digest}\r\n"
            if not self.is_primary:
                return "ERROR READONLY -\r\n"
            return await self._commit(request, verb, rest, [(item, data)], digest)
        if verb == "COMMIT":
            if not in_transaction:
                return "ERROR MALFORMED -\r\n"
            writes = session.writes
            session.end()
            if not writes:
                return f"COMPLETE {digest}\r\n"
            return await self._commit(request, verb, rest, writes, digest)
        return "ERROR MALFORMED -\r\n"

    async def _commit(self, request, verb, rest, writes, digest):
        self.group.ran.append((time.monotonic(), self.name, request, verb, rest))
        if not await self.commit(writes, request):
            return "ERROR FAILED -\r\n"
        return f"COMPLETE {digest}\r\n"

    def _control(self, verb, rest):
        if verb == "PAUSE" and not self.is_primary and int(rest) > self.term:
            self.held = max(self.held, int(rest))
        if verb == "RESUME":
            self.held = 0
        if verb == "STEPDOWN" and self.is_primary and self.term < int(rest):
            self.is_primary = False
        role = "primary" if self.is_primary else "replica"
        end = "%d.%d" % self.end
        return (
            f"ROW {role} {self.term} {end} {self.held} 2 {self.queued} "
            f"{self.connections}\r\nCOMPLETE -\r\n"
        )

    def register(self, store):
        """Write the registration, if it differs, as an instance does."""
        self.seq += 1
        entry = {
            "Backend": self.group.name,
            "Addr": f"127.0.0.1:{self.port}",
            "Zone": self.zone,
            "Version": "1",
            "Slots": 2,
            "State": self.state,
            "ColdMs": 0,
            "Seq": self.seq,
            "DbRole": "primary" if self.is_primary else "replica",
            "born": self.born_ms,
        }
        same = {k: v for k, v in entry.items() if k != "Seq"}
        if self.__dict__.get("_registered") != same:
            self._registered = same
            store.put("servers/" + self.name, json.dumps(entry).encode())


class Database:
    """A service: three instances, and the promotion of one of them."""

    def __init__(self, name, zones):
        self.name = name
        self.ran = []
        self.promoted = []
        numbers = itertools.count(1)
        self.instances = {}
        for zone in zones:
            number = next(numbers)
            self.instances[f"i-{number:08x}"] = Instance(self, f"i-{number:08x}", zone)
        next(iter(self.instances.values())).is_primary = True
        self.old_primaries = []

    @property
    def primary(self):
        leaders = [i for i in self.instances.values() if i.is_primary and i.is_up]
        return max(leaders, key=lambda i: i.term, default=None)

    async def start(self, store):
        self.store = store
        for instance in self.instances.values():
            await instance.start()
        self._task = asyncio.ensure_future(self._beat())

    async def stop(self):
        self._task.cancel()
        for instance in self.instances.values():
            if instance.is_up:
                await instance.crash()

    async def promote(self, service, name):
        instance = self.instances.get(name)
        if service != self.name or instance is None or not instance.is_up:
            return False
        if instance.is_primary and instance is self.primary:
            return True
        await asyncio.sleep(PROMOTE_S)
        instance.term = max(i.term for i in self.instances.values()) + 1
        instance.is_primary, instance.held = True, 0
        instance.applied = len(instance.log)
        self.promoted.append((time.monotonic(), name, instance.term, instance.end))
        instance.register(self.store)
        asyncio.get_running_loop().call_later(1.0, self._demote)
        return True

    def _demote(self):
        """A second after it can reach the new primary, the old one follows."""
        newest = self.primary
        for instance in self.instances.values():
            if instance.is_primary and instance is not newest:
                instance.is_primary = False
                instance.register(self.store)

    async def _beat(self):
        while True:
            for instance in self.instances.values():
                if instance.is_up:
                    instance.register(self.store)
            primary = self.primary
            if primary is not None and primary.log:
                for instance in self.instances.values():
                    if instance is not primary and instance.end != primary.end:
                        instance.receive(primary, primary.log[-1])
            await asyncio.sleep(HEARTBEAT_S)
