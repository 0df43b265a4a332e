import contextlib
import io
import sys
import unittest
from pathlib import Path

EXAMPLES = Path(__file__).resolve().parents[2] / "examples"


class DemoTest(unittest.IsolatedAsyncioTestCase):
    async def test_the_scenario_runs_over_real_processes(self):
        sys.path.insert(0, str(EXAMPLES))
        self.addCleanup(sys.path.remove, str(EXAMPLES))
        import demo

        output = io.StringIO()
        with contextlib.redirect_stdout(output):
            await demo.main()
        self.assertIn("ok: it was booked once", output.getvalue())
        self.assertIn("ok: every process has ended cleanly", output.getvalue())
