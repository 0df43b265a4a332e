"""Stand-in of one service: a primary and its replicas, on the wire of PROTOCOL.md.

A line ends with CR LF. A commit is acknowledged once one replica has received it
(`SyncReplicas` 1). A connection that is closed rolls back. A new connection takes
12 ms; reads, writes and commits take a slot, and BUSY is answered above the queue.
"""

import asyncio
import contextlib
import itertools
import time

HOST = "127.0.0.1"
HEARTBEAT_S = 1.2
HANDSHAKE_S = 0.012
PROMOTE_S = 0.3
REPLICATE_S = 0.002
QUEUE = 16
LIMIT = 1 << 21
_numbers = itertools.count(1)


class Commit:
    """An entry of a log: its position, what it wrote, and the requests behind it."""

    def __init__(self, term, number, writes, requests):
        self.term, self.number = term, number
        self.writes, self.requests = tuple(writes), tuple(requests)
        self.acked_at = None

    @property
    def position(self):
        return (self.term, self.number)


class Session:
    """A connection to an instance."""

    def __init__(self):
        self.name = f"conn-{next(_numbers)}"
        self.values, self.prepared = {}, {}
        # The writes of the open transaction, or None; the requests that ran in it.
        self.writes, self.requests = None, []
        self.read_only, self.failed, self.term = False, False, 0

    @property
    def state(self):
        if self.failed:
            return "E"
        return "I" if self.writes is None else "T"

    def end(self):
        self.writes, self.requests, self.failed = None, [], False


