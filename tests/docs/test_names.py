"""Checks that every name and message in backquotes in README.md and docs/*.md exists.

Comments and docstrings of the source don't count, so that a name that is only
mentioned there is reported as missing.
"""

import ast
import functools
import re
import subprocess
import unittest
from pathlib import Path

from wasabipitch.operations.measures import PREFIX
from wasabipitch.verdict import Verdict

ROOT = Path(__file__).resolve().parents[2]
PAGES = (ROOT / "README.md", *sorted((ROOT / "docs").glob("*.md")))
# A path on a page starts at one of these directories.
BASES = ("", "src", "src/wasabipitch", "tests", "spec", "docs")

FENCED_BLOCK = re.compile(r"^```.*?^```", re.S | re.M)
# Of the table of renamed names, only the new names must exist.
RENAMED_TABLE = re.compile(r"^\| Old name \| New name \|\n(?:\|.*\n)*", re.M)
SPAN = re.compile(r"`([^`]+)`")
PLACEHOLDER = re.compile(r"(?<=/)[A-Z]+(?![\w.])|<[a-z_]+>|\{\w+(?:=\"\w+\")?\}|\.\.\.")
NAME = re.compile(r"--[a-z][\w-]*|(?:\.(?=\w+/))?[A-Za-z_*][\w*]*(?:[./-]+[\w*]+)*/?")
WORD = re.compile(r"[A-Za-z_]\w*")
DOTTED = re.compile(r"[A-Za-z_][\w-]*(?:\.[\w-]+)+")
FILE = re.compile(r"\.(?:py|pml|trail|toml|yaml|json|log|md|txt|capnp)$")
# N stands for a number.
MESSAGE = re.compile(r"(?:[a-z']+|N)(?:,? (?:[a-z']+|N)){2,}")
COMMENT = re.compile(r"/\*.*?\*/|^\s*#\s.*?$", re.S | re.M)
TEXT_SUFFIXES = {".pml", ".toml", ".yaml", ".capnp", ".txt", ".json", ""}

# Names of other programs and of files that exist only after a run.
OUTSIDE = {
    # MySQL
    "CONNECTION_ID": "a MySQL function; the code has it in lower case",
    "VERSION": "a MySQL function; the code has it in lower case",
    # systemd
    "etc/systemd/system/wasabipitch-entry.service": "a path on the entry hosts",
    "LimitNOFILE": "a systemd setting",
    "TimeoutStopSec": "a systemd setting",
    # Paths and fields written by a run
    "wasabipitch/configuration/parts": "a key that envelopes.py builds in two steps",
    "--why": "an option of the platform's bench, which is not in the tree",
    "KNOWN-RED.txt": "exists only while a known failure is open",
    "floors.pml.trail": "written by spin",
}

# Metrics have the verdicts in lower case.
VERDICTS = {verdict.name.lower() for verdict in Verdict}


def _tracked():
    output = subprocess.run(
        ["git", "ls-files", "--cached", "--others", "--exclude-standard"],
        cwd=ROOT,
        check=True,
        capture_output=True,
        text=True,
    ).stdout
    return [path for path in output.splitlines() if (ROOT / path).is_file()]


def _is_source(path):
    return not path.startswith(("docs/", "journal/", "experiments/")) and path not in (
        "README.md",
        "tests/docs/test_names.py",
    )


