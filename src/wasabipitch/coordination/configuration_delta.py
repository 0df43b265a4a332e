"""Encodes a configuration, or the difference between two, for other hosts.

An encoded change is a sequence of blocks, compressed as one stream. The first block has
the fields that are not tables; each other one has some entries of a table that were
added or changed, or the names of some that were removed. The whole configuration is the
change against an empty one.

The digest of a configuration is the sum of the hashes of its entries and of its other
fields, modulo 2**128. It does not depend on the order of the entries, and the digest
after a change follows from the changed entries alone.

All work is done in steps, see ``coordination.steps``: a step handles at most
``ENTRIES_PER_STEP`` entries, or compares ``COMPARED_PER_STEP``.
"""

import struct
import zlib
from collections.abc import Iterable, Iterator, Mapping
from itertools import islice
from typing import Any

import msgspec
import xxhash
from msgspec.structs import replace

from wasabipitch.coordination.documents import (
    Account,
    Configuration,
    GroupSettings,
    Route,
)
from wasabipitch.coordination.steps import Steps
from wasabipitch.decoding import decode_msgpack
from wasabipitch.exceptions import ConfigurationRefused

# Hashing, encoding or decoding an entry takes some 5 us on a fast core, so a step takes
# 1 ms on a third of one.
ENTRIES_PER_STEP = 64
# Comparing an entry takes some 0.2 us.
COMPARED_PER_STEP = 1024
# The bytes that are decompressed in one step.
STEP_BYTES = 16 * 1024
# More than 100,000 routes; a damaged stream must not fill the memory.
MAX_DECODED_BYTES = 64 * 1024 * 1024
COMPRESSION_LEVEL = 6
# The base of a change that is the whole configuration.
NO_BASE = ""

# The fields with many entries, with the type of a list of them. A field that is not
# listed here is sent with every change.
_TABLES: dict[str, Any] = {
    "routes": list[tuple[str, Route]],
    "groups": list[tuple[str, GroupSettings]],
    "accounts": list[tuple[str, Account]],
    "account_names": list[tuple[str, str]],
}
_DIGEST_RANGE = 1 << 128
_HEADER = struct.Struct("<I")


class DigestedConfiguration(msgspec.Struct, frozen=True):
    """A configuration with its digest.

    Args:
        configuration: The configuration.
        entries_sum: The sum of the hashes of its entries.
        digest: The digest of the whole, in hexadecimal digits.
    """

    configuration: Configuration
    entries_sum: int
    digest: str


class EncodedChange(msgspec.Struct, frozen=True):
    """A change from one configuration to another, ready to be sent.

    Args:
        base: The digest of the first configuration, or ``NO_BASE``.
        version: The version of the second one.
        digest: The digest of the second one.
        data: The compressed blocks.
    """

    base: str
    version: int
    digest: str
    data: bytes


class _Block(msgspec.Struct, frozen=True, array_like=True):
    # A key of ``_TABLES``, or empty for the other fields.
    table: str
    # The entries as a list of pairs of name and value, or the other fields.
    content: msgspec.Raw
    removed: list[str]


def digest_steps(configuration: Configuration) -> Steps[DigestedConfiguration]:
    """Return a configuration with its digest."""
    total = 0
    for table in _TABLES:
        for batch in _batches(getattr(configuration, table).items(), ENTRIES_PER_STEP):
            total += sum(_hash_entry(table, *entry) for entry in batch)
            yield
    return _make_digested(configuration, total)


def encode_steps(
    base: DigestedConfiguration | None, target: DigestedConfiguration
) -> Steps[EncodedChange]:
    """Return the change from one configuration to another.

    Args:
        base: The configuration that the receiver has, or None.
        target: The configuration that it is to have.
    """
    compressor = zlib.compressobj(COMPRESSION_LEVEL)
    pieces = []

    def add(table: str, content: Any, removed: list[str]) -> None:
        raw = msgspec.Raw(msgspec.msgpack.encode(content))
        block = msgspec.msgpack.encode(_Block(table, raw, removed))
        pieces.append(compressor.compress(_HEADER.pack(len(block)) + block))

    add("", _find_other_fields(target.configuration), [])
    yield
    for table in _TABLES:
        old = getattr(base.configuration, table) if base else {}
        new = getattr(target.configuration, table)
        changed = yield from _find_changed(old, new)
        for batch in _batches(changed, ENTRIES_PER_STEP):
            add(table, batch, [])
            yield
        removed = yield from _find_removed(old, new)
        for batch in _batches(removed, ENTRIES_PER_STEP):
            add(table, [], batch)
            yield
    pieces.append(compressor.flush())
    return EncodedChange(
        base.digest if base else NO_BASE,
        target.configuration.version,
        target.digest,
        b"".join(pieces),
    )


