"""Classification of SQL statements without a full SQL parser.

Only the leading comments, the first keywords and a few patterns of a statement are
examined. A statement that the patterns cannot classify for certain is taken as
``Kind.WRITE``, because a write is always sent to the primary, which can run any
statement.
"""

import re
from collections.abc import Mapping
from dataclasses import dataclass
from functools import lru_cache
from typing import Any

from wasabipitch.decoding import decode_number
from wasabipitch.exceptions import Refused
from wasabipitch.messages import Kind

ER_PARSE_ERROR = 1064
ER_EMPTY_QUERY = 1065
ER_WRONG_ARGUMENTS = 1210
ER_NOT_SUPPORTED_YET = 1235

# Lengths are in characters.
MAX_REQUEST_ID_LENGTH = 128
MAX_DEADLINE_MS = 3_600_000
# Fingerprints of longer statements are not cached, to bound the cache's memory.
MAX_CACHED_STATEMENT_LENGTH = 4096
FINGERPRINT_CACHE_SIZE = 2048  # statements

# The possessive quantifiers keep matching linear in the length of a statement with
# an unterminated quote.
_QUOTED_STRING = r"'(?:[^'\\]++|\\.|'')*+'|\"(?:[^\"\\]++|\\.|\"\")*+\""
_QUOTED_NAME = r"`[^`]*+`"
_COMMENT = r"/\*.*?\*/|--(?=\s|$)[^\n]*|\#[^\n]*"

# MySQL runs the content of a version comment /*! */, so it counts as code here.
_LEADING_COMMENT = re.compile(rf"\s*(?:(?!/\*!)({_COMMENT}))", re.DOTALL)
_HINT_COMMENT = re.compile(r"/\*\s*wasabipitch:(.*?)\*/", re.DOTALL)
_VERB = re.compile(r"[\s(]*([a-zA-Z]+)")
_QUOTED_OR_COMMENT = re.compile(
    rf"{_QUOTED_STRING}|{_QUOTED_NAME}|(?!/\*!)(?:{_COMMENT})", re.DOTALL
)
_PLACEHOLDER = re.compile(
    rf"{_QUOTED_STRING}|{_QUOTED_NAME}|{_COMMENT}|(\?)", re.DOTALL
)
_SECOND_STATEMENT = re.compile(r";\s*[^\s;]")
# These marks have another meaning within quotes or comments, or begin a comment.
_AMBIGUOUS_MARKS = (";", "@", "/*", "--", "#")

_LOCKING_OR_WRITING = re.compile(
    r"\b(?:for\s+(?:update|share)|lock\s+in\s+share\s+mode|into\s+(?:outfile|dumpfile))\b",
    re.IGNORECASE,
)
_WRITING_VERB = re.compile(r"\b(?:insert|update|delete|replace)\b", re.IGNORECASE)
_NAMED_LOCK = re.compile(r"\b(?:get_lock|release_lock|release_all_locks)\s*\(", re.I)
_USER_VARIABLE = re.compile(r"(?<![\w@.])@(?=[\w$`'\"])")
_CHAIN_OR_RELEASE = re.compile(
    r"(?<!no)\s(?:chain|release)\b(?!\s+savepoint)", re.IGNORECASE
)
_ROLLBACK_TO = re.compile(r"rollback\s+(?:work\s+)?to\b", re.IGNORECASE)
_START_TRANSACTION = re.compile(r"start\s+transaction\b", re.IGNORECASE)

# The entry answers these functions from its settings and the session's state.
_LOCAL_FUNCTIONS = (
    "database|schema|connection_id|user|current_user|session_user|system_user"
    "|version|last_insert_id"
)
_LOCAL_SELECT = re.compile(
    rf"select\s+(?:@@|@wasabipitch_token\b|(?:{_LOCAL_FUNCTIONS})\s*\(\s*\))"
    r"(?!.*\bfrom\b)",
    re.IGNORECASE | re.DOTALL,
)
_LOCAL_SHOW = re.compile(
    r"show\s+(?:(?:session|local|global)\s+)?(?:warnings|errors|variables|status"
    r"|collation|character\s+set|charset|databases|schemas)\b",
    re.IGNORECASE,
)

_READ_VERBS = frozenset(
    {"SELECT", "SHOW", "EXPLAIN", "DESCRIBE", "DESC", "WITH", "TABLE", "VALUES"}
)
# Statements that begin with any other verb may commit the open transaction.
_NON_COMMITTING_VERBS = _READ_VERBS | {
    "INSERT",
    "UPDATE",
    "DELETE",
    "REPLACE",
    "SAVEPOINT",
    "ROLLBACK",
    "RELEASE",
    "DO",
}
# The effect of these statements is bound to one connection or instance, and the
# session's next statement may run on another one.
_UNSUPPORTED_VERBS = frozenset(
    {
        "CHANGE",
        "DEALLOCATE",
        "EXECUTE",
        "FLUSH",
        "HANDLER",
        "KILL",
        "LOAD",
        "LOCK",
        "PREPARE",
        "PURGE",
        "RESET",
        "RESTART",
        "SHUTDOWN",
        "STOP",
        "UNLOCK",
        "XA",
    }
)


