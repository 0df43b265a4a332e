"""Value types that all modules share."""

import msgspec

from wasabipitch.decoding import decode_number
from wasabipitch.exceptions import SettingsError

MAX_PORT = 65_535


class Position(msgspec.Struct, frozen=True, order=True):
    """A log position of a group: the term and the index of an entry.

    Positions are ordered by term, then by index.
    """

    term: int = 0
    index: int = 0

    def __str__(self) -> str:
        return f"{self.term}:{self.index}"

    @classmethod
    def parse(cls, text: str) -> "Position":
        """Return the position that is written as ``term:index``.

        Raises:
            ValueError: The text has another form.
        """
        term, _, index = text.partition(":")
        return cls(int(term), int(index))


# The position of an empty log, below every entry.
ORIGIN = Position(0, 0)


class Address(msgspec.Struct, frozen=True, order=True):
    """An IP address and a port."""

    ip: str
    port: int

    def __str__(self) -> str:
        return f"{self.ip}:{self.port}"

    @classmethod
    def parse(cls, text: str) -> "Address":
        """Return the address that is written as ``ip:port``.

        Raises:
            SettingsError: The text has another form.
        """
        ip, sep, digits = text.rpartition(":")
        try:
            port = decode_number(digits)
        except ValueError as exc:
            raise SettingsError(f"address {text[:80]!r}: port {exc}") from exc
        if not sep or not ip or port > MAX_PORT:
            raise SettingsError(f"address {text[:80]!r} is not of the form ip:port")
        return cls(ip, port)


class Column(msgspec.Struct, frozen=True):
    """A result column, as the MySQL protocol describes it.

    Args:
        name: The name or alias of the column.
        type_code: The protocol's column type, such as 8 for LONGLONG.
        charset: The protocol's collation number; 63 is binary.
    """

    name: str
    type_code: int
    charset: int = 45


class Host(msgspec.Struct, frozen=True):
    """A process of the system, as in the platform's host list.

    Args:
        name: The name of the process, unique in the system.
        role: ``entry``, ``pool``, ``target``, ``gateway`` or ``ctl``.
        address: The ``ip:port`` at which it accepts links.
        data_centre: The data centre in which it runs.
        state: ``live`` or ``leaving``.
    """

    name: str
    role: str
    address: str
    data_centre: str
    state: str = "live"


def majority(count: int) -> int:
    """Return the smallest number of ``count`` instances that is a majority."""
    return count // 2 + 1
