"""Run the tests and print a verdict that CI can trust.

The closing line is ``N passed, N failed``. Failures that KNOWN-RED.txt lists
are printed, counted as known, and do not fail the run.
"""

import sys
import unittest
from pathlib import Path

from nose2.main import PluggableTestProgram

ROOT = Path(__file__).resolve().parent.parent
KNOWN_RED = ROOT / "KNOWN-RED.txt"


def read_known_red() -> set[str]:
    """Return the test ids that KNOWN-RED.txt lists, one ``test:`` line each."""
    if not KNOWN_RED.exists():
        return set()
    lines = KNOWN_RED.read_text(encoding="utf-8").splitlines()
    return {ln.split(":", 1)[1].strip() for ln in lines if ln.startswith("test:")}


def run_suite(names: list[str]) -> unittest.TestResult:
    """Run the named tests, or all of them, and return the result."""
    argv = ["nose2", "-s", str(ROOT / "tests"), "-t", str(ROOT / "tests"), *names]
    return PluggableTestProgram(argv=argv, exit=False).result


def main() -> int:
    """Run the suite and return the exit code: 0, or 1 on an unlisted failure."""
    result = run_suite(sys.argv[1:])
    known = read_known_red()
    failed = {t.id() for t, _ in [*result.failures, *result.errors]}
    failed |= {t.id() for t in result.unexpectedSuccesses}
    for name in sorted(failed & known):
        print(f"known red: {name}")
    fresh = sorted(failed - known)
    for name in fresh:
        print(f"failed: {name}")
    passed = result.testsRun - len(failed)
    print(f"{passed} passed, {len(fresh)} failed")
    return 1 if fresh or not result.testsRun else 0


if __name__ == "__main__":
    sys.exit(main())
