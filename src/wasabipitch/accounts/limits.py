"""Admits the operations of accounts within their limits over all hosts.

For each account one host, the counter, decides. On the counter an operation is admitted
without a message; another host asks it for tokens, and sends the operations that arrive
meanwhile together in its next message. A counter that does not answer is replaced by
the second host of the order, which grants a few operations from its reserve.
"""

import asyncio
import math
from collections.abc import Callable, Mapping

import msgspec

from wasabipitch import tasks
from wasabipitch.accounts.counting import TokenCounter
from wasabipitch.clock import now_s
from wasabipitch.coordination.documents import Account, Configuration, HostRecord
from wasabipitch.exceptions import LinkError
from wasabipitch.links import RemoteError
from wasabipitch.models import Host
from wasabipitch.operations.decisions import DecisionLog
from wasabipitch.operations.measures import Gauge, Measures
from wasabipitch.peer_links import PeerLinks
from wasabipitch.peer_messages import AskTokens, TokensReport
from wasabipitch.policy.counters import Standing

# A counter that does not answer in this time is taken for silent. Data centres are some
# 10 ms apart, and the waiting operation needs the rest of its objective.
ASK_TIMEOUT_S = 0.15
# A silent host is not asked again for this long, so that each operation does not wait
# for it anew.
AVOID_S = 1.0
# A host that refuses connections costs no waiting. After a power loss it may be back at
# any moment.
AVOID_DOWN_S = 0.05
# Hosts that lost power together start within some 0.5 s of each other. For the first
# seconds, operations wait for a host that counts; refused at once, their callers would
# use up their retries.
STARTING_S = 3.0
STARTING_PATIENCE_S = 0.4
STARTING_RETRY_S = 0.06
# The operations of one message; more are sent in the next one.
MAX_COUNT = 1000
# State of an account without operations is dropped after this time.
RETENTION_S = 30.0
# One line for each account in this time; further refusals are counted in its next line.
LOG_INTERVAL_S = 1.0

OVER_LIMIT = "the account's limit is reached"
NO_COUNTER = "no host counts the account's operations now"
SILENT = "the hosts that count the account's operations are silent"


class _Asker(msgspec.Struct, eq=False):
    """An account's operations on this host that wait for tokens."""

    standing: Standing
    # The futures return None once a token is there, or the reason of the refusal.
    waiters: list[asyncio.Future] = msgspec.field(default_factory=list)
    task: asyncio.Task | None = None
    used_at_s: float = 0.0
    logged_at_s: float = -math.inf
    unlogged: int = 0


class _Outcome(msgspec.Struct, frozen=True):
    """The tokens for a batch of operations, and why others got none."""

    granted: int
    reason: str = ""
    report: TokensReport = TokensReport()
    host: str = ""


