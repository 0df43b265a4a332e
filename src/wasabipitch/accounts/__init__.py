"""Client accounts: the authentication of callers by their keys, and their limits.

``authentication`` decides who a caller is. ``limits`` admits operations within an
account's limit over all hosts; on the host that is asked, ``counting`` grants them.

``front`` calls it before each statement, and the gateway for readiness and metrics. It
reads the configuration in force and the proof of the local copy
(``coordination/currency.py``); the decision itself is in ``policy/authorization.py``.
Nothing here passes a key on, neither to instances and peers nor to logs and metrics.
"""
