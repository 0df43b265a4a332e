"""Recording of the outcome and the response time of every request."""

import enum
import re
import time
from collections import Counter
from dataclasses import dataclass

from hdrh.histogram import HdrHistogram

from bench.schedule import Arrival

_NUMBER = re.compile(r"\d+(?:\.\d+)?")

LOWEST_US = 1
HIGHEST_US = 600_000_000
SIGNIFICANT_DIGITS = 3
US_PER_S = 1_000_000
US_PER_MS = 1000


class Outcome(enum.Enum):
    """The outcome of a request.

    ``GOOD`` was answered within the deadline of its class, ``LATE`` after it.
    ``REFUSED`` was refused before its deadline, ``EXPIRED`` because the deadline
    passed while it waited; both have the verdict NOT_RUN. ``UNSENT`` was never
    sent, since its deadline passed while all connections were busy. ``UNSURE``
    got the verdict MAY_HAVE_RUN. ``UNANSWERED`` got no answer in time. ``FAILED``
    ended with another error. ``STALE`` read an older value than the session
    itself had written.
    """

    GOOD = "good"
    LATE = "late"
    REFUSED = "refused"
    EXPIRED = "expired"
    UNSENT = "unsent"
    UNSURE = "unsure"
    UNANSWERED = "unanswered"
    FAILED = "failed"
    STALE = "stale"


ANSWERED = (Outcome.GOOD, Outcome.LATE, Outcome.STALE)


@dataclass(frozen=True, slots=True)
class Sample:
    """The record of one finished request.

    Args:
        arrival: the scheduled request.
        outcome: the outcome.
        done_s: the time of the end since the start of the schedule.
        response_s: the time from the scheduled arrival to the end. It includes
            a late start, so that a slow server can't hide queueing delay
            (coordinated omission).
        exchange_s: the time from sending the request to the end.
    """

    arrival: Arrival
    outcome: Outcome
    done_s: float
    response_s: float
    exchange_s: float


class Recorder:
    """Collects a sample of every request.

    Args:
        start_s: the monotonic time at which the schedule starts.
    """

    def __init__(self, start_s: float) -> None:
        self.start_s = start_s
        self.samples: list[Sample] = []
        self.errors: Counter[str] = Counter()
        self.refusals: Counter[str] = Counter()
        self.start_delays = new_histogram()

    def age_s(self, arrival: Arrival) -> float:
        """Return the time since a request's scheduled arrival."""
        return time.monotonic() - self.start_s - arrival.at_s

    def started(self, arrival: Arrival) -> None:
        """Record the delay until a connection has taken a request from the queue."""
        record_duration(self.start_delays, self.age_s(arrival))

    def record(
        self, arrival: Arrival, outcome: Outcome, exchange_s: float = 0.0
    ) -> None:
        """Add the sample of a finished request.

        Args:
            arrival: the scheduled request.
            outcome: the outcome.
            exchange_s: the time from sending the request to the end, 0 if it was
                not sent.
        """
        response_s = self.age_s(arrival)
        done_s = arrival.at_s + response_s
        sample = Sample(arrival, outcome, done_s, response_s, exchange_s)
        self.samples.append(sample)

    def record_refusal(self, arrival: Arrival, text: str) -> None:
        """Count a refusal by phase, class and reason.

        Numbers in the reason become ``N``, so that equal reasons are counted
        together.
        """
        reason = _NUMBER.sub("N", text.partition(" (verdict")[0])
        key = f"phase {arrival.phase}, {arrival.work.name}: {reason}"
        self.refusals[key] += 1

    def record_error(self, text: str) -> None:
        """Count an error that no other outcome covers, by its shortened text."""
        self.errors[text[:160]] += 1


def new_histogram() -> HdrHistogram:
    """Return an empty histogram of durations in microseconds."""
    return HdrHistogram(LOWEST_US, HIGHEST_US, SIGNIFICANT_DIGITS)


def record_duration(histogram: HdrHistogram, seconds: float) -> None:
    """Add a duration to a histogram, limited to the range of the histogram."""
    us = min(max(int(seconds * US_PER_S), LOWEST_US), HIGHEST_US)
    histogram.record_value(us)


def percentile_ms(histogram: HdrHistogram, percentile: float) -> float:
    """Return a percentile in milliseconds; 0 if the histogram is empty."""
    if not histogram.get_total_count():
        return 0.0
    return round(histogram.get_value_at_percentile(percentile) / US_PER_MS, 3)
