"""Dispatches the requests that arrive on links by the type of their message."""

from collections.abc import Callable

from wasabipitch.configuration import ConfigurationKeeper
from wasabipitch.events import Timeline
from wasabipitch.exceptions import LinkError, SettingsError
from wasabipitch.hosts import Membership
from wasabipitch.links import Cuts
from wasabipitch.linkserver import Exchange, Handler
from wasabipitch.messages import (
    AskEvents,
    AskStatus,
    Digest,
    Done,
    Events,
    Message,
    OfferConfiguration,
    ProcessState,
    SetCut,
)

DescribeProcess = Callable[[], ProcessState]


class ControlServer:
    """Passes each request to the handler registered for its type.

    ``handle`` is the handler of a ``LinkServer``. The messages that every process
    answers are built in; an entry or a pool registers handlers for its own messages.

    Args:
        timeline: The events among which ``AskEvents`` selects.
        describe: Returns the process's state for ``AskStatus``.
        keeper: The configuration keeper, which answers offers of configuration.
        membership: The membership, which answers digests.
        cuts: The peers that ``SetCut`` cuts off, or None if the settings do not allow
            fault injection.
    """

    def __init__(
        self,
        timeline: Timeline,
        describe: DescribeProcess,
        keeper: ConfigurationKeeper,
        membership: Membership,
        *,
        cuts: Cuts | None = None,
    ) -> None:
        self._timeline = timeline
        self._describe = describe
        self._keeper = keeper
        self._cuts = cuts
        self._handlers: dict[type, Handler] = {}
        self.register(AskStatus, self._answer_status)
        self.register(AskEvents, self._answer_events)
        self.register(OfferConfiguration, self._answer_offer)
        self.register(Digest, membership.answer_digest)
        self.register(SetCut, self._set_cut)

    def register(self, kind: type, handler: Handler) -> None:
        """Register the handler of a message type, in place of any earlier one."""
        self._handlers[kind] = handler

    async def handle(self, exchange: Exchange) -> Message | None:
        """Answer one request.

        Raises:
            LinkError: If this process does not answer such messages.
        """
        kind = type(exchange.message)
        handler = self._handlers.get(kind)
        if handler is None:
            raise LinkError(f"{self._timeline.host} does not answer {kind.__name__}")
        return await handler(exchange)

    async def _answer_status(self, exchange: Exchange) -> ProcessState:
        return self._describe()

    async def _answer_events(self, exchange: Exchange) -> Events:
        events = self._timeline.select(exchange.message)
        return Events(self._timeline.host, events)

    async def _answer_offer(self, exchange: Exchange) -> Message:
        return self._keeper.answer_offer(exchange.message, exchange.peer)

    async def _set_cut(self, exchange: Exchange) -> Done:
        if self._cuts is None:
            raise SettingsError(
                f"{self._timeline.host}: fault_injection is off in the settings"
            )
        self._cuts.peers = frozenset(exchange.message.peers)
        return Done(f"{len(self._cuts.peers)} peers cut off")