class Index:
    """The names, texts and qualified definitions of the tree."""

    def __init__(self):
        self.paths = set(_tracked())
        for path in list(self.paths):
            self.paths.update(str(parent) for parent in Path(path).parents)
        self.words = set()
        self.qualified = set()
        self.options = set()
        self._texts = []
        self._templates = set()
        for path in sorted(self.paths):
            if not _is_source(path) or not (ROOT / path).is_file():
                continue
            if Path(path).suffix not in TEXT_SUFFIXES | {".py"}:
                continue
            text = (ROOT / path).read_text(encoding="utf-8")
            if path.endswith(".py") or re.match(r"#!.*python", text):
                self._add_python(path, text)
            else:
                self._add_text(COMMENT.sub("", text))
        self.text = "\n".join(self._texts)

    def _add_text(self, text):
        self._texts.append(text)
        self.words.update(WORD.findall(text))

    def _add_python(self, path, text):
        module = path.removesuffix(".py").removesuffix("/__init__").replace("/", ".")
        self.qualified.add(module)
        self.words.update(module.split("."))
        tree = ast.parse(text)
        self._add_definitions(tree, module)
        if "cli" in module.split(".") or module.endswith("wasabipitch.ctl"):
            self._add_options(tree)
        docstrings = {
            id(node.value)
            for node in ast.walk(tree)
            if isinstance(node, ast.Expr) and isinstance(node.value, ast.Constant)
        }
        for node in ast.walk(tree):
            if isinstance(node, ast.JoinedStr):
                self._add_template(node)
            elif isinstance(node, ast.Constant):
                if isinstance(node.value, str) and id(node) not in docstrings:
                    self._add_text(node.value)
                elif isinstance(node.value, bytes):
                    self._add_text(node.value.decode("latin-1"))
            if isinstance(node, ast.Attribute) and isinstance(node.value, ast.Name):
                self.qualified.add(f"{node.value.id}.{node.attr}")
            for field in ("id", "attr", "name", "arg"):
                if isinstance(getattr(node, field, None), str):
                    self.words.update(WORD.findall(getattr(node, field)))

    def _add_template(self, node):
        """Keep an f-string that builds a name, such as f"hosts.{state}"."""
        parts = [
            part.value if isinstance(part, ast.Constant) else None
            for part in node.values
        ]
        self._add_text("".join("{}" if part is None else part for part in parts))
        if parts[-1] is None and re.fullmatch(r"[a-z_.]+[._]", parts[0] or ""):
            self._templates.add(parts[0])

    def _add_options(self, tree):
        """Keep the parameters of the commands, which ``fire`` turns into options."""
        for node in ast.walk(tree):
            if isinstance(node, ast.FunctionDef):
                arguments = node.args.args + node.args.kwonlyargs
                self.options.update(
                    "--" + argument.arg.replace("_", "-") for argument in arguments
                )

    def _add_definitions(self, node, prefix):
        for child in ast.iter_child_nodes(node):
            names = [getattr(child, "name", None)]
            if isinstance(child, ast.Assign):
                names = [getattr(target, "id", None) for target in child.targets]
            elif isinstance(child, ast.AnnAssign):
                names = [getattr(child.target, "id", None)]
            for name in names:
                if isinstance(name, str):
                    self.qualified.add(f"{prefix}.{name}")
                    self._add_definitions(child, f"{prefix}.{name}")

    def has(self, name):
        """Return whether a name or path that a page gives exists."""
        if name.startswith("--"):
            pattern = rf"(?<![\w-]){name}(?![\w-])"
            return name in self.options or bool(re.search(pattern, self.text))
        if name.endswith((".py", ".pml")):
            return self._has_path(name)
        if "/" in name or FILE.search(name):
            return self._has_path(name) or self._has_text(name)
        if DOTTED.fullmatch(name):
            return (
                self._has_definition(name)
                or self._has_text(name)
                or self._is_built(name)
            )
        return self._has_word(name) or self._has_text(name) or self._is_built(name)

    def _has_path(self, name):
        if "*" in name:
            return any(ROOT.glob(name))
        name = name.rstrip("/")
        if any(str(Path(base, name)) in self.paths for base in BASES):
            return True
        return "/" not in name and any(Path(path).name == name for path in self.paths)

    def _has_definition(self, name):
        # A settings block is named as its class, in lower case.
        return name in self.qualified or any(
            full.endswith("." + name) or full.lower().endswith("." + name)
            for full in self.qualified
        )

    def _is_built(self, name):
        """Return whether the source builds a name from a prefix and a known word."""
        prefixes = {*self._templates, PREFIX}
        return any(
            name.startswith(prefix) and self._has_word(name.removeprefix(prefix))
            for prefix in prefixes
        )

    def _has_word(self, word):
        return word in self.words or word in VERDICTS

    def _has_text(self, name):
        return re.search(rf"(?<![\w.]){re.escape(name)}(?!\w)", self.text) is not None


@functools.cache
def _index():
    return Index()


def _drop_old_names(table):
    return "\n".join(row.split("|")[2] for row in table[0].splitlines())


def _spans(page):
    text = page.read_text(encoding="utf-8")
    text = RENAMED_TABLE.sub(_drop_old_names, FENCED_BLOCK.sub("", text))
    return [" ".join(span.split()) for span in SPAN.findall(text)]


def _names(span):
    """Yield the names of a span; of a phrase, only words that can be no prose."""
    cut = PLACEHOLDER.sub(" ", span)
    names = [name.rstrip("./") for name in NAME.findall(cut)]
    if " " not in span:
        yield from names
        return
    for name in names:
        if re.search(r"[_/.]|^--|[a-z][A-Z]", name):
            yield name


def missing(page):
    """Return the names in backquotes on a page that the tree doesn't have."""
    return sorted(
        {
            f"{name} (in `{span}`)"
            for span in _spans(page)
            for name in _names(span)
            if name not in OUTSIDE and not _index().has(name)
        }
    )


def missing_messages(page):
    """Return the messages in backquotes on a page that the source doesn't have."""
    text = " ".join(_index().text.split())
    return sorted(
        span
        for span in set(_spans(page))
        if MESSAGE.fullmatch(span) and re.sub(r"\bN\b", "{}", span) not in text
    )


class NamesTest(unittest.TestCase):
    """A page must not name what the tree doesn't have."""

    maxDiff = None

    def test_every_name_on_the_pages_exists(self):
        for page in PAGES:
            with self.subTest(page=page.relative_to(ROOT).as_posix()):
                self.assertEqual(missing(page), [])

    def test_every_message_on_the_pages_exists(self):
        for page in PAGES:
            with self.subTest(page=page.relative_to(ROOT).as_posix()):
                self.assertEqual(missing_messages(page), [])

    def test_a_name_that_does_not_exist_is_reported(self):
        for name in (
            "no_such_name",
            "NoSuchClass",
            "wasabipitch.requests.no_such_function",
            "group/no_such_file.py",
            "no_such_file.py",
            "--no-such-option",
            "no.such_event",
        ):
            with self.subTest(name=name):
                self.assertFalse(_index().has(name))

    def test_every_outside_name_is_needed(self):
        used = {
            name for page in PAGES for span in _spans(page) for name in _names(span)
        }
        self.assertEqual(OUTSIDE.keys() - used, set())
        for name in OUTSIDE.keys() - {"KNOWN-RED.txt"}:
            with self.subTest(name=name):
                self.assertFalse(_index().has(name))


if __name__ == "__main__":
    unittest.main()
