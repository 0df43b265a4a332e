"""What the hosts that serve a group ask of each other.

Answers hosts that return together, or that can't reach the primary. Without a position
their reads that may be old could only go to the primary, though replicas are idle; and
without a connection they wait for one that another host holds unused.
"""

import asyncio
import random
from collections.abc import Callable, Iterable

from wasabipitch import tasks
from wasabipitch.clock import now_s
from wasabipitch.exceptions import LinkError
from wasabipitch.group.state import GroupState
from wasabipitch.linkbook import LinkBook
from wasabipitch.links import RemoteError
from wasabipitch.messages import Message
from wasabipitch.models import Host
from wasabipitch.operations.decisions import DecisionLog
from wasabipitch.peer_messages import AskConnections, AskPosition, PositionReport

# Hosts asked for a position at once; one of them may be new itself.
PEERS_ASKED = 2
# Some hundred round trips; a peer that takes longer is of no help.
ASK_TIMEOUT_S = 0.2
# The same is asked for no more often than this.
POSITION_INTERVAL_S = 0.1
CONNECTIONS_INTERVAL_S = 0.3


def report_position(state: GroupState) -> PositionReport:
    """Return the latest position that this host has seen."""
    sample = state.samples.newest
    if sample is None:
        return PositionReport(False)
    age_s = now_s() - sample.at_s
    return PositionReport(True, state.record_revision, sample.position, age_s)


class GroupPeers:
    """Asks the other hosts that serve a group, in the background.

    Args:
        state: of the group; it takes over the positions that are learnt.
        links: to the peers.
        read_peers: returns the hosts that may help.
    """

    def __init__(
        self,
        state: GroupState,
        links: LinkBook,
        read_peers: Callable[[], Iterable[Host]],
        decisions: DecisionLog,
    ) -> None:
        # Called when a position was learnt.
        self.on_position_learned: Callable[[], None] = lambda: None
        self._state = state
        self._links = links
        self._read_peers = read_peers
        self._decisions = decisions
        self._position_asked_s = 0.0
        self._connections_asked_s: dict[str, float] = {}
        self._tasks: set[asyncio.Task] = set()

    def request_position(self) -> None:
        """Ask some hosts for a position of the primary, unless just done."""
        at_s = now_s()
        if at_s - self._position_asked_s < POSITION_INTERVAL_S:
            return
        self._position_asked_s = at_s
        peers = list(self._read_peers())
        for peer in random.sample(peers, min(PEERS_ASKED, len(peers))):
            self._spawn(self._learn_position(peer))

    def request_connections(self, instance: str) -> None:
        """Ask all hosts to give back unused connections, unless just done."""
        at_s = now_s()
        if at_s - self._connections_asked_s.get(instance, 0.0) < CONNECTIONS_INTERVAL_S:
            return
        self._connections_asked_s[instance] = at_s
        message = AskConnections(self._state.name, instance)
        for peer in self._read_peers():
            self._spawn(self._ask(peer, message))

    def close(self) -> None:
        """Ask no further."""
        for task in list(self._tasks):
            task.cancel()

    def _spawn(self, work) -> None:
        task = tasks.spawn(work, f"peers of {self._state.name}")
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)

    async def _learn_position(self, peer: Host) -> None:
        asked_at_s = now_s()
        report = await self._ask(peer, AskPosition(self._state.name))
        if not isinstance(report, PositionReport) or not report.known:
            return
        if report.revision == self._state.record_revision:
            # The answer was given later than it was asked for, never earlier.
            self._state.samples.add(asked_at_s - report.age_s, report.position)
            self.on_position_learned()

    async def _ask(self, peer: Host, message: Message) -> Message | None:
        try:
            async with asyncio.timeout(ASK_TIMEOUT_S):
                return await self._links.find(peer).call(message, ASK_TIMEOUT_S)
        except (LinkError, RemoteError, TimeoutError) as exc:
            self._decisions.routine(
                "peer did not help", peer=peer.name, reason=str(exc)
            )
            return None
