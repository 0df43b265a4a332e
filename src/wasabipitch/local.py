"""Statements that an entry answers itself, without a pool.

Client libraries send such statements to set up a connection or to inspect it:
``SET``, ``USE``, ``SHOW`` and queries of system variables. A few forms are matched
here, and mysql-mimic parses and answers the rest. Statements for pools are never
parsed by mysql-mimic.
"""

import re

from mysql_mimic import Session as MimicSession
from mysql_mimic.connection import Connection
from mysql_mimic.errors import MysqlError
from mysql_mimic.results import ResultSet, ensure_result_set
from mysql_mimic.types import ColumnType
from mysql_mimic.variables import (
    SYSTEM_VARIABLES,
    GlobalVariables,
    SessionVariables,
)
from sqlglot.errors import SqlglotError

from wasabipitch.contracts import pack_rows
from wasabipitch.exceptions import Refused
from wasabipitch.messages import Result
from wasabipitch.models import Column
from wasabipitch.session_runner import SessionRunner
from wasabipitch.sessions import Session
from wasabipitch.statements import ER_NOT_SUPPORTED_YET, ER_PARSE_ERROR, Statement

ER_WRONG_VALUE_FOR_VAR = 1231
MAX_PARSED_LENGTH = 8192  # characters
UTF8_CHARSET = 45  # the collation number of utf8mb4_general_ci
SERVER_VERSION = "8.0.36"

GLOBAL_VARIABLES = GlobalVariables(
    SYSTEM_VARIABLES
    | {
        "version": (str, SERVER_VERSION, False),
        "version_comment": (str, "wasabipitch", False),
        "sql_mode": (str, "", True),
        "default_storage_engine": (str, "InnoDB", True),
    }
)

_SET_TOKEN = re.compile(
    r"set\s+(?:session\s+|@@session\.|@@|@)?wasabipitch_token\s*:?=\s*"
    r"(?:'([^']*)'|\"([^\"]*)\")\s*;?\s*",
    re.IGNORECASE,
)
_SELECT_TOKEN = re.compile(
    r"select\s+(@@?(?:session\.)?wasabipitch_token)(?:\s+(?:as\s+)?`?(\w+)`?)?\s*;?\s*",
    re.IGNORECASE,
)
_USE_STATEMENT = re.compile(r"use\s+(?:`([^`]+)`|([\w$-]+))\s*;?\s*", re.IGNORECASE)
_LAST_INSERT_ID = re.compile(
    r"select\s+(last_insert_id\s*\(\s*\))(?:\s+(?:as\s+)?`?(\w+)`?)?\s*;?\s*",
    re.IGNORECASE,
)
_SHOW_DATABASES = re.compile(r"show\s+(?:databases|schemas)\s*;?\s*", re.IGNORECASE)


class LocalSession(MimicSession):
    """Answers a session's local statements.

    ``state`` is the session that the statements read and change. It is None until
    the caller is authenticated.

    Args:
        runner: The runner that holds the declared groups and changes sessions.
    """

    def __init__(self, runner: SessionRunner) -> None:
        super().__init__(SessionVariables(GLOBAL_VARIABLES))
        self.state: Session | None = None
        self._runner = runner

    def attach(self, conn: Connection) -> None:
        """Set the connection whose id ``CONNECTION_ID()`` returns."""
        self._connection = conn

    async def answer(self, statement: Statement) -> Result:
        """Return the answer to a local statement.

        Raises:
            Refused: If the statement is malformed, not supported or has a wrong
                value.
        """
        text = statement.text.strip()
        if statement.verb == "USE":
            return self._answer_use(text)
        if (match := _SET_TOKEN.fullmatch(text)) is not None:
            token = match.group(1) or match.group(2) or ""
            self.state.accept_token(token, self._runner.catalogue.groups)
            return Result()
        if (match := _SELECT_TOKEN.fullmatch(text)) is not None:
            name = match.group(2) or match.group(1)
            return _make_result(name, [self.state.make_token()])
        if (match := _LAST_INSERT_ID.fullmatch(text)) is not None:
            name = match.group(2) or match.group(1)
            number = str(self.state.last_insert_id)
            return _make_result(name, [number], ColumnType.LONGLONG)
        if _SHOW_DATABASES.fullmatch(text) is not None:
            return _make_result("Database", sorted(self._runner.catalogue.groups))
        return await self._answer_parsed(text)

    async def query(self, expression, sql: str, attrs: dict[str, str]):
        """Refuse a statement that no handler of mysql-mimic answers."""
        raise Refused(f"not supported: {sql[:80]}", code=ER_NOT_SUPPORTED_YET)

    async def reset(self) -> None:
        """Reset the session variables, except for the user and the character set."""
        user = self.variables.get("external_user")
        charset = self.variables.get("character_set_client")
        self.variables = SessionVariables(GLOBAL_VARIABLES)
        self.variables.set("external_user", user, force=True)
        self.variables.set("character_set_client", charset)

    def _answer_use(self, text: str) -> Result:
        match = _USE_STATEMENT.fullmatch(text)
        if match is None:
            raise Refused(f"malformed USE: {text[:80]}", code=ER_PARSE_ERROR)
        self._runner.select_group(self.state, match.group(1) or match.group(2))
        return Result()

    async def _answer_parsed(self, text: str) -> Result:
        if len(text) > MAX_PARSED_LENGTH:
            raise Refused(
                f"a statement of {len(text)} characters exceeds the limit of"
                f" {MAX_PARSED_LENGTH} for statements such as SET and SHOW",
                code=ER_NOT_SUPPORTED_YET,
            )
        self.database = self.state.group or None
        try:
            result_set = await ensure_result_set(await self.handle_query(text, {}))
        except MysqlError as exc:
            raise Refused(exc.msg, code=int(exc.code)) from exc
        except SqlglotError as exc:
            raise Refused(f"malformed {text[:80]}", code=ER_PARSE_ERROR) from exc
        except (KeyError, ValueError, TypeError, AttributeError) as exc:
            error = f"cannot execute {text[:80]}: {exc}"
            raise Refused(error, code=ER_WRONG_VALUE_FOR_VAR) from exc
        autocommit = bool(self.variables.get("autocommit"))
        if autocommit != self.state.autocommit:
            await self._runner.set_autocommit(self.state, autocommit)
        return _convert_result_set(result_set)


def _make_result(
    name: str, values: list[str], type_code: ColumnType = ColumnType.VAR_STRING
) -> Result:
    column = Column(name, int(type_code), UTF8_CHARSET)
    return Result((column,), pack_rows([[v.encode()] for v in values]))


def _convert_result_set(result_set: ResultSet) -> Result:
    columns = tuple(
        Column(c.name, int(c.type), UTF8_CHARSET) for c in result_set.columns
    )
    if not columns:
        return Result()
    rows = [
        [
            None if value is None else column.text_encode(value)
            for column, value in zip(result_set.columns, row, strict=True)
        ]
        for row in result_set.rows
    ]
    return Result(columns, pack_rows(rows))
