"""Regenerate the golden files and print their differences.

Usage: ``tools/update_golden.py [NAME ...]``. Without names it runs all sessions.
"""

import asyncio
import sys
from pathlib import Path

from proofs.golden import compare
from proofs.sessions import SESSIONS, record_session

DIRECTORY = Path(__file__).resolve().parent.parent / "tests" / "golden"


def main() -> int:
    """Run the sessions, write their golden files and return the exit code."""
    names = sys.argv[1:] or list(SESSIONS)
    unknown = [name for name in names if name not in SESSIONS]
    if unknown:
        print(f"unknown session {', '.join(unknown)}; known: {', '.join(SESSIONS)}")
        return 2
    DIRECTORY.mkdir(exist_ok=True)
    for name in names:
        path = DIRECTORY / f"{name}.yaml"
        text = asyncio.run(record_session(name))
        difference = compare(path, text)
        path.write_text(text, encoding="utf-8")
        print(difference or f"{path.name}: unchanged")
    return 0


if __name__ == "__main__":
    sys.exit(main())