@dataclass(frozen=True, slots=True)
class Hints:
    """The options that a caller gives for one request.

    Args:
        request_id: An identifier under which the request runs at most once, or
            empty.
        request_class: The name of a declared request class, or empty.
        deadline_ms: How long the caller waits, in milliseconds; None stands for the
            deadline of the request's class.
    """

    request_id: str = ""
    request_class: str = ""
    deadline_ms: int | None = None


NO_HINTS = Hints()


@dataclass(frozen=True, slots=True)
class Statement:
    """A caller's statement and its classification.

    Args:
        text: The statement without its hint comment, as it is sent to the target.
        verb: The first keyword in upper case, such as ``SELECT``.
        kind: Whether the statement reads or writes, or begins or ends a
            transaction.
        hints: The options from the hint comment and the query attributes.
        local: Whether the entry answers the statement itself.
    """

    text: str
    verb: str
    kind: Kind
    hints: Hints = NO_HINTS
    local: bool = False

    @property
    def commits_implicitly(self) -> bool:
        """Whether the statement may commit the open transaction, as DDL does."""
        return self.verb not in _NON_COMMITTING_VERBS


def inspect_statement(
    sql: str, attributes: Mapping[str, Any] | None = None
) -> Statement:
    """Return a statement with its classification and its hints.

    Args:
        sql: The statement as the caller sent it.
        attributes: The query attributes by name. A hint given as an attribute
            overrides the same hint in the comment.

    Raises:
        Refused: If the text is empty, contains several statements, has malformed
            hints, or needs a connection of its own to a target.
    """
    text, comment = _extract_hint_comment(sql)
    hints = _merge_hints(comment, attributes)
    body = _strip_leading_comments(text)
    match = _VERB.match(body)
    verb = match.group(1).upper() if match else ""
    if not verb:
        _raise_for_missing_verb(body)
    masked = _mask_quoted_and_comments(body) if _needs_masking(body) else body
    if ";" in masked and _SECOND_STATEMENT.search(masked):
        raise Refused(
            "several statements in one packet are not supported; send one at a time",
            code=ER_NOT_SUPPORTED_YET,
        )
    if _is_local(verb, body):
        return Statement(text, verb, Kind.READ, hints, local=True)
    _check_supported(verb, masked)
    return Statement(text, verb, _classify(verb, masked), hints)


def split_placeholders(sql: str) -> list[str]:
    """Return the pieces of text around the ``?`` parameters of a statement."""
    pieces = []
    start = 0
    for match in _PLACEHOLDER.finditer(sql):
        if match.group(1):
            pieces.append(sql[start : match.start()])
            start = match.end()
    pieces.append(sql[start:])
    return pieces


def quote(value: Any) -> str:
    """Return a value as an SQL literal that is safe to insert into a statement.

    Bytes that are not UTF-8, and text with NUL characters, become hexadecimal
    literals.
    """
    if value is None:
        return "NULL"
    if isinstance(value, bytes):
        try:
            value = value.decode()
        except UnicodeDecodeError:
            return f"x'{value.hex()}'"
    if not isinstance(value, str):
        return str(value)
    if "\0" in value:
        return f"x'{value.encode().hex()}'"
    escaped = value.replace("\\", "\\\\").replace("'", "''")
    return f"'{escaped}'"


def fingerprint(sql: str) -> str:
    """Return a normalized form that statements differing only in values share.

    Each literal, parameter, or list of them becomes one ``?``. Words are in lower
    case, comments are removed, and tokens are separated by one space.
    """
    if len(sql) > MAX_CACHED_STATEMENT_LENGTH:
        return _compute_fingerprint(sql)
    return _cached_fingerprint(sql)


def _compute_fingerprint(sql: str) -> str:
    tokens = []
    for match in _TOKEN.finditer(sql):
        kind = match.lastgroup
        if kind == "value":
            tokens.append("?")
        elif kind == "word":
            tokens.append(
                _LITERAL_KEYWORDS.get(match.group().lower(), match.group().lower())
            )
        elif kind == "mark":
            tokens.append(match.group())
    normalized = " ".join(tokens).rstrip("; ")
    normalized = _SIGNED_VALUE.sub("?", normalized)
    return _VALUE_LIST.sub("?", normalized)


_cached_fingerprint = lru_cache(FINGERPRINT_CACHE_SIZE)(_compute_fingerprint)
_TOKEN = re.compile(
    rf"""(?P<skip>\s+|{_COMMENT})
    |(?P<value>{_QUOTED_STRING}|0x[0-9a-f]+\b|\d+(?:\.\d*)?(?:e[+-]?\d+)?\b|\.\d+|\?|%s
        |%\(\w+\)s|:[a-z_]\w*)
    |(?P<word>{_QUOTED_NAME}|[\w$]+)
    |(?P<mark>.)""",
    re.VERBOSE | re.IGNORECASE | re.DOTALL,
)
_LITERAL_KEYWORDS = {"null": "?", "true": "?", "false": "?"}
_SIGNED_VALUE = re.compile(r"(?<=[=(,<>] )[-+] \?")
_VALUE_LIST = re.compile(r"\?(?: , \?)+")