class Instance:
    """One instance. Set ``dark`` to leave all peers without an answer."""

    def __init__(self, service, name, primary):
        self.service, self.name = service, name
        self.is_primary, self.term, self.paused = primary, 1, 0
        self.log = []
        self.dark, self.deaf, self.draining = False, False, False
        self.port, self.born, self.seq = 0, int(time.time() * 1000), 0
        self._slots = asyncio.Semaphore(service.slots)
        self._queued = 0
        self._writers = set()
        self._received = asyncio.Event()

    @property
    def end(self):
        return self.log[-1].position if self.log else (0, 0)

    @property
    def position(self):
        return "%d.%d" % self.end

    async def start(self):
        self._server = await asyncio.start_server(self._serve, HOST, 0, limit=LIMIT)
        self.port = self._server.sockets[0].getsockname()[1]

    def close(self):
        self._server.close()
        for writer in list(self._writers):
            writer.transport.abort()

    async def heartbeat(self):
        """Register in the store; the entry goes after three intervals of silence."""
        silent = 0
        while self.service.instances.get(self.name) is self:
            silent = silent + 1 if self.dark else 0
            if silent == 0:
                self.register()
            elif silent == 3:
                self.service.store.remove(f"servers/{self.name}")
            await asyncio.sleep(HEARTBEAT_S)

    def register(self):
        self.seq += 1
        self.service.store.put(
            f"servers/{self.name}",
            {
                "Backend": self.service.name,
                "Addr": f"{HOST}:{self.port}",
                "Zone": self.service.zones[self.name],
                "Version": "v1",
                "Slots": self.service.slots,
                "State": "draining" if self.draining else "ready",
                "DbRole": "primary" if self.is_primary else "replica",
                "ColdMs": 0,
                "Seq": self.seq,
                "born": self.born,
            },
        )

    def go_dark(self):
        """Lose power: no answer to anyone, and all connections hang, then end."""
        self.dark = True

    async def wake(self):
        """Come back with the log; open connections of before are gone."""
        for writer in list(self._writers):
            writer.transport.abort()
        self.dark = False
        newest = self.service.primary
        if newest is not self:
            self.is_primary, self.term = False, newest.term
        self.register()

    def receive(self, log):
        """Take the primary's log; what it does not hold is rolled back."""
        self.log = list(log)
        self._received.set()
        self._received = asyncio.Event()

    async def _serve(self, reader, writer):
        self._writers.add(writer)
        session = Session()
        try:
            await self._run(session, reader, writer)
        except (OSError, asyncio.IncompleteReadError, asyncio.CancelledError):
            pass
        finally:
            self._writers.discard(writer)
            if session.writes:
                self.service.note(
                    f"{self.name} {session.name}: connection ended, "
                    f"rolls back {session.requests}"
                )
            writer.close()

    async def _line(self, reader):
        line = (await reader.readuntil(b"\r\n"))[:-2].decode()
        while self.dark:
            await asyncio.sleep(0.05)
        return line

    async def _run(self, session, reader, writer):
        words = (await self._line(reader)).split(" ")
        await asyncio.sleep(HANDSHAKE_S)
        if words[:2] != ["STARTUP", self.service.name] or words[3:4] not in (
            [],
            [self.name],
        ):
            writer.write(b"ERROR MISROUTED -\r\n")
            return
        if len(self._writers) > self.service.max_conns:
            writer.write(b"ERROR TOOMANY -\r\n")
            return
        writer.write(f"READY I {self.position}\r\n".encode())
        while True:
            line = await self._line(reader)
            word, _, rest = line.partition(" ")
            if word == "QUIT":
                return
            request, _, text = rest.partition(" ")
            answer = await self._answer(session, request, text)
            while self.dark:
                await asyncio.sleep(0.05)
            writer.write(
                f"{answer}READY {session.state} {self.position}\r\n".encode()
            )
            await writer.drain()

    def _fail(self, session, code):
        if session.writes is not None:
            session.failed = True
        return f"ERROR {code} {self.name}\r\n"

    async def _work(self, seconds):
        """Take a slot for a time; return False if the queue is full."""
        if self._slots.locked() and self._queued >= QUEUE:
            return False
        self._queued += 1
        try:
            await self._slots.acquire()
        finally:
            self._queued -= 1
        try:
            await asyncio.sleep(seconds)
        finally:
            self._slots.release()
        return True

    async def _answer(self, session, request, text):
        if text.startswith("AFTER "):
            _, floor, text = text.split(" ", 2)
            term, _, number = floor.partition(".")
            if self.end < (int(term), int(number)):
                return self._fail(session, "LAGGING")
        word, _, rest = text.partition(" ")
        handler = getattr(self, f"_{word.lower()}_statement", None)
        if handler is None:
            return self._fail(session, "MALFORMED")
        if session.failed and word not in ("COMMIT", "ROLLBACK"):
            return self._fail(session, "MALFORMED")
        return await handler(session, request, rest, text)

    async def _begin_statement(self, session, request, rest, text):
        session.read_only = rest == "READ"
        if not session.read_only and not self.is_primary:
            return self._fail(session, "READONLY")
        session.writes, session.requests, session.term = [], [], self.term
        return "COMPLETE -\r\n"

    async def _rollback_statement(self, session, request, rest, text):
        if session.writes:
            self.service.note(
                f"{self.name} {session.name}: rolls back {session.requests}"
            )
        session.end()
        return "COMPLETE -\r\n"

    async def _set_statement(self, session, request, rest, text):
        name, _, value = rest.partition(" ")
        session.values[name] = value
        return "COMPLETE -\r\n"

    async def _reset_statement(self, session, request, rest, text):
        session.values, session.prepared = {}, {}
        return "COMPLETE -\r\n"

    async def _prepare_statement(self, session, request, rest, text):
        name, kind, shape = rest.split(" ", 2)
        session.prepared[name] = (kind, shape)
        return "COMPLETE -\r\n"

    async def _dealloc_statement(self, session, request, rest, text):
        session.prepared.pop(rest, None)
        return "COMPLETE -\r\n"

    async def _execute_statement(self, session, request, rest, text):
        name, _, arguments = rest.partition(" ")
        if name not in session.prepared:
            return self._fail(session, "NOSTMT")
        if session.prepared[name][0] == "READ":
            return await self._read_statement(session, request, arguments, text)
        return await self._write_statement(session, request, arguments, text)

    def _ran(self, session, request, text):
        inside = f" in transaction of {session.requests}" if session.requests else ""
        self.service.note(
            f"{self.name} {session.name}: runs {request} {text!r}{inside}"
        )
        self.service.ran.append((self.name, session.name, request, text))
        if session.writes is not None:
            session.requests.append(request)

    async def _read_statement(self, session, request, rest, text):
        if not await self._work(self.service.work_s):
            return self._fail(session, "BUSY")
        self._ran(session, request, text)
        rows = [d for c in reversed(self.log) for i, d in c.writes if i == rest][:1]
        row = "".join(f"ROW {data}\r\n" for data in rows)
        return f"{row}COMPLETE {self.term}.{request}.{next(_numbers)}\r\n"

    def _has_lead(self, session):
        return self.is_primary and (session.writes is None or session.term == self.term)

    async def _write_statement(self, session, request, rest, text):
        if not self._has_lead(session):
            return self._fail(session, "READONLY")
        if not await self._work(self.service.work_s):
            return self._fail(session, "BUSY")
        item, _, data = rest.partition(" ")
        self._ran(session, request, text)
        if session.writes is not None:
            session.writes.append((item, data))
        elif not await self._commit([(item, data)], [request]):
            return self._fail(session, "FAILED")
        return f"COMPLETE {self.term}.{request}.{next(_numbers)}\r\n"

    async def _commit_statement(self, session, request, rest, text):
        writes, requests = session.writes or [], [*session.requests, request]
        if session.failed or (writes and not self._has_lead(session)):
            session.end()
            return f"ERROR READONLY {self.name}\r\n"
        if not await self._work(self.service.work_s / 3):
            return self._fail(session, "BUSY")
        self._ran(session, request, text)
        session.end()
        if writes and not await self._commit(writes, requests):
            return f"ERROR FAILED {self.name}\r\n"
        return f"COMPLETE {self.term}.{request}.{next(_numbers)}\r\n"

    async def _commit(self, writes, requests):
        """Append to the log; wait until a replica has it, or the lead is lost."""
        term = self.term
        commit = Commit(term, self.end[1] + 1, writes, requests)
        self.log.append(commit)
        while self.is_primary and self.term == term:
            await asyncio.sleep(REPLICATE_S)
            if self.service.replicate(self, commit):
                commit.acked_at = time.monotonic()
                self.service.note(
                    f"{self.name}: commits {self.position} {requests} {writes}"
                )
                return True
        return False

    async def _status_statement(self, session, request, rest, text):
        role = "primary" if self.is_primary else "replica"
        busy = self.service.slots - self._slots._value
        row = f"{role} {self.term} {self.position} {self.paused} 0 {busy}"
        return f"ROW {row} {len(self._writers)}\r\nCOMPLETE -\r\n"

    async def _pause_statement(self, session, request, rest, text):
        if not self.is_primary and int(rest) > self.service.newest_term:
            self.paused = int(rest)
        return await self._status_statement(session, request, rest, text)

    async def _resume_statement(self, session, request, rest, text):
        self.paused = 0
        return await self._status_statement(session, request, rest, text)

    async def _stepdown_statement(self, session, request, rest, text):
        if self.is_primary and int(rest) > self.term:
            self.is_primary = False
        return await self._status_statement(session, request, rest, text)


