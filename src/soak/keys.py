"""Keys that the operator withdraws, and callers that go on using them."""

import asyncio
import random
from collections.abc import Callable, Mapping

from soak.callers import (
    DEFAULT_KEY,
    RETRY_PAUSE_S,
    Connection,
    Disconnected,
    Refused,
)
from soak.history import History, Violation
from wasabipitch.clock import now_s
from wasabipitch.models import Address

# The time within which hosts must refuse a withdrawn key. It is shorter than the faults
# last, so that a host that accepts it for as long as it hears of nothing is found.
REVOCATION_S = 2.5
# Each version of the configuration has a key of its own besides that of the version
# before, and so withdraws an older one.
KEYS_PER_VERSION = 2
# Callers try keys that were withdrawn up to this many versions ago.
TRIED_VERSIONS = 6
SESSION_S = (0.5, 8.0)
PAUSE_S = (0.01, 0.2)


def make_key(version: int) -> str:
    """Return the key that a version of the configuration adds."""
    return f"key-{version}"


def make_accounts(version: int) -> dict[str, list[str]]:
    """Return the keys of each account in a version of the configuration.

    The key of all other callers is never withdrawn.
    """
    versions = range(max(1, version - KEYS_PER_VERSION + 1), version + 1)
    return {"lasting": [DEFAULT_KEY], "changing": [make_key(v) for v in versions]}


class Withdrawals:
    """When the store last held each key of the account whose keys change."""

    def __init__(self) -> None:
        self._held_at_s: dict[str, float] = {}

    def record_held(self, accounts: Mapping[str, list[str]]) -> None:
        """Record that the store held a configuration until now."""
        for key in accounts["changing"]:
            self._held_at_s[key] = now_s()

    def is_overdue(self, key: str, sent_at_s: float) -> bool:
        """Return whether a request came too late for a key.

        Args:
            key: The key.
            sent_at_s: A time before the request was sent.
        """
        held_at_s = self._held_at_s.get(key)
        return held_at_s is not None and sent_at_s > held_at_s + REVOCATION_S


class KeyCaller:
    """Connects with keys of different versions and goes on until it is refused.

    Args:
        read_addresses: Returns the addresses on which the hosts accept callers.
        read_version: Returns the version of the operator's configuration.
        withdrawals: When the store last held each key.
        history: Records and checks the results.
        rng: The source of all random choices of the caller.
    """

    def __init__(
        self,
        read_addresses: Callable[[], list[Address]],
        read_version: Callable[[], int],
        withdrawals: Withdrawals,
        history: History,
        rng: random.Random,
    ) -> None:
        self._read_addresses = read_addresses
        self._read_version = read_version
        self._withdrawals = withdrawals
        self._history = history
        self._rng = rng

    async def run(self) -> None:
        """Open sessions and run statements until cancelled."""
        while True:
            newest = self._read_version()
            version = self._rng.randint(max(1, newest - TRIED_VERSIONS), newest)
            address = self._rng.choice(self._read_addresses())
            try:
                await self._run_session(address, make_key(version))
            except Refused as exc:
                self._history.outcomes[f"key {exc.code}"] += 1
            except Disconnected:
                self._history.outcomes["key disconnected"] += 1
            await asyncio.sleep(RETRY_PAUSE_S)

    async def _run_session(self, address: Address, key: str) -> None:
        sent_at_s = now_s()
        conn = await Connection.open(address, "payments", key)
        try:
            self._check(key, sent_at_s, "a session")
            until_s = now_s() + self._rng.uniform(*SESSION_S)
            while now_s() < until_s:
                text = self._rng.choice(("READ probe", "SET colour red"))
                sent_at_s = now_s()
                code, _ = await conn.execute(text)
                self._history.outcomes[f"key {code}"] += 1
                if code == "NOAUTH":
                    return
                if code == "ok":
                    self._check(key, sent_at_s, text)
                await asyncio.sleep(self._rng.uniform(*PAUSE_S))
        finally:
            conn.close()

    def _check(self, key: str, sent_at_s: float, what: str) -> None:
        if self._withdrawals.is_overdue(key, sent_at_s):
            detail = f"{what} of {key}, sent at {sent_at_s:.3f}, was served"
            self._history.violations.append(Violation("withdrawn key", detail))
