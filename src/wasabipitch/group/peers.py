"""Asks the other owners of a group for log positions and for unused connections.

Hosts need this when several restart together or can't reach the primary. Without a
position sample, even reads that accept older data can only go to the primary while
replicas are idle. Without a connection, requests queue while another host holds one
unused.
"""

import asyncio
import random
from collections.abc import Callable, Iterable

from wasabipitch import tasks
from wasabipitch.clock import now_s
from wasabipitch.exceptions import LinkError
from wasabipitch.group.state import GroupState
from wasabipitch.links import RemoteError
from wasabipitch.messages import Message
from wasabipitch.models import Host
from wasabipitch.operations.decisions import DecisionLog
from wasabipitch.peer_links import PeerLinks
from wasabipitch.peer_messages import AskConnections, AskPosition, PositionReport

# Number of hosts asked for a position; a single one may have just started itself.
PEERS_ASKED = 2
# This is some hundred round trips; a later answer would be of no use.
ASK_TIMEOUT_S = 0.2
# Least time between two requests for the same thing.
POSITION_INTERVAL_S = 0.1
CONNECTIONS_INTERVAL_S = 0.3


def report_position(state: GroupState) -> PositionReport:
    """Return the latest position sample of this host for a peer."""
    sample = state.samples.newest
    if sample is None:
        return PositionReport(False)
    age_s = now_s() - sample.at_s
    return PositionReport(True, state.record_revision, sample.position, age_s)


class GroupPeers:
    """Sends requests to the other owners of a group in the background.

    Args:
        state: The state of the group, which receives the positions.
        links: The links to the peers.
        read_peers: Returns the other owners.
        decisions: The log of decisions.
    """

    def __init__(
        self,
        state: GroupState,
        links: PeerLinks,
        read_peers: Callable[[], Iterable[Host]],
        decisions: DecisionLog,
    ) -> None:
        # Called after a peer's position was added to the samples.
        self.on_position_added: Callable[[], None] = lambda: None
        self._state = state
        self._links = links
        self._read_peers = read_peers
        self._decisions = decisions
        self._position_asked_s = 0.0
        self._connections_asked_s: dict[str, float] = {}
        self._tasks: set[asyncio.Task] = set()

    def request_position(self) -> None:
        """Ask some peers for a position of the primary, at most once per interval."""
        at_s = now_s()
        if at_s - self._position_asked_s < POSITION_INTERVAL_S:
            return
        self._position_asked_s = at_s
        peers = list(self._read_peers())
        for peer in random.sample(peers, min(PEERS_ASKED, len(peers))):
            self._spawn(self._fetch_position(peer))

    def request_connections(self, instance: str) -> None:
        """Ask all peers to close unused connections, at most once per interval.

        Args:
            instance: The instance to which this host needs a connection.
        """
        at_s = now_s()
        if at_s - self._connections_asked_s.get(instance, 0.0) < CONNECTIONS_INTERVAL_S:
            return
        self._connections_asked_s[instance] = at_s
        message = AskConnections(self._state.name, instance)
        for peer in self._read_peers():
            self._spawn(self._ask(peer, message))

    def close(self) -> None:
        """Cancel the requests in progress."""
        for task in list(self._tasks):
            task.cancel()

    def _spawn(self, work) -> None:
        task = tasks.spawn(work, f"peers of {self._state.name}")
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)

    async def _fetch_position(self, peer: Host) -> None:
        asked_at_s = now_s()
        report = await self._ask(peer, AskPosition(self._state.name))
        if not isinstance(report, PositionReport) or not report.known:
            return
        if report.revision == self._state.record_revision:
            # The peer computed the age after the request was sent, so the time of
            # the request gives a lower bound for the time of the sample.
            self._state.samples.add(asked_at_s - report.age_s, report.position)
            self.on_position_added()

    async def _ask(self, peer: Host, message: Message) -> Message | None:
        try:
            async with asyncio.timeout(ASK_TIMEOUT_S):
                return await self._links.find(peer).call(message, ASK_TIMEOUT_S)
        except (LinkError, RemoteError, TimeoutError) as exc:
            self._decisions.routine(
                "peer did not help", peer=peer.name, reason=str(exc)
            )
            return None
