"""Runs the commands of docs/OPERATORS.md and checks its lists against the source."""

import ast
import asyncio
import contextlib
import dataclasses
import difflib
import hashlib
import io
import os
import re
import shlex
import sys
import tempfile
import unittest
from pathlib import Path

from standins.fleet import Fleet, FleetConfig
from wasabipitch import settings
from wasabipitch.deployment import parse
from wasabipitch.models import Address
from wasabipitch.settings import EntrySettings, PoolSettings
from wasabipitch.store import PlatformStore

ROOT = Path(__file__).resolve().parents[2]
SOURCE = ROOT / "src" / "wasabipitch"
SETTINGS = ROOT / "examples" / "settings"
PAGE = (ROOT / "docs" / "OPERATORS.md").read_text(encoding="utf-8")

BLOCK = re.compile(
    r"(?:<!-- test: (?P<fault>.*) -->\n)?```console\n(?P<text>.*?)```", re.S
)
PLATFORM = "10.0.0.9:7000"
DATA_CENTRES = ("thonburi", "bangna")
SHOWN_TIMEOUT_S = 10.0

# What differs from run to run. Revisions, terms and positions do not.
VARYING = (
    (re.compile(r"\d{4}-\d\d-\d\dT[\d:.]+Z\+\d+"), "TIME"),
    (re.compile(r"127\.0\.0\.1:\d+"), PLATFORM),
    (re.compile(r"\b\d+ ms\b"), "N ms"),
    (re.compile(r"\b\d+ s  "), "N s  "),
    # Running, connections, state: connections are opened as work comes.
    (re.compile(r"(N ms\s+\d+\s+)\d+(\s+\w+)$"), r"\1N\2"),
    # A majority is enough, and the third instance may come later.
    (re.compile(r"(failover\.fenced .*detail=).*"), r"\1INSTANCES"),
    (re.compile(r" {2,}"), "  "),
)


@dataclasses.dataclass(frozen=True)
class Step:
    """One command of the page, and the output that the page shows."""

    command: str
    shown: str

    @property
    def is_unordered(self):
        """Whether lines of several processes may come in another order."""
        return "timeline" in self.command

    @property
    def only_reads(self):
        """Whether the command may be repeated until the state has settled."""
        return "ctl status" in self.command or "ctl timeline" in self.command


def read_steps(text):
    """Return the commands of a console block."""
    parts = re.split(r"^\$ ", text, flags=re.M)
    lines = [part.partition("\n") for part in parts if part]
    return [Step(command, shown) for command, _, shown in lines]


def normalise(text, step):
    lines = []
    for line in text.rstrip().splitlines():
        for pattern, replacement in VARYING:
            line = pattern.sub(replacement, line)
        lines.append(line.rstrip())
    return sorted(lines) if step.is_unordered else lines


class UnconfiguredFleet(Fleet):
    """A fleet that starts without a configuration, as on the first day."""

    async def apply(self, deployment, expect=None):
        return 0

    async def wait_until_ready(self):
        store = PlatformStore(Address.parse(str(self.platform.address)))
        try:
            async with asyncio.timeout(SHOWN_TIMEOUT_S):
                while len((await store.hosts()).hosts) < 2 * len(DATA_CENTRES):
                    await asyncio.sleep(0.1)
        finally:
            await store.close()


class Shell:
    """Runs the page's commands in a folder, with the platform's real address."""

    def __init__(self, folder, platform):
        self._folder = folder
        self._env = {**os.environ, "WASABIPITCH_PLATFORM": platform}
        self._python = shlex.quote(sys.executable)
        self._code = 0

    async def run(self, command):
        """Return what a person reads: the output, or the error of a failure."""
        if command == "echo $?":
            return f"{self._code}\n"
        command = re.sub(r"^python ", f"{self._python} ", command)
        program = f"{self._python} -m wasabipitch.cli.ctl"
        process = await asyncio.create_subprocess_shell(
            re.sub(r"^wasabipitch-ctl", program, command),
            cwd=self._folder,
            env=self._env,
            stdout=asyncio.subprocess.PIPE,
            stderr=asyncio.subprocess.PIPE,
        )
        output, error = await process.communicate()
        self._code = process.returncode
        # On success standard error holds progress, which depends on the moment.
        return (error if self._code else output).decode()


