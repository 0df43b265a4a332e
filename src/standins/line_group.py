"""An in-process database group that speaks the platform's line protocol.

Each instance listens on a loopback port. A commit is acknowledged once at least
one replica has received it; a replica applies it after a configurable lag.
"""

import asyncio
import itertools
from dataclasses import dataclass

from wasabipitch.exceptions import PromotionRefused

HOST = "127.0.0.1"
MAX_LINE_BYTES = 1 << 20


@dataclass(frozen=True, slots=True)
class Entry:
    """A commit in the log of an instance.

    Args:
        term: The term of the primary that committed it.
        number: The position within the log; the first commit is number 1.
        writes: Pairs of an item's name and its new data.
        request: The id of the request that committed it.
    """

    term: int
    number: int
    writes: tuple[tuple[str, str], ...]
    request: str


class _Session:
    """The state of a connection to an instance."""

    def __init__(self, account: str) -> None:
        self.account = account
        self.values: dict[str, str] = {}
        self.prepared: dict[str, tuple[str, str]] = {}
        self.transaction: list[tuple[str, str]] | None = None
        self.read_only = False
        self.failed = False
        self.term = 0

    @property
    def state(self) -> str:
        if self.failed:
            return "E"
        return "I" if self.transaction is None else "T"

    def end_transaction(self) -> None:
        self.transaction, self.failed = None, False


