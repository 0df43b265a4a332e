"""Run the tests and print a result line for CI.

The last line is ``N passed, N failed``. Failures that KNOWN-RED.txt lists are
printed as known; they count neither as passed nor as failed.
"""

import sys
from pathlib import Path

from nose2.events import TestOutcomeEvent
from nose2.main import PluggableTestProgram

ROOT = Path(__file__).resolve().parent.parent
KNOWN_RED = ROOT / "KNOWN-RED.txt"


class OutcomeRecorder:
    """Collects the id of every test that ran and of every one that failed."""

    def __init__(self) -> None:
        self.ran: set[str] = set()
        self.failed: set[str] = set()

    def testOutcome(self, event: TestOutcomeEvent) -> None:  # noqa: N802
        """Record the outcome of a test or subtest; nose2 requires this name."""
        if event.outcome == "subtest":
            failed = event.exc_info is not None
        else:
            self.ran.add(event.test.id())
            failed = event.outcome != "skipped" and not event.expected
        if failed:
            # A failed subtest is recorded under the id of its test.
            test = getattr(event.test, "test_case", event.test)
            self.ran.add(test.id())
            self.failed.add(test.id())


def read_known_failures() -> set[str]:
    """Return the test ids that KNOWN-RED.txt lists, one ``test:`` line each."""
    if not KNOWN_RED.exists():
        return set()
    lines = KNOWN_RED.read_text(encoding="utf-8").splitlines()
    return {ln.split(":", 1)[1].strip() for ln in lines if ln.startswith("test:")}


def run_suite(names: list[str]) -> OutcomeRecorder:
    """Run the named tests, or all of them, and return their outcomes."""
    recorder = OutcomeRecorder()
    PluggableTestProgram(
        module=None,
        argv=["nose2", "-s", str(ROOT / "tests"), "-t", str(ROOT), *names],
        exit=False,
        extraHooks=[("testOutcome", recorder)],
    )
    return recorder


def main() -> int:
    """Run the suite and return the exit code.

    The code is 1 if a test failed that KNOWN-RED.txt does not list, or if no test
    ran, and 0 otherwise.
    """
    outcomes = run_suite(sys.argv[1:])
    known = read_known_failures()
    for name in sorted(outcomes.failed & known):
        print(f"known red: {name}")
    unlisted = sorted(outcomes.failed - known)
    for name in unlisted:
        print(f"failed: {name}")
    passed = len(outcomes.ran) - len(outcomes.failed)
    print(f"{passed} passed, {len(unlisted)} failed")
    return 1 if unlisted or not outcomes.ran else 0


if __name__ == "__main__":
    sys.exit(main())