class Service:
    """A service of three instances; the first one starts as the primary."""

    def __init__(self, name, zones, note, *, slots, max_conns, work_s):
        self.name, self.note = name, note
        self.slots, self.max_conns, self.work_s = slots, max_conns, work_s
        names = [f"i-{name}-{n}" for n in range(3)]
        self.zones = dict(zip(names, itertools.cycle(zones)))
        self.instances = {n: Instance(self, n, n == names[0]) for n in names}
        self.newest_term = 1
        self.store = None
        # Every statement that ran: instance, connection, request id, text.
        self.ran = []
        self._tasks = []

    async def start(self, store):
        self.store = store
        for instance in self.instances.values():
            await instance.start()
            self._tasks.append(asyncio.ensure_future(instance.heartbeat()))
        self._tasks.append(asyncio.ensure_future(self._follow()))

    async def add(self, name, zone):
        """Start another instance, which takes the present log as a replica."""
        self.zones[name] = zone
        instance = Instance(self, name, False)
        instance.term = self.newest_term
        await instance.start()
        self.instances[name] = instance
        self._tasks.append(asyncio.ensure_future(instance.heartbeat()))
        return instance

    async def drain(self, instance, seconds):
        """Announce that an instance leaves, let it serve on, then end it."""
        instance.draining = True
        instance.register()
        self.note(f"{instance.name}: draining")
        await asyncio.sleep(seconds)
        instance.dark = True
        instance.close()
        del self.instances[instance.name]
        self.store.remove(f"servers/{instance.name}")
        self.note(f"{instance.name}: gone")

    @property
    def primary(self):
        """The primary of the newest term."""
        leaders = [i for i in self.instances.values() if i.is_primary]
        everyone = list(self.instances.values())
        return max(leaders or everyone, key=lambda i: (i.term, i.end))

    def _listens(self, replica, primary):
        return not (
            replica is primary
            or replica.dark
            or primary.dark
            or replica.deaf
            or replica.is_primary
            or replica.term > primary.term
            or replica.paused > primary.term
        )

    def replicate(self, primary, commit):
        """Send the primary's log to its replicas; say whether one has the commit."""
        if primary.dark:
            return False
        for replica in self.instances.values():
            if self._listens(replica, primary):
                replica.receive(primary.log)
                replica.term = primary.term
        others = [i for i in self.instances.values() if i is not primary]
        return any(commit in i.log for i in others if not i.dark)

    async def _follow(self):
        """Let replicas catch up; an old primary follows a second after a new one."""
        replaced_since = {}
        while True:
            await asyncio.sleep(0.02)
            newest, at = self.primary, time.monotonic()
            for instance in self.instances.values():
                if instance.dark or newest.dark or instance is newest:
                    continue
                if instance.is_primary and instance.term < newest.term:
                    if at - replaced_since.setdefault(instance, at) > 1.0:
                        instance.is_primary = False
                        instance.register()
                elif self._listens(instance, newest) and newest.is_primary:
                    replaced_since.pop(instance, None)
                    instance.term = newest.term
                    if instance.log != newest.log:
                        instance.receive(newest.log)

    async def promote(self, service, name):
        """Carry out an order to promote; return the HTTP status."""
        chosen = self.instances.get(name)
        if service != self.name or chosen is None or chosen.dark:
            return 409
        if chosen.is_primary and chosen is self.primary:
            return 200
        asyncio.get_running_loop().call_later(PROMOTE_S, self._lead, chosen)
        return 200

    def _lead(self, chosen):
        if chosen.dark or (chosen.is_primary and chosen is self.primary):
            return
        self.newest_term += 1
        chosen.is_primary, chosen.term, chosen.paused = True, self.newest_term, 0
        self.note(f"{chosen.name}: leads term {chosen.term} from {chosen.position}")
        chosen.register()

    def committed(self):
        """The commits in the log of the present primary."""
        return list(self.primary.log)

    async def close(self):
        for instance in self.instances.values():
            instance.close()
        for task in self._tasks:
            task.cancel()
        for task in self._tasks:
            with contextlib.suppress(asyncio.CancelledError):
                await task