class ChangeReader:
    """Applies a change to a configuration while the change arrives.

    Args:
        base: The configuration that this host has, or None.
        change_base: The digest of the configuration that the change is for, or
            ``NO_BASE``.
        version: The version after the change.
        digest: The digest after the change.

    Raises:
        ConfigurationRefused: The change is for another configuration.
    """

    def __init__(
        self,
        base: DigestedConfiguration | None,
        change_base: str,
        version: int,
        digest: str,
    ) -> None:
        if change_base == NO_BASE:
            base = None
        elif base is None or base.digest != change_base:
            raise ConfigurationRefused("the change is for another configuration")
        self._version = version
        self._digest = digest
        self._tables: dict[str, dict[str, Any]] = {
            table: dict(getattr(base.configuration, table)) if base else {}
            for table in _TABLES
        }
        self._entries_sum = base.entries_sum if base else 0
        self._others: Configuration | None = None
        self._decompressor = zlib.decompressobj()
        self._buffer = bytearray()
        self._decoded_bytes = 0

    def feed_steps(self, data: bytes) -> Steps[None]:
        """Apply the blocks in the next part of the data.

        Raises:
            ConfigurationRefused: The data are damaged.
        """
        while data:
            try:
                piece = self._decompressor.decompress(data, STEP_BYTES)
            except zlib.error as exc:
                raise ConfigurationRefused(f"damaged data: {exc}") from exc
            data = self._decompressor.unconsumed_tail
            self._decoded_bytes += len(piece)
            if self._decoded_bytes > MAX_DECODED_BYTES:
                raise ConfigurationRefused(f"more than {MAX_DECODED_BYTES} bytes")
            self._buffer += piece
            yield
            yield from self._apply_blocks()

    def finish(self) -> DigestedConfiguration:
        """Return the configuration after the change.

        Raises:
            ConfigurationRefused: Data are missing, or the result has another digest.
        """
        if not self._decompressor.eof or self._buffer or self._others is None:
            raise ConfigurationRefused("the data are incomplete")
        configuration = replace(self._others, **self._tables)
        result = _make_digested(configuration, self._entries_sum)
        if result.digest != self._digest or configuration.version != self._version:
            raise ConfigurationRefused(
                f"version {configuration.version} has the digest {result.digest}"
                f" instead of {self._digest}"
            )
        return result

    def _apply_blocks(self) -> Steps[None]:
        while len(self._buffer) >= _HEADER.size:
            (size,) = _HEADER.unpack_from(self._buffer)
            end = _HEADER.size + size
            if len(self._buffer) < end:
                return
            block = bytes(self._buffer[_HEADER.size : end])
            del self._buffer[:end]
            try:
                self._apply(decode_msgpack(block, _Block))
            except msgspec.MsgspecError as exc:
                raise ConfigurationRefused(f"damaged block: {exc}") from exc
            yield

    def _apply(self, block: _Block) -> None:
        if not block.table:
            self._others = decode_msgpack(block.content, Configuration)
            return
        entries_type = _TABLES.get(block.table)
        if entries_type is None:
            raise ConfigurationRefused(f"unknown table {block.table[:40]!r}")
        table = self._tables[block.table]
        for name in block.removed:
            self._remove(block.table, table, name)
        for name, value in decode_msgpack(block.content, entries_type):
            self._remove(block.table, table, name)
            table[name] = value
            self._entries_sum += _hash_entry(block.table, name, value)

    def _remove(self, name: str, table: dict[str, Any], key: str) -> None:
        known = table.pop(key, None)
        if known is not None:
            self._entries_sum -= _hash_entry(name, key, known)


def _find_other_fields(configuration: Configuration) -> Configuration:
    """Return the configuration without the entries of its tables."""
    return replace(configuration, **{table: {} for table in _TABLES})


def _make_digested(
    configuration: Configuration, entries_sum: int
) -> DigestedConfiguration:
    others = msgspec.msgpack.encode(_find_other_fields(configuration))
    digest = (entries_sum + xxhash.xxh3_128_intdigest(others)) % _DIGEST_RANGE
    return DigestedConfiguration(
        configuration, entries_sum % _DIGEST_RANGE, f"{digest:032x}"
    )


def _hash_entry(table: str, name: str, value: Any) -> int:
    return xxhash.xxh3_128_intdigest(msgspec.msgpack.encode((table, name, value)))


def _find_changed(
    old: Mapping[str, Any], new: Mapping[str, Any]
) -> Steps[list[tuple[str, Any]]]:
    """Return the entries that were added or changed."""
    changed = []
    for batch in _batches(new.items(), COMPARED_PER_STEP):
        changed += [(name, value) for name, value in batch if old.get(name) != value]
        yield
    return changed


def _find_removed(old: Mapping[str, Any], new: Mapping[str, Any]) -> Steps[list[str]]:
    removed = []
    for batch in _batches(old, COMPARED_PER_STEP):
        removed += [name for name in batch if name not in new]
        yield
    return removed


def _batches(items: Iterable[Any], size: int) -> Iterator[list[Any]]:
    remaining = iter(items)
    while batch := list(islice(remaining, size)):
        yield batch
