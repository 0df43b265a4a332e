"""Confirms the group records among the hosts during an outage of the store.

A group record names the primary of a group, and the head is the revision of the
newest group record. A host that replaces a primary first commits a new record to
the store and then waits until the read leases of the other hosts have ended before
it promotes a successor. So if every host that could replace a primary has seen no
newer record, the records are confirmed as of the time of the question. One host, the
collector, asks all of them, and the other hosts ask the collector.

In a small fleet a majority of the named hosts is enough, see ``policy/quorum``.

The collector might not know a host that registered recently. Therefore a new host
replaces no primary for ``MAX_STORE_OUTAGE_S``, and a collector uses the list of hosts
that it has from the store for no longer than that.
"""

import asyncio
import enum
from collections.abc import Callable, Iterable

from wasabipitch.clock import now_s
from wasabipitch.coordination.revisions import find_epoch
from wasabipitch.coordination.store import ABSENT
from wasabipitch.exceptions import LinkDown, LinkError
from wasabipitch.links import RemoteError
from wasabipitch.models import Host
from wasabipitch.peer_links import PeerLinks
from wasabipitch.peer_messages import Agreement, AskAgreement, AskHead, HeadReport
from wasabipitch.policy.quorum import MAX_STORE_OUTAGE_S, is_quorum

# The result of one round of questions is reused for this long.
ROUND_REUSE_S = 0.25
HEAD_TIMEOUT_S = 0.3
COLLECTOR_TIMEOUT_S = 0.45
# If the first host by name can't be reached, the second one is the collector.
COLLECTORS = 2


class _Opinion(enum.Enum):
    """What a peer says of the collector's head."""

    SAME = "it knows no newer record"
    OTHER = "it knows a newer record, or the store of another epoch"
    NONE = "it did not answer"
    # Or it has not read the store since its start. It is new then, and replaces no
    # primary for ``MAX_STORE_OUTAGE_S``.
    STOPPED = "it does not run"


class RecordAgreement:
    """Confirms this host's group records with the other hosts.

    Args:
        own: This host.
        links: The links to the peers.
        read_peers: Returns all other hosts that were registered recently.
        read_head: Returns the revision of the newest group record known here.
        read_store_confirmed_s: Returns the time at which the store itself last
            confirmed that revision, or 0 while this host has not read it.
        count_names: Returns the number of hosts that may run.
    """

    def __init__(
        self,
        own: Host,
        links: PeerLinks,
        read_peers: Callable[[], Iterable[Host]],
        read_head: Callable[[], int],
        read_store_confirmed_s: Callable[[], float],
        count_names: Callable[[], int],
    ) -> None:
        self._own = own
        self._links = links
        self._read_peers = read_peers
        self._read_head = read_head
        self._read_store_confirmed_s = read_store_confirmed_s
        self._count_names = count_names
        self._round: asyncio.Task[bool] | None = None
        self._round_at_s = 0.0
        self._round_head = 0

    async def confirm(self) -> float | None:
        """Return the time as of which all hosts agree with the records known here.

        Returns:
            A time in seconds on the clock of ``now_s``, or None without agreement.
        """
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
        """Return the head known here, for a collector.

        A host that has not read the store since its start knows of no record, and may
        have known a newer one before.
        """
        return HeadReport(self._read_head(), self._read_store_confirmed_s() > 0)

    async def answer(self, ask: AskAgreement) -> Agreement:
        """Return whether all hosts agree on a head; this host is the collector."""
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
        opinions = await asyncio.gather(*(self._ask_head(p, head) for p in peers))
        if _Opinion.OTHER in opinions or self._read_head() != head:
            return False
        if _Opinion.NONE not in opinions:
            return True
        agreeing = 1 + opinions.count(_Opinion.SAME)
        return is_quorum(agreeing, self._count_names())

    async def _ask_head(self, peer: Host, head: int) -> "_Opinion":
        try:
            report = await self._ask(peer, AskHead(), HEAD_TIMEOUT_S)
        except ConnectionRefusedError:
            return _Opinion.STOPPED
        if report is None:
            return _Opinion.NONE
        if not report.known:
            return _Opinion.STOPPED
        if report.revision != ABSENT and find_epoch(report.revision) != find_epoch(
            head
        ):
            # One of the two does not know yet that the store was restored.
            return _Opinion.OTHER
        return _Opinion.SAME if report.revision <= head else _Opinion.OTHER

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
            # Without an answer of every running host there is no agreement.
            return None
