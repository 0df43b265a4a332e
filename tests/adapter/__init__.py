"""The platform's folder is no package of the product, so its path is added here."""

import sys
from pathlib import Path

PLATFORM = Path(__file__).resolve().parents[2] / "platform"
if str(PLATFORM) not in sys.path:
    sys.path.insert(0, str(PLATFORM))
