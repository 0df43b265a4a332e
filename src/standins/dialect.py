"""Classifies MySQL statements and rewrites them in sqlite's dialect.

Regular expressions cover the statements that tests use; this is no full parser.
"""

import re
from dataclasses import dataclass
from enum import Enum, auto

from standins.exceptions import syntax_error


class StatementKind(Enum):
    """Kind of a statement, which selects how the session runs it.

    `SAVEPOINT` includes `RELEASE` and `ROLLBACK TO`; `NOTHING` has no effect.
    """

    READ = auto()
    WRITE = auto()
    BEGIN = auto()
    COMMIT = auto()
    ROLLBACK = auto()
    SAVEPOINT = auto()
    SET = auto()
    NOTHING = auto()
    SHOW = auto()


@dataclass(frozen=True)
class Statement:
    """A statement in sqlite's dialect.

    Attributes:
        kind: Kind of the statement.
        sql: Text for sqlite.
        locks: Whether the statement is a locking read, such as SELECT ... FOR UPDATE.
        work_ms: Simulated execution time in milliseconds that the statement sets by a
            comment `/* work_ms=N */` or by SLEEP().
    """

    kind: StatementKind
    sql: str
    locks: bool = False
    work_ms: float = 0.0


_KIND_BY_KEYWORD = {
    "SELECT": StatementKind.READ,
    "WITH": StatementKind.READ,
    "VALUES": StatementKind.READ,
    "EXPLAIN": StatementKind.READ,
    "INSERT": StatementKind.WRITE,
    "REPLACE": StatementKind.WRITE,
    "UPDATE": StatementKind.WRITE,
    "DELETE": StatementKind.WRITE,
    "CREATE": StatementKind.WRITE,
    "DROP": StatementKind.WRITE,
    "ALTER": StatementKind.WRITE,
    "TRUNCATE": StatementKind.WRITE,
    "BEGIN": StatementKind.BEGIN,
    "START": StatementKind.BEGIN,
    "COMMIT": StatementKind.COMMIT,
    "ROLLBACK": StatementKind.ROLLBACK,
    "SAVEPOINT": StatementKind.SAVEPOINT,
    "RELEASE": StatementKind.SAVEPOINT,
    "SET": StatementKind.SET,
    "USE": StatementKind.NOTHING,
    "SHOW": StatementKind.SHOW,
}
_TOKEN = re.compile(
    r"""(?P<comment>/\*.*?\*/|--[ \t][^\n]*|\#[^\n]*)
    |(?P<binary>\b_binary\s*'(?:[^'\\]|\\.|'')*')
    |(?P<single>'(?:[^'\\]|\\.|'')*')
    |(?P<double>"(?:[^"\\]|\\.|"")*")
    |(?P<back>`(?:[^`]|``)*`)
    """,
    re.VERBOSE | re.DOTALL | re.IGNORECASE,
)
_NEEDS_REWRITE = re.compile(r"""[\\"#]|/\*|--|_binary""", re.IGNORECASE)
_ESCAPE_SEQUENCE = re.compile(r"\\(.)|''|\"\"", re.DOTALL)
_ESCAPED_CHARACTERS = {
    "0": "\0",
    "b": "\b",
    "n": "\n",
    "r": "\r",
    "t": "\t",
    "Z": "\x1a",
}
_FIRST_KEYWORD = re.compile(r"[\s(]*([A-Za-z]+)")
_WORK_COMMENT = re.compile(r"/\*[^*]*?\bwork_ms\s*=\s*(\d+(?:\.\d+)?)")
_SLEEP = re.compile(r"\bSLEEP\s*\(\s*(\d*\.?\d+)\s*\)", re.IGNORECASE)
_LOCKING_READ = re.compile(
    r"\s+(?:FOR\s+(?:UPDATE|SHARE)|LOCK\s+IN\s+SHARE\s+MODE)"
    r"(?:\s+(?:NOWAIT|SKIP\s+LOCKED))?\s*$",
    re.IGNORECASE,
)
_INSERT_IGNORE = re.compile(r"^\s*INSERT\s+IGNORE\b", re.IGNORECASE)
_TRUNCATE = re.compile(r"^\s*TRUNCATE\s+(?:TABLE\s+)?", re.IGNORECASE)
_ON_DUPLICATE = re.compile(r"\bON\s+DUPLICATE\s+KEY\s+UPDATE\b", re.IGNORECASE)
_VALUES_FUNCTION = re.compile(r"\bVALUES\s*\(\s*([`\w]+)\s*\)", re.IGNORECASE)
_AUTO_INCREMENT = re.compile(
    r"\b(?:TINY|SMALL|MEDIUM|BIG)?INT(?:EGER)?(?:\s*\(\d+\))?(?:\s+UNSIGNED)?"
    r"((?:\s+(?:NOT\s+NULL|PRIMARY\s+KEY))*)\s+AUTO_INCREMENT"
    r"((?:\s+(?:NOT\s+NULL|PRIMARY\s+KEY))*)",
    re.IGNORECASE,
)
_PRIMARY_KEY_CLAUSE = re.compile(r",\s*PRIMARY\s+KEY\s*\(\s*[`\w]+\s*\)", re.IGNORECASE)
_TABLE_OPTIONS = re.compile(
    r"\)\s*(?:(?:ENGINE|AUTO_INCREMENT|(?:DEFAULT\s+)?CHARSET|COLLATE"
    r"|(?:DEFAULT\s+)?CHARACTER\s+SET)\s*=?\s*\w+[\s,]*)+$",
    re.IGNORECASE,
)


