"""Stores a configuration document under keys of the platform's store.

The head key's value is an envelope in JSON. A large document is split into parts. Each
part has its own key, named by the part's digest, and is written before the head. Where
a part ends depends only on the text near its end, so a small change to a large document
rewrites one part, and processes fetch only that one.
"""

import contextlib
from dataclasses import dataclass

import msgspec
import xxhash

from wasabipitch.decoding import decode_json
from wasabipitch.exceptions import StoreError
from wasabipitch.store import ABSENT, Record, Store

INLINE_LIMIT_BYTES = 64 * 1024
MIN_PART_BYTES = 16 * 1024
MAX_PART_BYTES = 900_000
# On average one line in this many may end a part. A packed group is a line of some
# 400 bytes.
PART_CUT_MODULUS = 16
MAX_ANCESTORS = 16


@dataclass(frozen=True, slots=True)
class Ancestor:
    """An earlier revision, and the nonce of the change that wrote it."""

    revision: int
    nonce: str


@dataclass(frozen=True, slots=True)
class Envelope:
    """The value of the head key.

    Args:
        nonce: A text unique to one change. It tells the writer whether its change took
            effect if the answer was lost.
        author: The person or program that made the change.
        document: The YAML text, or an empty string if it is split into parts.
        parts: The digests of the parts, in order.
        ancestors: The latest ``MAX_ANCESTORS`` revisions before this one, latest first.
    """

    nonce: str
    author: str
    document: str = ""
    parts: tuple[str, ...] = ()
    ancestors: tuple[Ancestor, ...] = ()


@dataclass(frozen=True, slots=True)
class StoredConfiguration:
    """A configuration as the store holds it, with its whole document."""

    revision: int
    document: str
    envelope: Envelope

    def find_revision(self, nonce: str) -> int | None:
        """Return the revision written with a nonce, or None if it is not known."""
        if self.envelope.nonce == nonce:
            return self.revision
        for ancestor in self.envelope.ancestors:
            if ancestor.nonce == nonce:
                return ancestor.revision
        return None

    def ancestors_of_next(self) -> tuple[Ancestor, ...]:
        """Return the ancestors of the revision that follows this one."""
        newest = Ancestor(self.revision, self.envelope.nonce)
        return (newest, *self.envelope.ancestors)[:MAX_ANCESTORS]


NO_CONFIGURATION = StoredConfiguration(ABSENT, "", Envelope(nonce="", author=""))


def digest_part(text: str) -> str:
    """Return the digest that names a part."""
    return xxhash.xxh3_128_hexdigest(text.encode())


def split_document(document: str) -> list[str]:
    """Split a document into parts at lines selected by their hash."""
    parts: list[str] = []
    lines: list[str] = []
    size = 0
    for line in document.splitlines(keepends=True):
        lines.append(line)
        size += len(line.encode())
        ends_part = xxhash.xxh3_64_intdigest(line.encode()) % PART_CUT_MODULUS == 0
        if size >= MAX_PART_BYTES // 2 or (ends_part and size >= MIN_PART_BYTES):
            parts.append("".join(lines))
            lines, size = [], 0
    if lines:
        parts.append("".join(lines))
    return parts


def part_key(key: str, digest: str) -> str:
    """Return the key of a part."""
    return f"{key}/parts/{digest}"


def encode(envelope: Envelope) -> str:
    """Return the envelope as the head key's value."""
    return msgspec.json.encode(envelope).decode()


async def write_parts(
    store: Store,
    key: str,
    document: str,
    *,
    nonce: str,
    author: str,
    parent: StoredConfiguration,
) -> Envelope:
    """Write a document's parts, if it is large, and return its envelope.

    Parts that the parent already has are not written again.

    Args:
        store: The store.
        key: The head key.
        document: The YAML text.
        nonce: A text unique to this change.
        author: The person or program that makes the change.
        parent: The configuration that the document replaces.
    """
    ancestors = parent.ancestors_of_next() if parent.revision else ()
    if len(document.encode()) <= INLINE_LIMIT_BYTES:
        return Envelope(nonce, author, document, (), ancestors)
    parts = split_document(document)
    digests = tuple(digest_part(part) for part in parts)
    known = set(parent.envelope.parts)
    for digest, part in zip(digests, parts, strict=True):
        if digest not in known:
            await store.put(part_key(key, digest), part, None)
    return Envelope(nonce, author, "", digests, ancestors)


async def load_configuration(
    store: Store, record: Record, cache: dict[str, str] | None = None
) -> StoredConfiguration | None:
    """Return the configuration that a head record holds.

    Args:
        store: The store that holds the parts.
        record: The record of the head key.
        cache: The known parts by digest. The call changes it to the parts of this
            document.

    Returns:
        The configuration, or None if a part is missing because a later revision has
        replaced it.

    Raises:
        StoreError: If the envelope is malformed.
    """
    try:
        envelope = decode_json(record.value, Envelope)
    except msgspec.MsgspecError as exc:
        raise StoreError(f"key {record.key}: malformed envelope: {exc}") from exc
    if not envelope.parts:
        return StoredConfiguration(record.revision, envelope.document, envelope)
    cache = {} if cache is None else cache
    missing = [digest for digest in envelope.parts if digest not in cache]
    for digest in missing:
        part = await store.get(part_key(record.key, digest))
        if part is None:
            return None
        cache[digest] = part.value
    for digest in set(cache) - set(envelope.parts):
        del cache[digest]
    document = "".join(cache[digest] for digest in envelope.parts)
    return StoredConfiguration(record.revision, document, envelope)


async def find_obsolete(
    store: Store, key: str, parent: StoredConfiguration, envelope: Envelope
) -> list[Record]:
    """Return the current records of the parts that only the parent has."""
    digests = set(parent.envelope.parts) - set(envelope.parts)
    records = [await store.get(part_key(key, digest)) for digest in sorted(digests)]
    return [record for record in records if record is not None]


async def delete_obsolete(store: Store, records: list[Record]) -> None:
    """Delete parts that no other writer has written again since they were read.

    The records must have been read before the new head was written. A writer that
    builds on the new head writes its parts again, which changes their revision, so that
    they are not deleted here.
    """
    for record in records:
        with contextlib.suppress(StoreError):
            await store.delete(record.key, expect=record.revision)


async def read_stored(store: Store, key: str) -> StoredConfiguration | None:
    """Return the configuration under a head key, or None if there is none."""
    record = await store.get(key)
    if record is None:
        return None
    stored = await load_configuration(store, record)
    if stored is None:
        raise StoreError(
            f"a part of the configuration under {key} is missing; try again"
        )
    return stored
