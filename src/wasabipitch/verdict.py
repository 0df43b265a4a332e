"""Verdicts on whether a failed request took effect."""

import enum

SQLSTATE_RAN = "WPRAN"
SQLSTATE_NOT_RUN = "WPNRN"
SQLSTATE_MAY_HAVE_RUN = "WPMHR"


class Verdict(enum.IntEnum):
    """What is known about the effect of a request that ended in an error.

    ``RAN``: its effect is durable. ``NOT_RUN``: it had no effect and never will
    have. ``MAY_HAVE_RUN``: neither could be determined in time.
    """

    RAN = 0
    NOT_RUN = 1
    MAY_HAVE_RUN = 2

    @property
    def sqlstate(self) -> str:
        """The five-character SQLSTATE that carries this verdict."""
        return _SQLSTATES[self]


_SQLSTATES = {
    Verdict.RAN: SQLSTATE_RAN,
    Verdict.NOT_RUN: SQLSTATE_NOT_RUN,
    Verdict.MAY_HAVE_RUN: SQLSTATE_MAY_HAVE_RUN,
}
