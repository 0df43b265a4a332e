"""The values that all parts share."""

from dataclasses import dataclass

from wasabipitch.exceptions import SettingsError


@dataclass(frozen=True, order=True, slots=True)
class Position:
    """A place in a group's log: the last entry's term, then its index.

    Positions are compared in that order.
    """

    term: int = 0
    index: int = 0

    def __str__(self) -> str:
        return f"{self.term}:{self.index}"

    @classmethod
    def parse(cls, text: str) -> "Position":
        """Return the position that ``str()`` of it gave.

        Raises:
            ValueError: if the text has another form than ``term:index``.
        """
        term, _, index = text.partition(":")
        return cls(int(term), int(index))


ORIGIN = Position(0, 0)


@dataclass(frozen=True, order=True, slots=True)
class Address:
    """An IP number and a port."""

    ip: str
    port: int

    def __str__(self) -> str:
        return f"{self.ip}:{self.port}"

    @classmethod
    def parse(cls, text: str) -> "Address":
        """Return the address written as ``ip:port``.

        Raises:
            SettingsError: if the text has another form.
        """
        ip, sep, port = text.rpartition(":")
        if not sep or not ip or not port.isdigit():
            raise SettingsError(f"address {text!r} is not of the form ip:port")
        return cls(ip, int(port))


@dataclass(frozen=True, slots=True)
class Column:
    """A result column, as the MySQL protocol describes it.

    Args:
        name: the column's name or alias.
        type_code: the protocol's column type, such as 8 for LONGLONG.
        charset: the protocol's collation number; 63 is binary.
    """

    name: str
    type_code: int
    charset: int = 45


@dataclass(frozen=True, slots=True)
class Host:
    """A process of the system, as the platform's host list names it.

    Args:
        role: ``entry``, ``pool`` or ``target``.
        address: where its links are accepted, as ``ip:port``.
        state: ``live`` or ``leaving``.
    """

    name: str
    role: str
    address: str
    data_centre: str
    state: str = "live"


def majority(count: int) -> int:
    """Return how many of ``count`` instances make a majority."""
    return count // 2 + 1