class CommandsTest(unittest.IsolatedAsyncioTestCase):
    async def test_commands_print_what_the_page_shows(self):
        script = re.search(r"```python\n(.*?)```", PAGE, re.S)[1]
        printed = io.StringIO()
        with contextlib.redirect_stdout(printed):
            exec(script, {})
        cfg = FleetConfig(parse(printed.getvalue()), DATA_CENTRES)
        async with UnconfiguredFleet(cfg) as fleet:
            with tempfile.TemporaryDirectory() as folder:
                for group in cfg.deployment.groups:
                    for instance in group.instances:
                        address = str(fleet.processes[instance.name].address)
                        script = script.replace(instance.address, address)
                Path(folder, "deployment.py").write_text(script, encoding="utf-8")
                await self.run_page(fleet, Shell(folder, str(fleet.platform.address)))

    async def run_page(self, fleet, shell):
        count = 0
        for block in BLOCK.finditer(PAGE):
            if "$ wasabipitch-ctl" not in block["text"]:
                continue
            self.assertIn(block["fault"], (None, "the platform is down"))
            await fleet.set_faults(down=block["fault"] is not None)
            for step in read_steps(block["text"]):
                await self.check(step, shell)
                count += 1
            await fleet.set_faults(down=False)
        self.assertGreater(count, 20)

    async def check(self, step, shell):
        wanted = normalise(step.shown, step)
        deadline_s = asyncio.get_running_loop().time() + SHOWN_TIMEOUT_S
        while True:
            printed = normalise(await shell.run(step.command), step)
            late = asyncio.get_running_loop().time() > deadline_s
            if printed == wanted or late or not step.only_reads:
                break
        names = ("docs/OPERATORS.md", f"$ {step.command}")
        difference = difflib.unified_diff(wanted, printed, *names, lineterm="")
        self.assertEqual(wanted, printed, "\n" + "\n".join(difference))


class SettingsFilesTest(unittest.TestCase):
    def test_examples_are_valid(self):
        entry = settings.load(str(SETTINGS / "entry.yaml"), EntrySettings)
        pool = settings.load(str(SETTINGS / "pool.yaml"), PoolSettings)
        self.assertNotEqual(entry.host, pool.host)
        self.assertNotEqual(entry.statsd.prefix, pool.statsd.prefix)

    def test_example_password_is_computed_as_the_page_says(self):
        (caller,) = settings.load(str(SETTINGS / "entry.yaml"), EntrySettings).callers
        command = re.search(r"print\((hashlib.*)\)'", PAGE)[1]
        password = "change me"
        expression = command.replace("getpass.getpass()", repr(password))
        self.assertEqual(eval(expression, {"hashlib": hashlib}), caller.password_sha1)

    def test_every_setting_is_explained(self):
        for kind in (EntrySettings, PoolSettings):
            for field in dataclasses.fields(kind):
                self.assertRegex(PAGE, rf"\| `[^|]*{field.name}\b[^|]*`")


def find_names(attributes, owners):
    """Yield the names that the source gives to calls such as ``metrics.count``.

    A part that is only known at run time becomes ``<>``.
    """
    for path in sorted(SOURCE.rglob("*.py")):
        for node in ast.walk(ast.parse(path.read_text(encoding="utf-8"))):
            if not isinstance(node, ast.Call):
                continue
            if not isinstance(node.func, ast.Attribute):
                continue
            owner = ast.unparse(node.func.value).rpartition(".")[2].strip("_")
            if (node.func.attr, owner) in {(a, o) for a in attributes for o in owners}:
                yield from read_names(node.args[0], f"{path.name}:{node.lineno}")


def read_names(node, place):
    if isinstance(node, ast.Constant):
        yield node.value
    elif isinstance(node, ast.JoinedStr):
        parts = [p.value if isinstance(p, ast.Constant) else "<>" for p in node.values]
        yield "".join(parts)
    elif isinstance(node, ast.IfExp):
        yield from read_names(node.body, place)
        yield from read_names(node.orelse, place)
    elif not (isinstance(node, ast.Name) and node.id == "kind"):
        # The helper ``_record`` passes its own argument on; its calls are read too.
        raise AssertionError(f"{place}: can't read the name {ast.unparse(node)}")


def read_listed(heading):
    """Return the first column of a table of the page, with ``<>`` as above."""
    section = PAGE.split(f"\n## {heading}\n")[1].split("\n## ")[0]
    names = re.findall(r"^\| `([^`]+)` \|", section, re.M)
    return [re.sub(r"<[^>]*>", "<>", name) for name in names]


class ListsTest(unittest.TestCase):
    def test_every_metric_is_listed(self):
        used = set(find_names(("count", "gauge", "timing"), ("metrics",)))
        self.assertEqual(sorted(used), sorted(read_listed("Metrics")))

    def test_every_event_kind_is_listed(self):
        used = set(find_names(("record",), ("timeline",)))
        used |= set(find_names(("_record",), ("self",)))
        self.assertEqual(sorted(used), sorted(read_listed("Event kinds")))
