"""Answers the requests on links, by the type of their message."""

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
    """Finds the handler for each message; ``handle`` suits a ``LinkServer``.

    Entry and pool answer the same questions, which are built in; each
    registers its own messages besides.

    Args:
        timeline: the events that ``AskEvents`` selects from.
        describe: returns the process's state for ``AskStatus``.
        keeper: takes offers of configuration.
        membership: answers digests.
        cuts: what ``SetCut`` sets; None where fault injection is not allowed.
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
        """Let a handler answer the messages of a type, in place of any before."""
        self._handlers[kind] = handler

    async def handle(self, exchange: Exchange) -> Message | None:
        """Answer one request.

        Raises:
            LinkError: if this process does not answer such messages.
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
