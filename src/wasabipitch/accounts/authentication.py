"""Authenticates callers by the configuration in force and reports refusals."""

from collections.abc import Callable
from typing import Any

from wasabipitch.coordination.currency import CopyCurrency
from wasabipitch.coordination.documents import Configuration
from wasabipitch.operations.decisions import DecisionLog
from wasabipitch.operations.measures import Measures
from wasabipitch.policy.authorization import (
    Refused,
    Served,
    authorize,
    find_max_proof_age,
)
from wasabipitch.wire.messages import Startup


class Authentication:
    """Decides for each statement of a caller which account it is served for.

    Args:
        read_configuration: Returns the configuration in force, or None.
        currency: The proof that the configuration in force is current.
        revocation_s: The time within which a withdrawn key must be refused, or None
            if the age of the configuration does not matter.
        decisions: Logs refusals.
        measures: Counts refusals.
    """

    def __init__(
        self,
        read_configuration: Callable[[], Configuration | None],
        currency: CopyCurrency,
        revocation_s: float | None,
        decisions: DecisionLog,
        measures: Measures,
    ) -> None:
        self._read_configuration = read_configuration
        self._currency = currency
        self._max_proof_age_s = (
            None if revocation_s is None else find_max_proof_age(revocation_s)
        )
        self._decisions = decisions
        self._measures = measures

    def check(
        self, startup: Startup, transaction_account: str | None = None
    ) -> Served | Refused:
        """Return whether a caller may run a statement that has just been read.

        The proof is judged now, after the statement was read and thus was sent. A
        freeze between this call and the run of the statement does no harm therefore.

        Args:
            startup: The caller's first message, with its key.
            transaction_account: The account of the caller's open transaction, or None
                outside transactions.
        """
        configuration = self._read_configuration()
        if configuration is None:
            return Served(transaction_account or "")
        return authorize(
            configuration,
            startup.database,
            startup.key,
            self.is_proven,
            transaction_account,
        )

    @property
    def is_proven(self) -> bool:
        """Whether the configuration is recent enough to trust a key."""
        return self._is_proven_until(0.0)

    def _is_proven_until(self, later_s: float) -> bool:
        if self._max_proof_age_s is None:
            return True
        return self._currency.is_proven_within(self._max_proof_age_s + later_s)

    def is_awaiting_proof(self, database: str) -> bool:
        """Return whether a caller should wait for the first proof after a start.

        It takes as long as asking the peers for their versions. A host whose peers know
        a greater version may have no proof for long, and refuses callers at once.

        Args:
            database: The database that the caller uses.
        """
        configuration = self._read_configuration()
        if not self._is_needed or configuration is None:
            return False
        route = configuration.routes.get(database)
        if route is None or route.public:
            return False
        return self._currency.proven_at_s == 0 and not self._currency.is_surveyed

    @property
    def is_refusing(self) -> bool:
        """Whether callers with keys are refused, since the proof is too old."""
        return self._is_needed and not self.is_proven

    def is_refusing_longer_than(self, seconds: float) -> bool:
        """Return whether callers with keys were refused for so long.

        A host that has had no proof since its start has served no such caller.
        """
        return (
            self._is_needed
            and self._currency.proven_at_s > 0
            and not self._is_proven_until(seconds)
        )

    @property
    def _is_needed(self) -> bool:
        configuration = self._read_configuration()
        return (
            self._max_proof_age_s is not None
            and configuration is not None
            and bool(configuration.accounts)
        )

    def report(self, event: str, refusal: Refused, **fields: Any) -> None:
        """Count a refusal and log it, with what it was decided by.

        Args:
            event: The event for the decision log.
            refusal: The refusal.
            fields: More fields that identify the request.
        """
        configuration = self._read_configuration()
        self._measures.count(
            "account_refusals", account=refusal.account, code=refusal.code.value
        )
        self._decisions.refusal(
            event,
            code=refusal.code.value,
            reason=refusal.reason,
            account=refusal.account,
            version=configuration.version if configuration else None,
            proof_age_s=self.find_proof_age(),
            **fields,
        )

    def find_proof_age(self) -> float | None:
        """Return the age of the proof in seconds, or None without a proof."""
        if self._currency.proven_at_s == 0:
            return None
        return round(self._currency.age_s, 3)
