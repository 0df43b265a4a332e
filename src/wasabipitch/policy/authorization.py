"""Decides which account a caller's statement is served for, or why it is refused.

A key that the operator has withdrawn must be refused within a bound on every host. A
host whose copy of the configuration may be older than that can't tell a valid key from
a withdrawn one, so it refuses both with a code that lets the caller try another host.
"""

import msgspec

from wasabipitch.coordination.documents import Configuration
from wasabipitch.wire.messages import Code

# Keys are refused this long before the proof reaches the operator's bound. The clocks
# by which the withdrawal and the caller's request are dated are not the host's, and may
# differ from it by some tenths of a second.
REVOCATION_MARGIN_S = 0.5

UNPROVEN = "the configuration is not known to be current"
UNKNOWN_KEY = "the key is not known"
MOVED_KEY = "the key no longer belongs to the transaction's account"


class Served(msgspec.Struct, frozen=True):
    """A statement may run.

    Args:
        account: The account that it is served for, or an empty string.
    """

    account: str


class Refused(msgspec.Struct, frozen=True):
    """A statement must not run.

    Args:
        code: The code that the caller is told.
        reason: Why. It contains no key.
        account: The account that the key belongs to here, or an empty string.
    """

    code: Code
    reason: str
    account: str = ""


def find_max_proof_age(revocation_s: float) -> float:
    """Return the age of the oldest proof under which a key is accepted, in seconds.

    Args:
        revocation_s: The time within which a withdrawn key must be refused.
    """
    return revocation_s - REVOCATION_MARGIN_S


def authorize(
    configuration: Configuration,
    database: str,
    key: str,
    is_proven: bool,
    transaction_account: str | None = None,
) -> Served | Refused:
    """Return whether a caller's statement may run, and for which account.

    Args:
        configuration: The configuration in force.
        database: The database that the caller uses.
        key: The caller's key.
        is_proven: Whether the configuration is known to be recent enough to trust a
            key.
        transaction_account: The account of the open transaction that the statement
            belongs to, or None outside transactions.
    """
    if not configuration.accounts:
        return Served(transaction_account or "")
    account = configuration.find_account(key)
    name = account.name if account is not None else ""
    route = configuration.routes.get(database)
    if route is not None and route.public and not transaction_account:
        # A transaction that began without an account goes on without one.
        is_trusted = is_proven and transaction_account is None
        return Served(name if is_trusted else "")
    if not is_proven:
        return Refused(Code.BUSY, UNPROVEN, name)
    if account is None:
        return Refused(Code.NOT_AUTHENTICATED, UNKNOWN_KEY)
    if transaction_account and transaction_account != name:
        return Refused(Code.NOT_AUTHENTICATED, MOVED_KEY, name)
    return Served(name if transaction_account is None else transaction_account)
