"""A database proxy with session consistency.

The package holds two systems that share links, messages and value types. ``entry`` and
``pool`` serve callers of the MySQL protocol; their modules are in this package itself.
``gateway`` serves a platform's own protocol; its modules are in the packages
``coordination``, ``front``, ``group``, ``http``, ``instances``, ``policy`` and
``wire``. Some names, such as ``Request`` and ``WriteRunner``, exist in both.
"""

from wasabipitch.exceptions import WasabipitchError
from wasabipitch.models import Position
from wasabipitch.verdict import Verdict

__all__ = ["Position", "Verdict", "WasabipitchError"]
