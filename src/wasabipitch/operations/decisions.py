"""The decision log: one JSON line for each decision worth explaining later."""

import logging
from collections import Counter
from typing import Any

from pythonjsonlogger.json import JsonFormatter

from wasabipitch.clock import now_s
from wasabipitch.operations.logwriter import LogWriter
from wasabipitch.operations.measures import Measures

# One in this many routine decisions is logged.
ROUTINE_SAMPLE = 50
# More lines of late requests in one second are only counted, so that logging them
# costs an overloaded host little. The same holds for each kind of ``limited`` line.
LATE_LINES_PER_S = 20
FORMAT = "%(asctime)s %(levelname)s %(message)s"


class _WriterHandler(logging.Handler):
    """Passes formatted log records to the non-blocking writer."""

    def __init__(self, writer: LogWriter) -> None:
        super().__init__()
        self._writer = writer

    def emit(self, record: logging.LogRecord) -> None:
        routine = record.levelno <= logging.DEBUG
        self._writer.write(self.format(record), record.getMessage(), routine)


class DecisionLog:
    """Logs decisions on requests and changes of the host's state as JSON lines.

    With a writer, it also receives the records of all other loggers of the process.

    Args:
        host: The host's name, which is added to each line.
        writer: Writes the lines; without one, nothing is logged.
        measures: Counts all events, including those that are not logged.
    """

    def __init__(
        self,
        host: str,
        writer: LogWriter | None = None,
        measures: Measures | None = None,
    ) -> None:
        self._measures = measures or Measures()
        self._logger = logging.Logger(f"wasabipitch.{host}", logging.DEBUG)
        self._routine_count = 0
        self._limited_counts: Counter[str] = Counter()
        self._limited_since_s = 0.0
        self._reported_dropped: dict[str, int] = {}
        self._writer = writer
        if writer is None:
            self._logger.addHandler(logging.NullHandler())
            return
        handler = _WriterHandler(writer)
        handler.setFormatter(
            JsonFormatter(
                FORMAT,
                rename_fields={
                    "asctime": "time",
                    "levelname": "level",
                    "message": "event",
                },
                static_fields={"host": host},
            )
        )
        self._logger.addHandler(handler)
        logging.getLogger().addHandler(handler)

    def count(self, name: str, **labels: str) -> None:
        """Add one to a counter of the host's metrics, without a line in the log."""
        self._measures.count(name, **labels)

    def belief(self, event: str, **fields: Any) -> None:
        """Log a change of the host's view of the system, or its start or stop."""
        self._measures.count("decisions", event=event)
        self._log(logging.WARNING, event, fields)
        self._report_dropped()

    def request(self, event: str, **fields: Any) -> None:
        """Log a decision on a request that affects its caller, such as a refusal."""
        self._measures.count("decisions", event=event)
        self._log(logging.INFO, event, fields)

    def late(self, event: str, **fields: Any) -> None:
        """Log a request that was served late, at most ``LATE_LINES_PER_S``."""
        self.limited(event, **fields)

    def limited(self, event: str, **fields: Any) -> None:
        """Log something that clients can cause at any rate.

        Of each event, at most ``LATE_LINES_PER_S`` lines are written.
        """
        self._measures.count("decisions", event=event)
        at_s = now_s()
        if at_s - self._limited_since_s >= 1.0:
            self._limited_since_s = at_s
            self._limited_counts.clear()
        self._limited_counts[event] += 1
        if self._limited_counts[event] <= LATE_LINES_PER_S:
            self._log(logging.INFO, event, fields)

    def refusal(self, event: str, **fields: Any) -> None:
        """Log the refusal of a key, at most ``LATE_LINES_PER_S`` of each event."""
        self.limited(event, **fields)

    def routine(self, event: str, **fields: Any) -> None:
        """Log a sample of the decisions on requests that succeed."""
        self._measures.count("decisions", event=event)
        self._routine_count += 1
        if self._routine_count % ROUTINE_SAMPLE == 0:
            self._log(logging.DEBUG, event, fields)

    def _log(self, level: int, event: str, fields: dict[str, Any]) -> None:
        self._logger.log(level, event, extra={"at_s": round(now_s(), 3), **fields})

    def _report_dropped(self) -> None:
        if self._writer is None or self._writer.dropped == self._reported_dropped:
            return
        self._reported_dropped = dict(self._writer.dropped)
        fields = {"dropped": self._reported_dropped}
        self._log(logging.WARNING, "log lines dropped", fields)
