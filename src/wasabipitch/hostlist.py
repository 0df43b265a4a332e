"""Follows the platform's list of hosts, at a bounded rate of bytes."""

import asyncio
import logging
import random
from collections.abc import Callable

from wasabipitch.exceptions import StoreError
from wasabipitch.store import HostList, Store

LIST_WATCH_S = 16.0
# A list is fetched at most as often as keeps its traffic to this rate.
LIST_BYTES_PER_S = 1024
LISTED_HOST_BYTES = 150
MIN_LIST_INTERVAL_S = 0.5
MIN_BACKOFF_S = 0.5
MAX_BACKOFF_S = 8.0

logger = logging.getLogger(__name__)


async def watch_hosts(
    store: Store, on_change: Callable[[HostList], None], rng: random.Random
) -> None:
    """Watch the list of hosts until cancelled, and retry during outages.

    Args:
        store: The source of the list.
        on_change: Called with each new list.
        rng: The random generator for jitter.
    """
    failures = 0
    after = None
    interval_s = MIN_LIST_INTERVAL_S
    while True:
        try:
            hosts = await store.hosts(after, LIST_WATCH_S if after else 0)
        except StoreError as exc:
            failures += 1
            logger.debug("fetching the host list failed: %s", exc)
            await asyncio.sleep(_backoff_s(failures, rng))
            continue
        failures = 0
        if hosts is not None:
            after = hosts.revision
            interval_s = _interval_s(len(hosts.hosts))
            on_change(hosts)
        await asyncio.sleep(interval_s)


def _interval_s(count: int) -> float:
    """Return the least time between two fetches of a list of ``count`` hosts."""
    return max(MIN_LIST_INTERVAL_S, count * LISTED_HOST_BYTES / LIST_BYTES_PER_S)


def _backoff_s(failures: int, rng: random.Random) -> float:
    limit_s = min(MAX_BACKOFF_S, MIN_BACKOFF_S * 2 ** min(failures, 10))
    return rng.uniform(limit_s / 2, limit_s)
