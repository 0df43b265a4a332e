"""Counts and logs the connections that a listener closes or refuses."""

from typing import Any

from wasabipitch.operations.decisions import DecisionLog
from wasabipitch.operations.measures import Measures


class ListenerLog:
    """Records what one listener does to its connections, in bounded volume.

    Args:
        listener: The listener's name in the records.
        decisions: Logs the connections.
        measures: Counts them.
    """

    def __init__(
        self, listener: str, decisions: DecisionLog, measures: Measures
    ) -> None:
        self._listener = listener
        self._decisions = decisions
        self._measures = measures

    def record_closed(self, reason: str, **fields: Any) -> None:
        """Record a connection that was closed, and why."""
        self._measures.count(
            "connections_closed", listener=self._listener, reason=reason
        )
        self._decisions.limited(
            "connection closed", listener=self._listener, reason=reason, **fields
        )

    def record_refused(self, reason: str, **fields: Any) -> None:
        """Record a connection that was not accepted, and why."""
        self._measures.count(
            "connections_refused", listener=self._listener, reason=reason
        )
        self._decisions.limited(
            "connection refused", listener=self._listener, reason=reason, **fields
        )
