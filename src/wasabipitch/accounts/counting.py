"""Grants the tokens of accounts on the host that is asked for them.

A host grants from an account's whole limit only while it is certain that no other host
does so:

- it is the first host of the account's order in its own copy, and has been since it saw
  itself become the first;
- its proof that the copy is current is younger than ``COUNTING_PROOF_S``;
- the store lists it now, by the lease of its registration, and has done so for longer
  than ``COUNTING_WAIT_S``, so that every other copy with such a proof has it, too.

Otherwise it grants from a reserve. See ``docs/design/limits.md`` for the proofs of both
bounds.
"""

import math
from collections.abc import Callable, Mapping
from typing import Protocol

import msgspec

from wasabipitch.clock import now_s
from wasabipitch.coordination.documents import Account, HostRecord
from wasabipitch.policy.counters import Candidate, Membership, ProofChain, Standing
from wasabipitch.policy.token_bucket import (
    QuotaTolerance,
    Reserve,
    TokenBucket,
    reserve_bound,
)

# A counter stops this long after the last read of the store that shows its copy to be
# current. Two such reads may fail, as for the read leases.
COUNTING_PROOF_S = 1.6
# For steps of a decision that are not instantaneous: between the check of the proof and
# the grant, and between the end of a call to the store and the record of its time.
MARGIN_S = 0.3
# By this time after a host was registered, every other host that still counts has it in
# its copy.
COUNTING_WAIT_S = COUNTING_PROOF_S + MARGIN_S
# The reserve bridges an outage of the store for this long. Where every host has to
# refuse withdrawn keys, no operation of an account runs on an older proof in any case.
RESERVE_PROOF_S = 5.0
# State of an account that is not asked for is dropped after this time.
RETENTION_S = 30.0


class Registration(Protocol):
    """This host's registration in the store.

    Attributes:
        listed_since_s: Since when the store has listed this host without
            interruption, or infinity.
        listed_until_s: Until when its lease can't end.
        is_successor: Whether it took over the registration of an earlier run, which
            every host knew that counts.
    """

    listed_since_s: float
    listed_until_s: float
    is_successor: bool


class Currency(Protocol):
    """The proof that the local copy of the store is current.

    Attributes:
        proven_at_s: The time as of which the copy is known to be current, or 0.
    """

    proven_at_s: float


class Grant(msgspec.Struct, frozen=True):
    """A decision about some operations of an account.

    Args:
        granted: How many of them may start.
        reserved: How many of these were granted from the reserve.
        counts: Whether this host decided from the whole limit.
    """

    granted: int
    reserved: int
    counts: bool


class _AccountState(msgspec.Struct, eq=False):
    """What a host keeps of an account for which it was asked."""

    standing: Standing
    reserve: Reserve
    bucket: TokenBucket | None = None
    turn_began_s: float = math.inf
    asked_at_s: float = 0.0