def parse(sql: str) -> Statement:
    """Classify a MySQL statement and rewrite it in sqlite's dialect.

    Args:
        sql: The text that the client sent.

    Returns:
        The statement for sqlite, without comments and without a final semicolon.

    Raises:
        SqlError: The first keyword is unknown.
    """
    work_ms = _find_work_ms(sql)
    text = _TOKEN.sub(_rewrite_token, sql) if _NEEDS_REWRITE.search(sql) else sql
    text = text.strip().rstrip(";").rstrip()
    match = _FIRST_KEYWORD.match(text)
    keyword = match.group(1).upper() if match else ""
    kind = _KIND_BY_KEYWORD.get(keyword)
    if kind is None:
        raise syntax_error(text[:80])
    if kind is StatementKind.ROLLBACK and re.search(r"\bTO\b", text, re.IGNORECASE):
        kind = StatementKind.SAVEPOINT
    if kind is StatementKind.WRITE:
        text = _rewrite_write(text, keyword)
    unlocked = _LOCKING_READ.sub("", text) if kind is StatementKind.READ else text
    return Statement(
        kind, unlocked, locks=unlocked is not text and unlocked != text, work_ms=work_ms
    )


def quote(value: str) -> str:
    """Return a text as an sqlite literal; a NUL character needs a hex literal."""
    if "\0" in value:
        return f"CAST(X'{value.encode().hex()}' AS TEXT)"
    return "'" + value.replace("'", "''") + "'"


def _find_work_ms(sql: str) -> float:
    work_ms = 0.0
    if "work_ms" in sql and (match := _WORK_COMMENT.search(sql)):
        work_ms += float(match.group(1))
    if match := _SLEEP.search(sql):
        work_ms += float(match.group(1)) * 1000
    return work_ms


def _rewrite_token(match: re.Match[str]) -> str:
    token = match.group()
    if match.lastgroup == "comment":
        return " "
    if match.lastgroup == "back":
        return token
    if match.lastgroup == "binary":
        value = _unescape(token[token.index("'") + 1 : -1])
        return f"X'{value.encode(errors='surrogateescape').hex()}'"
    return quote(_unescape(token[1:-1]))


def _unescape(body: str) -> str:
    def replace(match: re.Match[str]) -> str:
        escaped = match.group(1)
        if escaped is None:
            return match.group()[0]
        if escaped in "%_":
            return match.group()
        return _ESCAPED_CHARACTERS.get(escaped, escaped)

    return _ESCAPE_SEQUENCE.sub(replace, body)


def _rewrite_write(text: str, keyword: str) -> str:
    if keyword == "CREATE":
        return _rewrite_create(text)
    if keyword == "TRUNCATE":
        return _TRUNCATE.sub("DELETE FROM ", text)
    if keyword == "INSERT":
        return _rewrite_insert(text)
    return text


def _rewrite_insert(text: str) -> str:
    text = _INSERT_IGNORE.sub("INSERT OR IGNORE", text)
    match = _ON_DUPLICATE.search(text)
    if match is None:
        return text
    assignments = _VALUES_FUNCTION.sub(r"excluded.\1", text[match.end() :])
    return f"{text[: match.start()]}ON CONFLICT DO UPDATE SET{assignments}"


def _rewrite_create(text: str) -> str:
    text = _TABLE_OPTIONS.sub(")", text)
    if not _AUTO_INCREMENT.search(text):
        return text
    text = _PRIMARY_KEY_CLAUSE.sub("", text)
    return _AUTO_INCREMENT.sub("INTEGER PRIMARY KEY AUTOINCREMENT", text)
