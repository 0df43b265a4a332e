import unittest

import msgspec

from wasabipitch.decoding import decode_json, decode_msgpack, decode_number
from wasabipitch.exceptions import SettingsError
from wasabipitch.models import Address

DEPTH = 100_000


class Named(msgspec.Struct):
    name: str = ""


class DecodingTest(unittest.TestCase):
    def test_nesting_without_end_is_a_decode_error(self):
        for text in (b"[" * DEPTH, b'{"other":' + b"[" * DEPTH):
            with self.assertRaises(msgspec.DecodeError):
                decode_json(text, Named)
        with self.assertRaises(msgspec.DecodeError):
            decode_json(b"[" * DEPTH)
        nested = b"\x81\xa5other" + b"\x91" * DEPTH
        with self.assertRaises(msgspec.DecodeError):
            decode_msgpack(nested, Named)

    def test_values_are_decoded_by_their_type(self):
        self.assertEqual(decode_json(b'{"name": "a"}', Named), Named("a"))
        self.assertEqual(decode_json('"7"', int, strict=False), 7)
        self.assertEqual(decode_msgpack(b"\x81\xa4name\xa1a", Named), Named("a"))

    def test_a_number_is_a_few_decimal_digits(self):
        self.assertEqual(decode_number("0080"), 80)
        self.assertEqual(decode_number(b"80"), 80)
        for text in ("", "²³", "٣", "-1", "+1", "1_0", " 1", "9" * 5000, b"\xb2"):
            with self.subTest(text[:9]), self.assertRaises(ValueError):
                decode_number(text)


class AddressTest(unittest.TestCase):
    def test_a_port_is_a_number_up_to_65535(self):
        self.assertEqual(Address.parse("10.0.0.1:65535"), Address("10.0.0.1", 65535))
        for port in ("²³", "9" * 5000, "65536", "-1", "", "٣"):
            with self.subTest(port[:9]), self.assertRaises(SettingsError):
                Address.parse(f"10.0.0.1:{port}")
        for text in ("10.0.0.1", ":80"):
            with self.subTest(text), self.assertRaises(SettingsError):
                Address.parse(text)
