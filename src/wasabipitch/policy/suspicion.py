"""Rules by which a host suspects a group's primary.

A host that suspects a primary reports it, and enough reports start a replacement. The
limits answer a primary that is cut off or dark while callers write: each write takes a
caller's whole time limit, so the limits are below the usual one of half a second. They
are above the time that a loaded instance leaves statements unanswered.
"""

import msgspec

# A primary is suspected after this long without a connection, or without an answer.
UNREACHABLE_S = 0.25
SILENT_S = 0.4
# A primary that answers other statements is suspected if a commit takes this long.
COMMIT_HANG_S = 0.5
# After a replacement, replicas roll back and connect to the new primary before they
# receive its commits. Another replacement would only begin that anew.
SETTLING_S = 3.0
SETTLING_COMMIT_HANG_S = 2.0


class PrimaryEvidence(msgspec.Struct, frozen=True):
    """What a host knows of the instance that a group record names as primary.

    Args:
        refused: Whether its address refuses connections and this host has none.
        unreachable_for_s: How long it has accepted no connection, or None.
        silent_for_s: How long it has left a statement unanswered, or None.
        commit_for_s: How long it has left a commit unanswered, or None.
        fails_work: Whether it fails a large share of its statements.
        established_for_s: How long the record has named it.
    """

    refused: bool
    unreachable_for_s: float | None
    silent_for_s: float | None
    commit_for_s: float | None
    fails_work: bool
    established_for_s: float


class Doubt(msgspec.Struct, frozen=True):
    """Why a host suspects a primary.

    Args:
        reason: What it has seen.
        certain: Whether no process runs at the primary's address.
    """

    reason: str
    certain: bool = False


def find_doubt(evidence: PrimaryEvidence) -> Doubt | None:
    """Return why a primary is suspected, or None if it is trusted."""
    if evidence.refused:
        return Doubt("connection refused", certain=True)
    if _is_over(evidence.unreachable_for_s, UNREACHABLE_S):
        return Doubt("unreachable")
    if _is_over(evidence.silent_for_s, SILENT_S):
        return Doubt("silent")
    if evidence.fails_work:
        return Doubt("fails part of its work")
    settling = evidence.established_for_s < SETTLING_S
    if _is_over(
        evidence.commit_for_s, SETTLING_COMMIT_HANG_S if settling else COMMIT_HANG_S
    ):
        return Doubt("commits hang")
    return None


def _is_over(seconds: float | None, limit_s: float) -> bool:
    return seconds is not None and seconds > limit_s