class TokenCounter:
    """Grants tokens as the counter of an account, or as its substitute.

    Args:
        own: This host's name.
        registration: This host's registration.
        currency: The proof that the copy is current.
        tolerance: How far a limit may be exceeded.
        read_clock: Returns the present time; it includes suspended time.
    """

    def __init__(
        self,
        own: str,
        registration: Registration,
        currency: Currency,
        tolerance: QuotaTolerance,
        read_clock: Callable[[], float] = now_s,
    ) -> None:
        self._own = own
        self._registration = registration
        self._currency = currency
        self._tolerance = tolerance
        self._read_clock = read_clock
        # A new host has no part in the reserve until every grant of the host before
        # it has left the window.
        self._reserve_wait_s = tolerance.window_s + RESERVE_PROOF_S + MARGIN_S
        self.membership = Membership(self._reserve_wait_s)
        self._counting_proofs = ProofChain(COUNTING_PROOF_S)
        self._reserve_proofs = ProofChain(RESERVE_PROOF_S)
        self._states: dict[str, _AccountState] = {}
        # The records at the last change of the live hosts.
        self._hosts: dict[str, HostRecord] = {}

    def update_hosts(self, hosts: Mapping[str, HostRecord]) -> None:
        """Take the live hosts over after a change of the copy.

        Args:
            hosts: The records of the live hosts.
        """
        self.observe_proof()
        if hosts == self._hosts:
            return
        self._hosts = dict(hosts)
        self.membership.record(
            frozenset(
                Candidate(record.name, record.cores, record.link_mbps)
                for record in hosts.values()
            ),
            self._read_clock(),
        )

    def observe_proof(self) -> None:
        """Note the present proof; called whenever it may have changed."""
        at_s, proven_at_s = self._read_clock(), self._currency.proven_at_s
        self._counting_proofs.observe(proven_at_s, at_s)
        self._reserve_proofs.observe(proven_at_s, at_s)

    def grant(self, account: Account, count: int) -> Grant:
        """Grant up to a number of operations of an account with a limit."""
        self.observe_proof()
        # Read once, before all checks: a decision that is suspended in its midst then
        # grants what was due when it began.
        at_s = self._read_clock()
        state = self._find_state(account.name)
        state.asked_at_s = at_s
        state.standing.update(self.membership)
        turn_began_s = self._find_turn(state, at_s)
        if turn_began_s > at_s:
            state.bucket = None
            reserved = self._take_reserve(account, state, count, at_s)
            return Grant(reserved, reserved, False)
        bucket = self._find_bucket(account, state, turn_began_s, at_s)
        granted, reserved = bucket.take(count, at_s), 0
        if at_s - turn_began_s < self._tolerance.window_s:
            # The bucket began empty.
            reserved = self._take_reserve(account, state, count - granted, at_s)
        return Grant(granted + reserved, reserved, True)

    def drop_unused(self, accounts: Mapping[str, Account]) -> None:
        """Drop the state of accounts that were not asked for lately.

        Args:
            accounts: The accounts of the configuration in force.
        """
        at_s = self._read_clock()
        retention_s = max(RETENTION_S, self._reserve_wait_s)
        for name, state in list(self._states.items()):
            if at_s - state.asked_at_s > retention_s and (
                name not in accounts
                or state.bucket is None
                or state.bucket.is_full(at_s)
            ):
                del self._states[name]

    @property
    def proof_age_s(self) -> float:
        """The age of the proof, in seconds; since the machine's start without one."""
        return self._read_clock() - self._currency.proven_at_s

    @property
    def accounts(self) -> int:
        """The number of accounts of which this host keeps state."""
        return len(self._states)

    def _find_state(self, account: str) -> _AccountState:
        state = self._states.get(account)
        if state is None:
            standing = Standing(account, self._own)
            reserve = Reserve(self._tolerance.window_s)
            state = self._states[account] = _AccountState(standing, reserve)
        return state

    def _find_turn(self, state: _AccountState, at_s: float) -> float:
        """Return when this host could begin to count, or infinity if it may not."""
        registration, proofs = self._registration, self._counting_proofs
        if at_s >= registration.listed_until_s - MARGIN_S:
            return math.inf
        began_s = max(
            state.standing.first_since_s, proofs.since_s, registration.listed_since_s
        )
        if (
            registration.is_successor
            and state.standing.first_since_s <= self.membership.begun_at_s
            and proofs.since_s <= proofs.begun_at_s
        ):
            # No other host was first while the earlier run was registered, and that
            # run no longer counts.
            return began_s
        return began_s + COUNTING_WAIT_S

    def _find_bucket(
        self, account: Account, state: _AccountState, turn_began_s: float, at_s: float
    ) -> TokenBucket:
        rate_per_s, burst = account.rate_per_s, account.burst
        if state.bucket is None or state.turn_began_s != turn_began_s:
            # As if it had begun empty with the turn, and had not been used since.
            tokens = rate_per_s * (at_s - turn_began_s)
            state.bucket = TokenBucket(rate_per_s, burst, at_s, tokens)
            state.turn_began_s = turn_began_s
        state.bucket.change(rate_per_s, burst, at_s)
        return state.bucket

    def _take_reserve(
        self, account: Account, state: _AccountState, count: int, at_s: float
    ) -> int:
        since_s = max(
            state.standing.granting_since_s,
            self._reserve_proofs.since_s,
            self._registration.listed_since_s,
        )
        is_listed = at_s < self._registration.listed_until_s - MARGIN_S
        if count <= 0 or not is_listed or at_s - since_s < self._reserve_wait_s:
            return 0
        bound = reserve_bound(account.rate_per_s, account.burst, self._tolerance)
        return state.reserve.take(count, bound, at_s)
