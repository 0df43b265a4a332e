"""A database proxy with session consistency."""

from wasabipitch.exceptions import WasabipitchError
from wasabipitch.models import Position
from wasabipitch.verdict import Verdict

__all__ = ["Position", "Verdict", "WasabipitchError"]
