"""Adds the folder of the platform's adapter to the import path."""

import sys
from pathlib import Path

PLATFORM = Path(__file__).resolve().parents[2] / "platform"
if str(PLATFORM) not in sys.path:
    sys.path.insert(0, str(PLATFORM))
