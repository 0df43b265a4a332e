"""Packs messages into frames for links, and unpacks them.

Messages of the request path are Cap'n Proto structs. All others are sent as a
``Control`` struct, with their class name and their fields in msgpack. msgspec checks
the types of the fields when it unpacks them.
"""

import functools
import os.path
import struct
import typing
from collections.abc import Sequence

import msgspec

from wasabipitch import messages
from wasabipitch.decoding import decode_msgpack
from wasabipitch.exceptions import LinkError
from wasabipitch.messages import Cancel, Execute, Failure, Kind, Message, Result, Rows
from wasabipitch.models import Column, Position
from wasabipitch.verdict import Verdict

FRAME_HEADER = struct.Struct("<I")
MAX_FRAME_BYTES = 64 * 1024 * 1024

_SCHEMA_PATH = os.path.join(os.path.dirname(__file__), "protocol.capnp")
_CONTROL_TYPES = {t.__name__: t for t in typing.get_args(messages.ControlMessage)}
_TRAVERSAL_LIMIT_WORDS = MAX_FRAME_BYTES // 8

Row = Sequence[bytes | None]


class Envelope(msgspec.Struct, frozen=True):
    """A message with the fields that its link needs.

    Args:
        number: The request's number on its link, which replies repeat.
        clock: The time of the sender's hybrid logical clock.
        message: The message.
        more: Whether further frames of the same reply follow.
    """

    number: int
    clock: int
    message: Message
    more: bool = False


@functools.cache
def _load_schema():
    """Return the envelope's schema and the error that its library raises.

    Cap'n Proto is imported with the first frame. A host that restarts serves its
    first callers without a link.
    """
    import capnp

    return capnp.load(_SCHEMA_PATH).Envelope, capnp.KjException


def pack_rows(rows: Sequence[Row]) -> bytes:
    """Pack a block of rows.

    Each value is in its MySQL text form; None is NULL.
    """
    return msgspec.msgpack.encode(rows)


def unpack_rows(data: bytes) -> list[list[bytes | None]]:
    """Unpack a block of rows; empty data has no rows."""
    if not data:
        return []
    return _rows_decoder.decode(data)


_rows_decoder = msgspec.msgpack.Decoder(list[list[bytes | None]])


def pack(envelope: Envelope) -> bytes:
    """Return the envelope as one frame that begins with its length."""
    schema, _ = _load_schema()
    frame = schema.new_message()
    frame.number = envelope.number
    frame.clock = envelope.clock
    frame.more = envelope.more
    message = envelope.message
    packer = _PACKERS.get(type(message), _pack_control)
    packer(frame, message)
    data = frame.to_bytes()
    return FRAME_HEADER.pack(len(data)) + data


def unpack(data: bytes) -> Envelope:
    """Return the envelope in a frame.

    Args:
        data: The frame without its length.

    Raises:
        LinkError: If the frame is malformed or of an unknown type.
    """
    schema, schema_error = _load_schema()
    try:
        with schema.from_bytes(
            data, traversal_limit_in_words=_TRAVERSAL_LIMIT_WORDS
        ) as frame:
            unpacker = _UNPACKERS[str(frame.which())]
            message = unpacker(frame)
            return Envelope(frame.number, frame.clock, message, frame.more)
    except (schema_error, msgspec.MsgspecError, KeyError, ValueError) as exc:
        raise LinkError(f"malformed frame of {len(data)} bytes: {exc}") from exc


def _pack_position(target, position: Position) -> None:
    target.term = position.term
    target.index = position.index


def _pack_execute(frame, message: Execute) -> None:
    body = frame.init("execute")
    body.group = message.group
    body.session = message.session
    body.statement = message.statement
    body.kind = int(message.kind)
    body.requestClass = message.request_class
    body.requestId = message.request_id
    body.deadlineMs = max(0, message.deadline_ms)
    if message.floor is not None:
        body.hasFloor = True
        _pack_position(body.floor, message.floor)
    body.inTransaction = message.in_transaction
    body.inDoubt = message.in_doubt


def _unpack_execute(frame) -> Execute:
    body = frame.execute
    floor = Position(body.floor.term, body.floor.index) if body.hasFloor else None
    return Execute(
        group=body.group,
        session=body.session,
        statement=body.statement,
        kind=Kind(body.kind),
        request_class=body.requestClass,
        request_id=body.requestId,
        deadline_ms=body.deadlineMs,
        floor=floor,
        in_transaction=body.inTransaction,
        in_doubt=body.inDoubt,
    )


def _pack_result(frame, message: Result) -> None:
    body = frame.init("result")
    if message.columns:
        columns = body.init("columns", len(message.columns))
        for packed, column in zip(columns, message.columns, strict=True):
            packed.name = column.name
            packed.typeCode = column.type_code
            packed.charset = column.charset
    body.rows = message.rows
    body.affectedRows = message.affected_rows
    body.lastInsertId = message.last_insert_id
    body.inTransaction = message.in_transaction
    _pack_position(body.position, message.position)
    body.target = message.target
    body.repeated = message.repeated


def _unpack_result(frame) -> Result:
    body = frame.result
    columns = tuple(Column(c.name, c.typeCode, c.charset) for c in body.columns)
    return Result(
        columns=columns,
        rows=bytes(body.rows),
        affected_rows=body.affectedRows,
        last_insert_id=body.lastInsertId,
        in_transaction=body.inTransaction,
        position=Position(body.position.term, body.position.index),
        target=body.target,
        repeated=body.repeated,
    )


def _pack_rows_frame(frame, message: Rows) -> None:
    frame.rows = message.rows


def _unpack_rows_frame(frame) -> Rows:
    return Rows(bytes(frame.rows))


def _pack_failure(frame, message: Failure) -> None:
    body = frame.init("failure")
    body.verdict = int(message.verdict)
    body.code = message.code
    body.sqlstate = message.sqlstate
    body.message = message.message
    body.inTransaction = message.in_transaction


def _unpack_failure(frame) -> Failure:
    body = frame.failure
    return Failure(
        verdict=Verdict(body.verdict),
        code=body.code,
        sqlstate=body.sqlstate,
        message=body.message,
        in_transaction=body.inTransaction,
    )


def _pack_cancel(frame, message: Cancel) -> None:
    frame.cancel = None


def _unpack_cancel(frame) -> Cancel:
    return Cancel()


def _pack_control(frame, message: Message) -> None:
    body = frame.init("control")
    body.type = type(message).__name__
    body.body = msgspec.msgpack.encode(message)


def _unpack_control(frame) -> Message:
    body = frame.control
    return decode_msgpack(bytes(body.body), _CONTROL_TYPES[body.type])


_PACKERS = {
    Execute: _pack_execute,
    Result: _pack_result,
    Rows: _pack_rows_frame,
    Failure: _pack_failure,
    Cancel: _pack_cancel,
}
_UNPACKERS = {
    "execute": _unpack_execute,
    "result": _unpack_result,
    "rows": _unpack_rows_frame,
    "failure": _unpack_failure,
    "cancel": _unpack_cancel,
    "control": _unpack_control,
}
