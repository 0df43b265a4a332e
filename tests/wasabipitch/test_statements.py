import unittest
from decimal import Decimal

from wasabipitch.exceptions import Refused
from wasabipitch.messages import Kind
from wasabipitch.statements import (
    Hints,
    fingerprint,
    inspect_statement,
    quote,
    split_placeholders,
)
from wasabipitch.verdict import Verdict

KINDS = {
    Kind.READ: [
        "select 1",
        "(SELECT 1) UNION (SELECT 2)",
        "SHOW TABLES",
        "EXPLAIN SELECT 1",
        "DESCRIBE jobs",
        "WITH a AS (SELECT 1) SELECT * FROM a",
        "/* app */ -- note\n# more\n SELECT 'for update', 'a;b'",
        "SELECT 'it''s @home; \\'quoted\\' /*'",
        "SELECT @@sql_mode FROM jobs;",
    ],
    Kind.WRITE: [
        "SELECT * FROM jobs FOR UPDATE",
        "SELECT * FROM jobs /*x*/ FOR/**/UPDATE",
        "SELECT * FROM jobs /*!50000 FOR UPDATE */",
        "select * from jobs for\nshare",
        "SELECT 1 LOCK IN SHARE MODE",
        "SELECT 1 INTO OUTFILE 'x'",
        "WITH a AS (SELECT 1) DELETE FROM jobs",
        "EXPLAIN ANALYZE UPDATE jobs SET a = 1",
        "INSERT INTO jobs VALUES ('a@b; c')",
        "CREATE TABLE t (a INT)",
        "CALL p()",
        "ROLLBACK TO SAVEPOINT a",
        "ROLLBACK WORK TO a",
        "SAVEPOINT a",
    ],
    Kind.BEGIN: ["BEGIN", "begin work", "START TRANSACTION READ ONLY"],
    Kind.COMMIT: ["COMMIT", "commit work;", "COMMIT AND NO CHAIN"],
    Kind.ROLLBACK: ["ROLLBACK", "Rollback Work"],
}
REFUSED = [
    "",
    "  ;",
    "/* nothing */",
    "SELECT 1; SELECT 2",
    "SELECT ';'; DROP TABLE jobs",
    "SELECT `a;b` FROM t;/**/DELETE FROM t",
    "SELECT 1 -- x\n; SELECT 2",
    "/*!40101 SET NAMES utf8 */",
    "COMMIT AND CHAIN",
    "ROLLBACK RELEASE",
    "START REPLICA",
    "LOCK TABLES jobs WRITE",
    "KILL 3",
    "PREPARE s FROM 'SELECT 1'",
    "XA START 'a'",
    "SELECT @a := 1",
    "SELECT @`a`",
    "SELECT GET_LOCK('a', 1)",
    "123",
]
LOCAL = [
    "SET NAMES utf8mb4",
    "set autocommit=0",
    "USE `workshop`",
    "SELECT @@version_comment LIMIT 1",
    "SELECT DATABASE()",
    "select connection_id()",
    "SHOW WARNINGS",
    "SHOW SESSION VARIABLES LIKE 'a%'",
    "SELECT @wasabipitch_token",
]


class ClassifyTests(unittest.TestCase):
    def test_statement_kinds(self):
        for kind, statements in KINDS.items():
            for sql in statements:
                with self.subTest(sql):
                    statement = inspect_statement(sql)
                    self.assertEqual(statement.kind, kind)
                    self.assertFalse(statement.local)

    def test_refused_statements(self):
        for sql in REFUSED:
            with self.subTest(sql), self.assertRaises(Refused) as caught:
                inspect_statement(sql)
            self.assertIs(caught.exception.verdict, Verdict.NOT_RUN)

    def test_local_statements(self):
        for sql in LOCAL:
            with self.subTest(sql):
                self.assertTrue(inspect_statement(sql).local)
        self.assertFalse(inspect_statement("SELECT DATABASE() FROM jobs").local)

    def test_statements_that_commit_implicitly(self):
        self.assertTrue(inspect_statement("ALTER TABLE t ADD a INT").commits_implicitly)
        self.assertFalse(inspect_statement("UPDATE t SET a = 1").commits_implicitly)

    def test_unterminated_quotes_take_linear_time(self):
        inspect_statement("SELECT '" + "a''\\\\" * 50_000)


class HintTests(unittest.TestCase):
    def test_comment_is_read_and_removed(self):
        sql = "/* app */ /* wasabipitch: id=a-1, class=payment, deadline_ms=800 */ DO 1"
        statement = inspect_statement(sql)
        self.assertEqual(statement.hints, Hints("a-1", "payment", 800))
        self.assertEqual(statement.text, "/* app */DO 1")

    def test_attributes_override_the_comment(self):
        sql = "/* wasabipitch: id=a, class=b */ SELECT 1"
        hints = inspect_statement(
            sql, {"id": "c", "deadline_ms": 5, "trace": "x"}
        ).hints
        self.assertEqual(hints, Hints("c", "b", 5))

    def test_hint_inside_a_literal_is_ignored(self):
        sql = "SELECT '/* wasabipitch: id=a */'"
        self.assertEqual(inspect_statement(sql).hints, Hints())
        self.assertEqual(inspect_statement(sql).text, sql)

    def test_malformed_hints_are_refused(self):
        for hint in (
            "id",
            "idd=5",
            "deadline_ms=-1",
            "deadline_ms=x",
            "id=" + "x" * 129,
        ):
            with self.subTest(hint), self.assertRaisesRegex(Refused, "malformed hint"):
                inspect_statement(f"/* wasabipitch: {hint} */ SELECT 1")


class FingerprintTests(unittest.TestCase):
    def test_values_whitespace_and_case_are_ignored(self):
        expected = fingerprint("INSERT INTO pay (a, b) VALUES (?, ?)")
        for sql in (
            "insert into pay(a,b) values(-1, 'x''y')",
            "INSERT  INTO PAY (a, b)\n VALUES (NULL, 0x1F) -- note",
            "INSERT INTO pay (a, b) VALUES (%s, %(name)s);",
            "/* a */ INSERT INTO pay (a, b) VALUES (1.5e-3, TRUE, 3)",
        ):
            with self.subTest(sql):
                self.assertEqual(fingerprint(sql), expected)

    def test_different_statements_have_different_fingerprints(self):
        fingerprints = {
            fingerprint(sql)
            for sql in (
                "SELECT a FROM t",
                "SELECT b FROM t",
                "SELECT a FROM t2",
                "SELECT a - 1 FROM t",
                "SELECT a FROM t WHERE b = 1",
            )
        }
        self.assertEqual(len(fingerprints), 5)


class ParameterTests(unittest.TestCase):
    def test_placeholders_outside_quotes_and_comments(self):
        sql = "SELECT ?, '?', \"?\", `?` /* ? */ -- ?\n, ?"
        pieces = split_placeholders(sql)
        self.assertEqual(len(pieces), 3)
        self.assertEqual("?".join(pieces), sql)

    def test_quoted_values_are_safe(self):
        for value, text in (
            (None, "NULL"),
            (-5, "-5"),
            (Decimal("1.50"), "1.50"),
            ("it's", "'it''s'"),
            ("\\' OR 1 -- ", "'\\\\'' OR 1 -- '"),
            ("a\0", "x'6100'"),
            (b"caf\xc3\xa9", "'café'"),
            (b"\xff\xfe", "x'fffe'"),
        ):
            with self.subTest(value):
                self.assertEqual(quote(value), text)
