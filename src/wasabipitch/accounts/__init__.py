"""Client accounts: the authentication of callers by their keys.

``front`` calls it before each statement, and the gateway for readiness and metrics. It
reads the configuration in force and the proof of the local copy
(``coordination/currency.py``); the decision itself is in ``policy/authorization.py``.
Nothing here passes a key on, neither to instances and peers nor to logs and metrics.
"""
