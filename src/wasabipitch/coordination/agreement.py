"""Confirms the group records among the hosts while the store answers none of them.

Whoever replaces a primary first writes to the store, and waits for a host's right
to end before it promotes. So if every host that could do so says that it has
seen no newer record, the records hold as of the time they were asked. One
host, the collector, asks all of them, and the others ask the collector.

A host that the collector doesn't know could be left out; new hosts therefore
replace no primary for ``EXTENSION_S``, and a collector counts on what the store
told it for no longer than that.
"""

import asyncio
from collections.abc import Callable, Iterable

from wasabipitch.clock import now_s
from wasabipitch.exceptions import LinkDown, LinkError
from wasabipitch.linkbook import LinkBook
from wasabipitch.links import RemoteError
from wasabipitch.models import Host
from wasabipitch.peer_messages import Agreement, AskAgreement, AskHead, HeadReport

# Longer than the store's usual outages.
MAX_STORE_OUTAGE_S = 12.0
# One round of questions serves all that ask within this time.
ROUND_REUSE_S = 0.25
HEAD_TIMEOUT_S = 0.3
COLLECTOR_TIMEOUT_S = 0.45
# The second host collects where the first can't be reached.
COLLECTORS = 2


class RecordAgreement:
    """One host's part in confirming records without the store.

    Args:
        own: this host.
        links: to the peers.
        read_peers: returns all other hosts that the store named lately.
        read_head: returns the revision of the newest group record known here.
        read_store_confirmed_s: returns when the store itself last confirmed it.
    """

    def __init__(
        self,
        own: Host,
        links: LinkBook,
        read_peers: Callable[[], Iterable[Host]],
        read_head: Callable[[], int],
        read_store_confirmed_s: Callable[[], float],
    ) -> None:
        self._own = own
        self._links = links
        self._read_peers = read_peers
        self._read_head = read_head
        self._read_store_confirmed_s = read_store_confirmed_s
        self._round: asyncio.Task[bool] | None = None
        self._round_at_s = 0.0
        self._round_head = 0

    async def confirm(self) -> float | None:
        """Return as of when all hosts hold the records known here, or None."""
        hosts = sorted([self._own, *self._read_peers()], key=lambda host: host.name)
        for collector in hosts[:COLLECTORS]:
            asked_at_s = now_s()
            head = self._read_head()
            reply = await self._ask_collector(collector, head)
            if reply is None:
                continue
            return asked_at_s - reply.age_s if reply.agreed else None
        return None

    def answer_head(self) -> HeadReport:
        """Return what this host knows."""
        return HeadReport(self._read_head())

    async def answer(self, ask: AskAgreement) -> Agreement:
        """Ask all hosts, as their collector, and return what they agree on."""
        if self._round is None or now_s() - self._round_at_s > ROUND_REUSE_S:
            self._round_at_s = now_s()
            self._round_head = self._read_head()
            self._round = asyncio.ensure_future(self._collect(self._round_head))
        started_s, head = self._round_at_s, self._round_head
        agreed = await asyncio.shield(self._round)
        return Agreement(agreed and head == ask.revision, now_s() - started_s)

    async def _ask_collector(self, collector: Host, head: int) -> Agreement | None:
        ask = AskAgreement(head)
        if collector.name == self._own.name:
            return await self.answer(ask)
        try:
            return await self._ask(collector, ask, COLLECTOR_TIMEOUT_S)
        except ConnectionRefusedError:
            return None

    async def _collect(self, head: int) -> bool:
        if now_s() - self._read_store_confirmed_s() > MAX_STORE_OUTAGE_S:
            return False
        peers = list(self._read_peers())
        answers = await asyncio.gather(*(self._agrees(peer, head) for peer in peers))
        return all(answers) and self._read_head() == head

    async def _agrees(self, peer: Host, head: int) -> bool:
        try:
            report = await self._ask(peer, AskHead(), HEAD_TIMEOUT_S)
        except ConnectionRefusedError:
            # It does not run, and is new when it does again.
            return True
        return report is not None and report.revision <= head

    async def _ask(self, peer: Host, message, timeout_s: float):
        try:
            async with asyncio.timeout(timeout_s):
                return await self._links.find(peer).call(message, timeout_s)
        except LinkDown as exc:
            context = exc.__context__ or exc.__cause__
            if isinstance(context, ConnectionRefusedError):
                raise context from exc
            return None
        except (LinkError, RemoteError, TimeoutError):
            # Silence is an answer here: there is no agreement without it.
            return None
