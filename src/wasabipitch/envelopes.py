"""How a configuration document is kept under keys of the platform's store.

The head key's value is an envelope in JSON. A large document is cut into parts
under keys of their own, named by their digest and written before the head.
Cuts depend on the text around them only, so that a small change to a large
document rewrites one part, and processes fetch no other.
"""

import contextlib
from dataclasses import dataclass

import msgspec
import xxhash

from wasabipitch.exceptions import StoreError
from wasabipitch.store import ABSENT, Record, Store

INLINE_LIMIT_BYTES = 64 * 1024
MIN_PART_BYTES = 16 * 1024
MAX_PART_BYTES = 900_000
# One line in so many ends a part; a packed group is a line of some 400 bytes.
PART_CUT_MODULUS = 16
MAX_ANCESTORS = 16


@dataclass(frozen=True, slots=True)
class Ancestor:
    """An earlier revision, and the nonce of its writer."""

    revision: int
    nonce: str


@dataclass(frozen=True, slots=True)
class Envelope:
    """The value of the head key.

    Args:
        nonce: the writer's, unique to one change; it tells the writer whether
            its change took effect when the answer was lost.
        author: who made the change.
        document: the YAML text, unless it is in parts.
        parts: the digests of the parts, in order.
        ancestors: the revisions before this one, latest first.
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
        """Return the revision that a nonce wrote, as far back as is known."""
        if self.envelope.nonce == nonce:
            return self.revision
        for ancestor in self.envelope.ancestors:
            if ancestor.nonce == nonce:
                return ancestor.revision
        return None

    def ancestors_of_next(self) -> tuple[Ancestor, ...]:
        """Return the ancestors of the change that follows this one."""
        newest = Ancestor(self.revision, self.envelope.nonce)
        return (newest, *self.envelope.ancestors)[:MAX_ANCESTORS]


NO_CONFIGURATION = StoredConfiguration(ABSENT, "", Envelope(nonce="", author=""))


def digest_part(text: str) -> str:
    """Return the digest that names a part."""
    return xxhash.xxh3_128_hexdigest(text.encode())


def split_document(document: str) -> list[str]:
    """Cut a document into parts at lines that a hash picks."""
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
    """Write a document's parts, if it needs any, and return its envelope."""
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
        store: holds the parts.
        record: of the head key.
        cache: parts by digest; afterwards it holds those of this document.

    Returns:
        None if a part is gone, as when a later revision has replaced it.

    Raises:
        StoreError: if the envelope or a part is malformed.
    """
    try:
        envelope = msgspec.json.decode(record.value, type=Envelope)
    except msgspec.MsgspecError as exc:
        raise StoreError(f"key {record.key} holds no configuration: {exc}") from exc
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
    """Return the parts that only the parent names, as they are now."""
    digests = set(parent.envelope.parts) - set(envelope.parts)
    records = [await store.get(part_key(key, digest)) for digest in sorted(digests)]
    return [record for record in records if record is not None]


async def delete_obsolete(store: Store, records: list[Record]) -> None:
    """Delete parts, except those that another writer has written again since.

    They must have been read before the head that drops them was written: a
    writer that builds on that head writes its parts anew, which changes their
    revision.
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
        raise StoreError(f"a part of the configuration under {key} is gone; try again")
    return stored