def _extract_hint_comment(sql: str) -> tuple[str, str]:
    if "/*" not in sql:
        return sql, ""
    start = 0
    while (match := _LEADING_COMMENT.match(sql, start)) is not None:
        hint = _HINT_COMMENT.fullmatch(match.group(1))
        if hint is not None:
            return sql[:start] + sql[match.end() :].lstrip(), hint.group(1)
        start = match.end()
    return sql, ""


def _strip_leading_comments(sql: str) -> str:
    start = 0
    while (match := _LEADING_COMMENT.match(sql, start)) is not None:
        start = match.end()
    return sql[start:].lstrip()


def _merge_hints(comment: str, attributes: Mapping[str, Any] | None) -> Hints:
    if not comment and not attributes:
        return NO_HINTS
    fields = _parse_hint_comment(comment) if comment else {}
    for key in ("id", "class", "deadline_ms"):
        value = (attributes or {}).get(key)
        if value is not None:
            fields[key] = str(value)
    return Hints(
        request_id=_check_request_id(fields.get("id", "")),
        request_class=fields.get("class", ""),
        deadline_ms=_parse_deadline(fields.get("deadline_ms")),
    )


def _parse_hint_comment(comment: str) -> dict[str, str]:
    fields: dict[str, str] = {}
    for part in comment.split(","):
        key, sep, value = part.strip().partition("=")
        key, value = key.strip(), value.strip()
        if not sep or not value or key not in ("id", "class", "deadline_ms"):
            raise Refused(
                f"malformed hint {part.strip()!r}: expected id=, class= or"
                " deadline_ms=, separated by commas",
                code=ER_WRONG_ARGUMENTS,
            )
        fields[key] = value
    return fields


def _check_request_id(text: str) -> str:
    if len(text) > MAX_REQUEST_ID_LENGTH or not text.isprintable():
        raise Refused(
            f"malformed hint: id must be printable and no longer than"
            f" {MAX_REQUEST_ID_LENGTH} characters",
            code=ER_WRONG_ARGUMENTS,
        )
    return text


def _parse_deadline(text: str | None) -> int | None:
    if text is None:
        return None
    try:
        deadline_ms = decode_number(text)
    except ValueError:
        deadline_ms = 0
    if not 0 < deadline_ms <= MAX_DEADLINE_MS:
        raise Refused(
            f"malformed hint: deadline_ms={text[:20]!r} is not a whole number of"
            f" milliseconds from 1 to {MAX_DEADLINE_MS}",
            code=ER_WRONG_ARGUMENTS,
        )
    return deadline_ms


def _raise_for_missing_verb(body: str) -> None:
    if not body.strip("; \n\t\r"):
        raise Refused("the statement is empty", code=ER_EMPTY_QUERY)
    if body.startswith("/*!"):
        raise Refused(
            "a statement that starts with a version comment /*! is not supported",
            code=ER_NOT_SUPPORTED_YET,
        )
    raise Refused(
        f"the statement does not start with a keyword: {body[:40]!r}",
        code=ER_PARSE_ERROR,
    )


def _needs_masking(body: str) -> bool:
    return any(mark in body for mark in _AMBIGUOUS_MARKS)


def _mask_quoted_and_comments(body: str) -> str:
    return _QUOTED_OR_COMMENT.sub(
        lambda m: "''" if m.group()[0] in "'\"`" else " ", body
    )


def _is_local(verb: str, body: str) -> bool:
    if verb == "SELECT":
        return _LOCAL_SELECT.match(body) is not None
    if verb == "SHOW":
        return _LOCAL_SHOW.match(body) is not None
    return verb in ("SET", "USE")


def _check_supported(verb: str, masked: str) -> None:
    reason = ""
    if verb in _UNSUPPORTED_VERBS:
        reason = f"{verb} is not supported: connections to targets are shared"
    elif verb == "START" and not _START_TRANSACTION.match(masked):
        reason = "START is supported only as START TRANSACTION"
    elif verb in ("COMMIT", "ROLLBACK") and _CHAIN_OR_RELEASE.search(masked):
        reason = f"{verb} with CHAIN or RELEASE is not supported"
    elif "@" in masked and _USER_VARIABLE.search(masked):
        reason = "user variables are not supported: connections to targets are shared"
    elif "lock" in masked.lower() and _NAMED_LOCK.search(masked):
        reason = "named locks are not supported: connections to targets are shared"
    if reason:
        raise Refused(reason, code=ER_NOT_SUPPORTED_YET)


def _classify(verb: str, masked: str) -> Kind:
    if verb in ("BEGIN", "START"):
        return Kind.BEGIN
    if verb == "COMMIT":
        return Kind.COMMIT
    if verb == "ROLLBACK" and not _ROLLBACK_TO.match(masked):
        return Kind.ROLLBACK
    if verb not in _READ_VERBS or _LOCKING_OR_WRITING.search(masked):
        return Kind.WRITE
    if verb in ("WITH", "EXPLAIN") and _WRITING_VERB.search(masked):
        return Kind.WRITE
    return Kind.READ
