"""Client accounts: the authentication of callers, and the accounts' limits.

``front`` calls it before each statement and operation, and the gateway for readiness,
metrics and the questions of peers. It reads the configuration in force and the proof of
the local copy (``coordination/currency.py``). The decisions themselves are in
``policy/authorization.py``, ``policy/counters.py`` and ``policy/token_bucket.py``.
Nothing here passes a key on, neither to instances and peers nor to logs and metrics.
"""
