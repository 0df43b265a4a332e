import contextlib
import io
import json
import tempfile
import unittest
from pathlib import Path
from unittest import mock

from wasabipitch.cli import ctl
from wasabipitch.operations.explanations import explain, render
from wasabipitch.operations.savedlogs import parse_line, read_lines

DAY = "2026-12-04 10:00:"


def line(second, host, event, level="WARNING", **fields):
    """Return a log line as a host writes it, ``second`` seconds after 10:00."""
    time = f"{DAY}{second:06.3f}".replace(".", ",")
    return json.dumps(
        {
            "time": time,
            "level": level,
            "event": event,
            "host": host,
            "at_s": 1,
            **fields,
        }
    )


FAILOVER_LINES = [
    line(1.0, "a", "primary doubted", group="g", primary="i-1", reason="commits hang"),
    line(1.1, "b", "replacing the primary", group="g", primary="i-1", reason="2 of 3"),
    line(1.2, "b", "no successor yet", group="g", reason="an instance is silent"),
    line(1.3, "c", "group record", group="other", phase="changing"),
]


def failed(second, host, request, reason, **fields):
    return line(
        second,
        host,
        "request failed",
        "INFO",
        request=request,
        group="g",
        reason=reason,
        **fields,
    )


def explain_lines(lines, request):
    return explain(filter(None, map(parse_line, lines)), request)


class ExplainTest(unittest.TestCase):
    def test_a_key_that_a_host_without_the_store_could_not_judge(self):
        lines = [
            line(1.0, "a", "store unreachable", reason="no answer"),
            failed(
                6.0,
                "a",
                "r1",
                "the configuration is not known to be current",
                account="north",
                version=7,
                proof_age_s=4.61,
            ),
        ]
        cause = explain_lines(lines, "r1").cause
        self.assertIn("configuration 7", cause)
        self.assertIn("4.61 s before", cause)
        self.assertIn("no answer from the store after", cause)

    def test_a_key_that_a_host_refused_before_its_first_proof(self):
        reason = "the configuration is not known to be current"
        lines = [failed(6.0, "a", "r1", reason, version=7, proof_age_s=None)]
        cause = explain_lines(lines, "r1").cause
        self.assertIn("not known to be current since its start", cause)

    def test_a_withdrawn_key(self):
        lines = [
            line(1.0, "a", "configuration in force", version=8),
            line(1.1, "b", "configuration in force", version=8),
            failed(1.5, "b", "r1", "the key is not known", account="", version=8),
        ]
        cause = explain_lines(lines, "r1").cause
        self.assertIn("no account in configuration 8", cause)
        self.assertIn(f"b put in force at {DAY}01,100", cause)

    def test_a_key_that_moved_to_another_account(self):
        reason = "the key no longer belongs to the transaction's account"
        lines = [failed(1.5, "b", "r1", reason, account="south", version=8)]
        cause = explain_lines(lines, "r1").cause
        self.assertIn("belongs to account south in configuration 8", cause)

    def test_a_write_whose_outcome_a_failover_left_unknown(self):
        lines = [*FAILOVER_LINES, failed(1.5, "a", "r1", "the primary was replaced")]
        found = explain_lines(reversed(lines), "r1")
        self.assertEqual([step.host for step in found.steps], ["a"])
        self.assertEqual(len(found.context), 3)
        self.assertIn("b began to replace primary i-1", found.cause)
        self.assertIn("first suspected by a: commits hang", found.cause)
        self.assertIn("an instance is silent", found.cause)

    def test_a_read_without_a_confirmed_primary(self):
        lines = [
            line(1.0, "b", "store unreachable", reason="status 503"),
            line(1.0, "a", "store unreachable", reason="no answer"),
            failed(4.0, "a", "r1", "the primary was not confirmed in time"),
        ]
        cause = explain_lines(lines, "r1").cause
        self.assertIn("a got no answer from the store", cause)
        self.assertIn("(no answer)", cause)

    def test_a_read_that_was_late_because_replicas_lagged(self):
        late = line(
            2.0, "a", "request late", "INFO", request="r1", group="g", lagging=["i-2"]
        )
        self.assertIn("i-2", explain_lines([late], "r1").cause)

    def test_a_read_that_was_late_at_its_instance_or_in_the_queue(self):
        fields = {"request": "r1", "group": "g", "instance": "i-2", "lagging": []}
        ran = line(2.0, "a", "request late", "INFO", in_line_s=0.1, ran_s=0.5, **fields)
        self.assertIn("i-2 took 0.5 s", explain_lines([ran], "r1").cause)
        waited = line(
            2.0, "a", "request late", "INFO", in_line_s=0.5, ran_s=0.1, **fields
        )
        self.assertIn(
            "got more work than they can serve", explain_lines([waited], "r1").cause
        )

    def test_old_state_changes_are_left_out(self):
        old = line(1.0, "a", "instance unreachable", group="g", reason="refused")
        found = explain_lines([old, failed(30.0, "a", "r1", "no connection")], "r1")
        self.assertEqual(found.context, ())

    def test_an_unknown_request(self):
        self.assertIn(
            "no log line mentions it", explain_lines(FAILOVER_LINES, "r9").cause
        )

    def test_other_output_is_ignored(self):
        self.assertIsNone(parse_line("Traceback (most recent call last):"))
        self.assertIsNone(parse_line("{broken"))
        self.assertIsNone(parse_line('{"time": "no event"}'))
        prefixed = "  1.5 host-a " + FAILOVER_LINES[0]
        self.assertEqual(parse_line(prefixed).event, "primary doubted")

    def test_the_text_has_a_line_for_each_step(self):
        lines = [*FAILOVER_LINES, failed(1.5, "a", "r1", "the primary was replaced")]
        text = render(explain_lines(lines, "r1")).splitlines()
        self.assertEqual(text[0], "request r1")
        self.assertIn("request failed", text[1])
        self.assertTrue(text[-1].startswith("first cause: b began"))


class CommandTest(unittest.TestCase):
    def setUp(self):
        folder = tempfile.TemporaryDirectory()
        self.addCleanup(folder.cleanup)
        self.folder = Path(folder.name)
        for n, host in enumerate("ab"):
            lines = [text for text in FAILOVER_LINES if f'"host": "{host}"' in text]
            lines.append(failed(2.0 + n, host, "0012", "the primary was replaced"))
            path = self.folder / f"{host}.log"
            path.write_text("\n".join(lines), encoding="utf-8")

    def run_line(self, *args):
        out = io.StringIO()
        with (
            mock.patch("sys.argv", ["wasabipitch-ctl", "explain", *args]),
            contextlib.redirect_stdout(out),
            contextlib.redirect_stderr(out),
            self.assertRaises(SystemExit) as caught,
        ):
            ctl.main()
        return caught.exception.code, out.getvalue()

    def test_it_reads_the_logs_of_all_hosts(self):
        code, text = self.run_line("0012", str(self.folder))
        self.assertEqual(code, 0, text)
        self.assertIn("first cause: b began to replace", text)
        self.assertEqual(text.count("request failed"), 2)

    def test_a_request_that_no_line_names(self):
        code, _ = self.run_line("0013", str(self.folder / "a.log"))
        self.assertEqual(code, 1)

    def test_a_folder_that_does_not_exist(self):
        code, text = self.run_line("0012", str(self.folder / "nowhere"))
        self.assertEqual(code, 2)
        self.assertIn("nowhere", text)

    def test_files_keep_their_own_order(self):
        lines = list(read_lines(sorted(self.folder.iterdir())))
        self.assertEqual([ln.host for ln in lines], ["a", "a", "b", "b", "b"])
