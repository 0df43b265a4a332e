from unittest import TestCase

from standins.controls import Call, parse_call
from standins.dialect import StatementKind, parse
from standins.exceptions import SqlError
from standins.log import START, Entry, Log, Position


class ParseTest(TestCase):
    def test_statements_are_rewritten_for_sqlite(self) -> None:
        for sql, expected in {
            r"SELECT 'it\'s', 'a\\b', 'c''d';": r"SELECT 'it''s', 'a\b', 'c''d'",
            'SELECT "it\'s"': "SELECT 'it''s'",
            r"SELECT 'a\0b'": "SELECT CAST(X'610062' AS TEXT)",
            "SELECT _binary'ab'": "SELECT X'6162'",
            "SELECT '/* kept */' /* dropped */": "SELECT '/* kept */'",
            'SELECT `a"b` -- dropped': 'SELECT `a"b`',
            "INSERT IGNORE INTO t VALUES (1)": "INSERT OR IGNORE INTO t VALUES (1)",
            "INSERT INTO t (a) VALUES (1) ON DUPLICATE KEY UPDATE a = VALUES(a)": (
                "INSERT INTO t (a) VALUES (1) ON CONFLICT DO UPDATE SET a = excluded.a"
            ),
            "TRUNCATE TABLE t": "DELETE FROM t",
            "CREATE TABLE t (id BIGINT UNSIGNED NOT NULL AUTO_INCREMENT, "
            "PRIMARY KEY (id)) ENGINE=InnoDB DEFAULT CHARSET=utf8mb4": (
                "CREATE TABLE t (id INTEGER PRIMARY KEY AUTOINCREMENT)"
            ),
        }.items():
            self.assertEqual(parse(sql).sql, expected)

    def test_the_first_keyword_gives_the_kind(self) -> None:
        for sql, kind in {
            "/* hint */ select 1": StatementKind.READ,
            "(SELECT 1)": StatementKind.READ,
            "replace into t values (1)": StatementKind.WRITE,
            "START TRANSACTION READ ONLY": StatementKind.BEGIN,
            "ROLLBACK": StatementKind.ROLLBACK,
            "ROLLBACK TO s": StatementKind.SAVEPOINT,
            "SET NAMES utf8mb4": StatementKind.SET,
        }.items():
            self.assertIs(parse(sql).kind, kind, sql)
        for sql in ("", "ATTACH 'x' AS y", "PRAGMA user_version"):
            with self.assertRaises(SqlError):
                parse(sql)

    def test_locking_reads_are_recognized(self) -> None:
        stmt = parse("SELECT * FROM t WHERE id = 1 FOR UPDATE")
        self.assertEqual(stmt.sql, "SELECT * FROM t WHERE id = 1")
        self.assertTrue(stmt.locks)
        self.assertFalse(parse("SELECT ' FOR UPDATE'").locks)

    def test_work_is_read_from_comments_and_calls(self) -> None:
        for sql, work_ms in {
            "/* work_ms=300 */ SELECT 1": 300,
            "SELECT /* x, work_ms=1.5 */ 1": 1.5,
            "SELECT SLEEP(0.25)": 250,
            "SELECT work_ms FROM t": 0,
        }.items():
            self.assertEqual(parse(sql).work_ms, work_ms, sql)


class CallTest(TestCase):
    def test_calls_are_read_with_their_arguments(self) -> None:
        call = parse_call("/* x */ call wasabipitch_follow('1.2.3.4:5', 7);")
        self.assertEqual(call, Call("wasabipitch_follow", ("1.2.3.4:5", 7)))
        self.assertEqual(parse_call("CALL standin_cut('')"), Call("standin_cut", ("",)))
        self.assertIsNone(parse_call("SELECT 'CALL x()'"))
        with self.assertRaises(SqlError):
            parse_call("CALL wasabipitch_fence(1 2)")


class LogTest(TestCase):
    def setUp(self) -> None:
        positions = [Position(1, 1), Position(1, 2), Position(3, 3), Position(3, 4)]
        self.log = Log([Entry(position) for position in positions])

    def test_positions_compare_by_term_first(self) -> None:
        self.assertLess(Position(1, 9), Position(2, 1))

    def test_the_log_contains_only_its_own_positions(self) -> None:
        self.assertTrue(self.log.contains(START))
        self.assertTrue(self.log.contains(Position(3, 3)))
        for position in (Position(2, 3), Position(3, 5), Position(3, 0)):
            self.assertFalse(self.log.contains(position))

    def test_the_greatest_position_up_to_another_is_found(self) -> None:
        for position, expected in {
            Position(2, 9): Position(1, 2),
            Position(3, 3): Position(3, 3),
            Position(9, 9): Position(3, 4),
            Position(1, 0): START,
        }.items():
            self.assertEqual(self.log.greatest_up_to(position), expected)

    def test_entries_leave_no_gap_and_terms_do_not_decrease(self) -> None:
        for position in (Position(3, 6), Position(2, 5)):
            with self.assertRaises(ValueError):
                self.log.append(Entry(position))