class AccountLimits:
    """Decides which operations of accounts may start.

    Args:
        own: This host's name.
        counter: Grants tokens on this host.
        links: The links to the peers.
        find_host: Returns a host by its name.
        read_configuration: Returns the configuration in force, or None.
        decisions: The log of refusals.
        measures: Counts tokens, questions and refusals.
    """

    def __init__(
        self,
        own: str,
        counter: TokenCounter,
        links: PeerLinks,
        find_host: Callable[[str], Host],
        read_configuration: Callable[[], Configuration | None],
        decisions: DecisionLog,
        measures: Measures,
    ) -> None:
        self._own = own
        self._counter = counter
        self._links = links
        self._find_host = find_host
        self._read_configuration = read_configuration
        self._decisions = decisions
        self._measures = measures
        self._askers: dict[str, _Asker] = {}
        self._avoid_until_s: dict[str, float] = {}
        self._started_at_s = now_s()

    async def acquire(self, account: Account) -> str | None:
        """Take a token for an operation, which is then spent even if it does not run.

        Args:
            account: The operation's account in the configuration in force.

        Returns:
            None if the operation may start, or the reason why it is refused.
        """
        if account.rate_per_s is None:
            return None
        asker = self._find_asker(account.name)
        if asker.task is None and asker.standing.order[:1] == (self._own,):
            report = self._grant(account, 1)
            if report.granted:
                return None
            if report.counts:
                outcome = _Outcome(0, OVER_LIMIT, report, self._own)
                return self._refuse(account, asker, outcome)
        waiter = asyncio.get_running_loop().create_future()
        asker.waiters.append(waiter)
        if asker.task is None:
            asker.task = tasks.spawn(self._serve(account.name, asker), "tokens")
        return await waiter

    async def answer(self, ask: AskTokens) -> TokensReport:
        """Return the tokens that a peer gets from this host.

        This host's own configuration decides. If it is older than the sender's and
        lacks the account, nothing is granted.
        """
        configuration = self._read_configuration()
        if configuration is None:
            return TokensReport()
        account = configuration.accounts.get(ask.account)
        if account is None:
            return TokensReport(version=configuration.version)
        if account.rate_per_s is None:
            return TokensReport(ask.count, True, configuration.version)
        return self._grant(account, ask.count)

    def update_hosts(self, hosts: Mapping[str, HostRecord]) -> None:
        """Take the live hosts over after a change of the copy."""
        self._counter.update_hosts(hosts)

    def observe_proof(self) -> None:
        """Note a new proof that the copy of the store is current."""
        self._counter.observe_proof()

    def drop_unused(self) -> None:
        """Drop the state of accounts without operations lately."""
        self._counter.observe_proof()
        configuration = self._read_configuration()
        self._counter.drop_unused(configuration.accounts if configuration else {})
        at_s = now_s()
        for name, asker in list(self._askers.items()):
            if asker.task is None and at_s - asker.used_at_s > RETENTION_S:
                del self._askers[name]
        for host, until_s in list(self._avoid_until_s.items()):
            if until_s <= at_s:
                del self._avoid_until_s[host]

    def read_gauges(self) -> list[Gauge]:
        """Return the number of accounts for which this host was asked lately."""
        return [Gauge("counted_accounts", (), self._counter.accounts)]

    def _find_asker(self, name: str) -> _Asker:
        asker = self._askers.get(name)
        if asker is None:
            asker = self._askers[name] = _Asker(Standing(name, self._own))
        asker.standing.update(self._counter.membership)
        asker.used_at_s = now_s()
        return asker

    async def _serve(self, name: str, asker: _Asker) -> None:
        """Ask for tokens until no operation waits."""
        try:
            while asker.waiters:
                batch = asker.waiters[:MAX_COUNT]
                del asker.waiters[:MAX_COUNT]
                try:
                    await self._serve_batch(name, asker, batch)
                finally:
                    _resolve(batch, 0, NO_COUNTER)
        finally:
            asker.task = None
            _resolve(asker.waiters, 0, NO_COUNTER)

    async def _serve_batch(
        self, name: str, asker: _Asker, batch: list[asyncio.Future]
    ) -> None:
        # The callers of the others have left.
        count = sum(not waiter.done() for waiter in batch)
        if not count:
            return
        configuration = self._read_configuration()
        account = configuration.accounts.get(name) if configuration else None
        if account is None or account.rate_per_s is None:
            # The limit was removed while the operations waited.
            _resolve(batch, len(batch), "")
            return
        outcome = await self._ask_patiently(account, asker, count)
        refused = count - outcome.granted
        for _ in range(refused):
            self._refuse(account, asker, outcome)
        _resolve(batch, outcome.granted, outcome.reason)

    async def _ask_patiently(
        self, account: Account, asker: _Asker, count: int
    ) -> _Outcome:
        """Ask for tokens, again for a while if no host counts after the start."""
        at_s = now_s()
        is_starting = at_s - self._started_at_s < STARTING_S
        until_s = at_s + STARTING_PATIENCE_S if is_starting else at_s
        while True:
            asker.standing.update(self._counter.membership)
            outcome = await self._ask_in_order(account, asker.standing.order, count)
            is_decided = outcome.granted > 0 or outcome.reason == OVER_LIMIT
            if is_decided or now_s() + STARTING_RETRY_S > until_s:
                return outcome
            await asyncio.sleep(STARTING_RETRY_S)

    async def _ask_in_order(
        self, account: Account, order: tuple[str, ...], count: int
    ) -> _Outcome:
        """Ask the counter, and the second host if the counter does not decide."""
        granted, reason, last, asked = 0, NO_COUNTER, TokensReport(), ""
        for host in order:
            report = await self._ask(account, host, count - granted)
            if report is None:
                reason = SILENT
                continue
            granted += report.granted
            last, asked = report, host
            if report.counts or granted >= count:
                return _Outcome(granted, OVER_LIMIT, last, asked)
        return _Outcome(granted, reason, last, asked)

    async def _ask(
        self, account: Account, host: str, count: int
    ) -> TokensReport | None:
        """Return a host's answer, or None if it is silent."""
        if host == self._own:
            return self._grant(account, count)
        if self._avoid_until_s.get(host, 0.0) > now_s():
            return None
        outcome, avoid_s = "answered", 0.0
        try:
            async with asyncio.timeout(ASK_TIMEOUT_S):
                link = self._links.find(self._find_host(host))
                # An answer that comes after the timeout is dropped with its tokens.
                report = await link.call(AskTokens(account.name, count), ASK_TIMEOUT_S)
        except TimeoutError:
            outcome, avoid_s, report = "late", AVOID_S, None
        except (LinkError, RemoteError, KeyError):
            outcome, avoid_s, report = "failed", AVOID_DOWN_S, None
        self._measures.count("token_asks", outcome=outcome)
        if report is None:
            self._avoid_until_s[host] = now_s() + avoid_s
            return None
        # A peer's answer is never taken for more than was asked for.
        if report.granted > count:
            report = msgspec.structs.replace(report, granted=count)
        return report

    def _grant(self, account: Account, count: int) -> TokensReport:
        grant = self._counter.grant(account, count)
        for number in range(grant.granted):
            source = "reserve" if number < grant.reserved else "limit"
            self._measures.count("tokens_granted", source=source)
        configuration = self._read_configuration()
        return TokensReport(
            grant.granted,
            grant.counts,
            configuration.version if configuration else 0,
            round(self._counter.proof_age_s, 3),
        )

    def _refuse(self, account: Account, asker: _Asker, outcome: _Outcome) -> str:
        """Count a refusal, log it unless one was logged lately, and return why."""
        reason = outcome.reason
        self._measures.count("operations_refused", reason=_REASON_LABELS[reason])
        at_s = now_s()
        if at_s - asker.logged_at_s < LOG_INTERVAL_S:
            asker.unlogged += 1
            return reason
        configuration = self._read_configuration()
        self._decisions.request(
            "operation refused",
            account=account.name,
            reason=reason,
            rate_per_s=account.rate_per_s,
            burst=account.burst,
            version=configuration.version if configuration else None,
            counter=outcome.host,
            counter_version=outcome.report.version,
            proof_age_s=outcome.report.age_s,
            refused_before=asker.unlogged,
        )
        asker.logged_at_s, asker.unlogged = at_s, 0
        return reason


_REASON_LABELS = {OVER_LIMIT: "limit", NO_COUNTER: "no counter", SILENT: "silent"}


def _resolve(waiters: list[asyncio.Future], granted: int, reason: str) -> None:
    """Give the tokens to the first operations that still wait; refuse the others.

    Tokens that are left over are dropped. A token kept for a later operation could be
    spent long after the window in which it was granted.
    """
    for waiter in waiters:
        if waiter.done():
            continue
        if granted > 0:
            granted -= 1
            waiter.set_result(None)
        else:
            waiter.set_result(reason)