class LineInstance:
    """A database instance with its log, its role and its connections.

    Tests inject faults by setting the attributes.

    Args:
        group: The group that the instance belongs to.
        name: The name of the instance.
    """

    def __init__(self, group: "LineGroup", name: str) -> None:
        self.group = group
        self.name = name
        self.log: list[Entry] = []
        self.applied = 0
        self.is_primary = False
        self.term = 1
        # Commits of lower terms are rejected; 0 means no fence.
        self.fenced_term = 0
        self.lag_s = 0.0
        # While set, the instance sends no replies.
        self.silent = False
        # While set, the instance takes no commits from the primary.
        self.replication_blocked = False
        # Error codes for the next requests, which fail without being run.
        self.refusals: list[str] = []
        # The number of next requests whose replies are lost after they ran.
        self.lost_answers = 0
        self.max_connections = 16
        self.ran: list[tuple[str, str]] = []
        # The account of the connection that each of these ran on.
        self.ran_as: list[str] = []
        # The accounts in the order in which their connections were opened, and the
        # greatest number of connections at any time.
        self.started_as: list[str] = []
        self.most_connections = 0
        self.refused_connections = 0
        self.handshake_s = 0.0
        self.port = 0
        self._server: asyncio.Server | None = None
        self._writers: set[asyncio.StreamWriter] = set()

    @property
    def is_running(self) -> bool:
        """Whether the instance accepts connections."""
        return self._server is not None

    @property
    def log_end(self) -> tuple[int, int]:
        """The position of the last commit in the log, as term and number."""
        return (self.log[-1].term, self.log[-1].number) if self.log else (0, 0)

    @property
    def position(self) -> str:
        """The position of the last applied commit, as ``term.number``."""
        if not self.applied:
            return "0.0"
        entry = self.log[self.applied - 1]
        return f"{entry.term}.{entry.number}"

    async def start(self) -> None:
        """Start listening; after a restart, on the same port as before."""
        self._server = await asyncio.start_server(
            self._serve, HOST, self.port, limit=MAX_LINE_BYTES
        )
        self.port = self._server.sockets[0].getsockname()[1]

    async def stop(self) -> None:
        """Stop listening and reset every connection to simulate a crash."""
        if self._server is not None:
            self._server.close()
            self._server = None
        for writer in list(self._writers):
            writer.transport.abort()
        await asyncio.sleep(0)

    def read(self, item: str) -> str:
        """Return the applied data of an item, or ``-`` if it has none."""
        for entry in reversed(self.log[: self.applied]):
            for name, data in reversed(entry.writes):
                if name == item:
                    return data
        return "-"

    def receive(self, entry: Entry) -> bool:
        """Append a commit from the primary to the log and apply it after the lag.

        Returns:
            False if the instance is stopped, if its replication is blocked, or if
            a fence rejects the term.
        """
        if (
            self.replication_blocked
            or self._server is None
            or self.fenced_term > entry.term
        ):
            return False
        self.log.append(entry)
        loop = asyncio.get_running_loop()
        loop.call_later(self.lag_s, self._apply, len(self.log))
        return True

    def _apply(self, count: int) -> None:
        self.applied = max(self.applied, min(count, len(self.log)))

    async def _serve(self, reader, writer) -> None:
        if len(self._writers) >= self.max_connections:
            self.refused_connections += 1
            writer.write(b"ERROR TOOMANY -\r\n")
            writer.close()
            return
        self._writers.add(writer)
        self.most_connections = max(self.most_connections, len(self._writers))
        try:
            await self._run_session(reader, writer)
        except (OSError, asyncio.IncompleteReadError, asyncio.CancelledError):
            # The client disconnected, or the instance is stopping.
            pass
        finally:
            self._writers.discard(writer)
            writer.close()

    async def _run_session(self, reader, writer) -> None:
        words = (await reader.readline()).decode().split()
        if words[:2] != ["STARTUP", self.group.name] or words[3:] not in (
            [],
            [self.name],
        ):
            writer.write(b"ERROR MISROUTED -\r\n")
            return
        session = _Session(words[2])
        self.started_as.append(session.account)
        await asyncio.sleep(self.handshake_s)
        await self._wait_while_silent()
        writer.write(f"READY I {self.position}\r\n".encode())
        while line := await reader.readline():
            _, request, text = line.decode().rstrip("\r\n").split(" ", 2)
            answer = await self._answer(session, request, text)
            message = await self._compose(session, request, answer)
            if answer is None:
                return
            writer.write(message.encode())
            await writer.drain()

    async def _compose(
        self, session: _Session, request: str, answer: str | None
    ) -> str:
        """Return the message of an answer when it leaves."""
        await self._wait_while_silent()
        return f"{answer}READY {session.state} {self.position}\r\n"

    async def _wait_while_silent(self) -> None:
        while self.silent:
            await asyncio.sleep(0.01)

    async def _answer(self, session: _Session, request: str, text: str) -> str | None:
        if request != "-" and self.refusals:
            return self._fail(session, self.refusals.pop(0))
        floor, text = _split_floor(text)
        if floor is not None and floor > _parse_position(self.position):
            return self._fail(session, "LAGGING")
        word, *rest = text.split(" ", 2)
        handler = getattr(self, f"_do_{word.lower()}", None)
        if handler is None:
            return self._fail(session, "MALFORMED")
        answer = await handler(session, request, rest, text)
        if request != "-" and self.lost_answers and not answer.startswith("ERROR"):
            self.lost_answers -= 1
            return None
        return answer

    def _fail(self, session: _Session, code: str) -> str:
        session.failed = session.transaction is not None
        return f"ERROR {code} {self.name}\r\n"

    def _complete(self, request: str) -> str:
        return f"COMPLETE {self.name}.{request}\r\n"

    async def _do_set(self, session, request, rest, text) -> str:
        session.values[rest[0]] = rest[1] if len(rest) > 1 else ""
        return "COMPLETE -\r\n"

    async def _do_reset(self, session, request, rest, text) -> str:
        session.values.clear()
        session.prepared.clear()
        return "COMPLETE -\r\n"

    async def _do_prepare(self, session, request, rest, text) -> str:
        kind, _, shape = rest[1].partition(" ")
        session.prepared[rest[0]] = (kind, shape)
        return "COMPLETE -\r\n"

    async def _do_begin(self, session, request, rest, text) -> str:
        session.read_only = rest == ["READ"]
        if not session.read_only and not self.is_primary:
            return self._fail(session, "READONLY")
        session.transaction, session.term = [], self.term
        return "COMPLETE -\r\n"

    async def _do_rollback(self, session, request, rest, text) -> str:
        session.end_transaction()
        return "COMPLETE -\r\n"

    def _record_run(self, session: _Session, request: str, text: str) -> None:
        self.ran.append((request, text))
        self.ran_as.append(session.account)

    async def _do_read(self, session, request, rest, text) -> str:
        self._record_run(session, request, text)
        values = "".join(f" {k}={v}" for k, v in sorted(session.values.items()))
        return f"ROW {self.read(rest[0])}{values}\r\n{self._complete(request)}"

    async def _do_write(self, session, request, rest, text) -> str:
        if not self.is_primary:
            return self._fail(session, "READONLY")
        self._record_run(session, request, text)
        write = (rest[0], rest[1] if len(rest) > 1 else "")
        if session.transaction is not None:
            session.transaction.append(write)
        else:
            await self._commit(request, [write])
        return self._complete(request)

    async def _do_execute(self, session, request, rest, text) -> str:
        prepared = session.prepared.get(rest[0])
        if prepared is None:
            return self._fail(session, "NOSTMT")
        arguments = rest[1].split(" ") if len(rest) > 1 else []
        if prepared[0] == "READ":
            return await self._do_read(session, request, arguments, prepared[1])
        return await self._do_write(session, request, arguments, prepared[1])

    async def _do_commit(self, session, request, rest, text) -> str:
        writes = session.transaction or []
        if session.failed or (writes and not self.is_primary):
            session.end_transaction()
            return f"ERROR READONLY {self.name}\r\n"
        session.end_transaction()
        if writes:
            await self._commit(request, writes)
        return self._complete(request)

    async def _commit(self, request: str, writes: list) -> None:
        number = self.log_end[1] + 1
        entry = Entry(self.term, number, tuple(writes), request)
        self.log.append(entry)
        while not self.group.replicate(self, entry):
            await asyncio.sleep(0.01)
        self.applied = len(self.log)

    async def _do_status(self, session, request, rest, text) -> str:
        return self._format_status()

    async def _do_pause(self, session, request, rest, text) -> str:
        if not self.is_primary and int(rest[0]) > self.term:
            self.fenced_term = int(rest[0])
        return self._format_status()

    async def _do_resume(self, session, request, rest, text) -> str:
        self.fenced_term = 0
        self.group.catch_up(self)
        return self._format_status()

    async def _do_stepdown(self, session, request, rest, text) -> str:
        if int(rest[0]) > self.term:
            self.is_primary = False
        return self._format_status()

    def _format_status(self) -> str:
        role = "primary" if self.is_primary else "replica"
        term, number = self.log_end
        counts = f"0 {len(self._writers)}"
        row = f"{role} {self.term} {term}.{number} {self.fenced_term} 0 {counts}"
        return f"ROW {row}\r\nCOMPLETE -\r\n"


