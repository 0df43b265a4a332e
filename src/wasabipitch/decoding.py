"""Decodes what others write: documents in the store, messages, numbers in texts."""

from typing import Any

import msgspec

# More digits than any number in a document or message has. Python's own conversion
# refuses texts of thousands of digits with another error than other malformed ones.
MAX_DIGITS = 18


def decode_json(data: bytes | str, kind: Any = Any, strict: bool = True) -> Any:
    """Return a value from JSON.

    Args:
        data: The JSON text.
        kind: The type of the value.
        strict: Whether texts that hold numbers are no numbers.

    Raises:
        msgspec.DecodeError: The text is no value of this type, or nested too deeply.
    """
    try:
        return msgspec.json.decode(data, type=kind, strict=strict)
    except RecursionError as exc:
        raise msgspec.DecodeError("the JSON text is nested too deeply") from exc


def decode_msgpack(data: bytes, kind: Any) -> Any:
    """Return a value from msgpack.

    Raises:
        msgspec.DecodeError: The data are no value of this type, or nested too deeply.
    """
    try:
        return msgspec.msgpack.decode(data, type=kind)
    except RecursionError as exc:
        raise msgspec.DecodeError("the data are nested too deeply") from exc


def decode_number(digits: bytes | str) -> int:
    """Return a whole number from its decimal digits.

    Raises:
        ValueError: The text has other characters than the ten ASCII digits, or more
            than ``MAX_DIGITS`` of them.
    """
    if not (digits.isascii() and digits.isdigit() and len(digits) <= MAX_DIGITS):
        raise ValueError(f"{digits[:40]!r} is not a whole number")
    return int(digits)
