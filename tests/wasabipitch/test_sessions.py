import base64
import unittest

import msgspec

from wasabipitch.exceptions import Refused
from wasabipitch.models import Position
from wasabipitch.sessions import TOKEN_PREFIX, Session, decode_token, encode_token

GROUPS = frozenset({"workshop", "ledger"})


def encode_unchecked(value: object) -> str:
    return (
        TOKEN_PREFIX + base64.urlsafe_b64encode(msgspec.msgpack.encode(value)).decode()
    )


class TokenTests(unittest.TestCase):
    def test_token_carries_the_floors_of_all_groups(self):
        floors = {"workshop": Position(3, 2**40), "ledger": Position(1, 9)}
        token = encode_token(floors)
        self.assertTrue(token.isascii() and token.isprintable())
        self.assertEqual(decode_token(token), floors)

    def test_floors_are_only_raised(self):
        session = Session("s", floors={"workshop": Position(2, 5)})
        session.accept_token(encode_token({"workshop": Position(2, 4)}), GROUPS)
        self.assertEqual(session.floors["workshop"], Position(2, 5))
        session.accept_token(encode_token({"workshop": Position(3, 1)}), GROUPS)
        self.assertEqual(session.floors["workshop"], Position(3, 1))

    def test_groups_that_are_not_declared_are_ignored(self):
        session = Session("s")
        session.accept_token(encode_token({"other": Position(1, 1)}), GROUPS)
        self.assertEqual(session.floors, {})

    def test_malformed_tokens_change_nothing(self):
        good = encode_token({"workshop": Position(9, 9)})
        for token in (
            "",
            "x",
            TOKEN_PREFIX + "!!",
            good[:-3],
            "wp2." + good[4:],
            encode_unchecked([1]),
            encode_unchecked({"workshop": (-1, 0)}),
            encode_unchecked({"workshop": (1, 2**63)}),
            encode_unchecked({"x" * 64: (1, 1)}),
            TOKEN_PREFIX + "A" * 300_000,
        ):
            session = Session("s")
            with self.subTest(token[:40]), self.assertRaises(Refused):
                session.accept_token(token, GROUPS)
            self.assertEqual(session.floors, {})


class SessionTests(unittest.TestCase):
    def test_a_reset_keeps_the_floors(self):
        session = Session("s", group="workshop", autocommit=False)
        session.raise_floor("workshop", Position(1, 1))
        session.reset()
        self.assertTrue(session.autocommit)
        self.assertEqual(session.floors, {"workshop": Position(1, 1)})

    def test_lost_transaction_changes_the_key(self):
        session = Session("s")
        session.mark_transaction_lost("why")
        self.assertEqual(session.key, "s.1")