class LineGroup:
    """A primary and its replicas, with the platform's promotion call.

    Args:
        name: The name of the group.
        count: The number of instances; the first one starts as primary.
    """

    def __init__(self, name: str, count: int = 3) -> None:
        self.name = name
        self.instances = {f"i-{n}": LineInstance(self, f"i-{n}") for n in range(count)}
        self.instances["i-0"].is_primary = True
        self.promotions: list[tuple[str, str, int]] = []
        # Unused: no reply to a promotion is lost.
        self.lost_promotions = 0
        self._received_by: dict[tuple[int, int], set[str]] = {}
        self._terms = itertools.count(2)

    async def start(self) -> None:
        """Start every instance."""
        for instance in self.instances.values():
            await instance.start()

    async def stop(self) -> None:
        """Stop every instance."""
        for instance in self.instances.values():
            await instance.stop()

    @property
    def primary(self) -> LineInstance:
        """The primary of the highest term, or else the instance with the newest log."""
        instances = list(self.instances.values())
        leaders = [instance for instance in instances if instance.is_primary]
        return max(leaders or instances, key=lambda i: (i.term, i.log_end))

    def replicate(self, primary: LineInstance, entry: Entry) -> bool:
        """Send a commit to the replicas and return whether any of them has it."""
        others = [i for i in self.instances.values() if i is not primary]
        for replica in others:
            self._send_missing(primary, replica)
        return any(entry in replica.log for replica in others)

    def catch_up(self, replica: LineInstance) -> None:
        """Send a replica the commits of the primary that it lacks."""
        if not replica.is_primary:
            self._send_missing(self.primary, replica)

    def demote_replaced(self) -> None:
        """Turn primaries of lower terms into replicas of the current primary."""
        latest = self.primary
        for instance in self.instances.values():
            if instance.is_primary and instance.term < latest.term:
                instance.is_primary = False
                instance.term = latest.term
                self.catch_up(instance)

    async def promote(self, group: str, instance: str, holder: str, fence: int) -> None:
        """Promote an instance to primary of the next term.

        The new primary applies all commits that it has received.

        Raises:
            PromotionRefused: The instance is unknown or stopped.
        """
        self.promotions.append((instance, holder, fence))
        chosen = self.instances.get(instance)
        if chosen is None or chosen._server is None:
            raise PromotionRefused(f"instance {instance} is not running")
        if not chosen.is_primary:
            chosen.is_primary = True
            chosen.term = next(self._terms)
            chosen.fenced_term = 0
            chosen.applied = len(chosen.log)

    def _send_missing(self, primary: LineInstance, replica: LineInstance) -> None:
        if replica.is_primary or not primary.is_primary or replica.term > primary.term:
            return
        common = 0
        for own, other in zip(primary.log, replica.log, strict=False):
            if own != other:
                break
            common += 1
        if len(replica.log) > common and replica.fenced_term <= primary.term:
            del replica.log[common:]
            replica.applied = min(replica.applied, common)
        for entry in primary.log[common:]:
            if not replica.receive(entry):
                return
        replica.term = max(replica.term, primary.term)


def _split_floor(text: str) -> tuple[tuple[int, int] | None, str]:
    if not text.startswith("AFTER "):
        return None, text
    _, position, rest = text.split(" ", 2)
    return _parse_position(position), rest


def _parse_position(position: str) -> tuple[int, int]:
    term, _, number = position.partition(".")
    return int(term), int(number)
