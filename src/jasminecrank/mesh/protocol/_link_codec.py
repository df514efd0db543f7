"""CBOR encoding of the messages between nodes."""

import dataclasses
import functools
import struct
import types
import typing
import zlib

import cbor2
import msgspec

from jasminecrank.mesh import coordination
from jasminecrank.mesh import state

FRAME_LENGTH = struct.Struct("!I")
MAX_BODY_BYTES = 80 * 1024 * 1024
"""Larger than the largest body that a table can allow, 64 MiB."""
MAX_FRAME_BYTES = 20 * 1024 * 1024
"""Larger than the largest table; large bodies are sent in parts."""
LARGE_FRAME_BYTES = 256 * 1024
"""Size above which the items of a frame are counted before it is decoded."""
MAX_FRAME_ITEMS = 200_000
"""Each item takes up to a hundred bytes once it is decoded."""
COMPRESS_MIN_BYTES = 256
"""Minimum size of a message with entries of the source for compression."""
ENCODED_CACHE_SIZE = 8
"""Encoded messages cached, since many nodes get the same entries."""
_COMPRESSED_FIRST_BYTE = 0x78
"""First byte of zlib data; that of an uncompressed frame is a CBOR array."""

_REVISION_DIGEST = "revision_digest"
"""Field that is sent in place of `digest` with positions without an era."""

_STRING_TYPES = (2, 3)
"""Major types of CBOR items whose value is the number of bytes after them."""

# The order of the types, and of the fields in each, is the wire format.
_MESSAGE_TYPES: tuple[type[coordination.PeerMessage], ...] = (
    coordination.Hello,
    coordination.CallSent,
    coordination.CallCancelled,
    coordination.CallServed,
    coordination.CallNotRun,
    coordination.CallMayHaveRun,
    coordination.LoadReported,
    coordination.Presence,
    coordination.TokensRequested,
    coordination.TokensGranted,
    coordination.ItemsSent,
    coordination.ItemPatched,
    coordination.ItemsAnnounced,
    coordination.ItemsRequested,
    coordination.ListingRequested,
    coordination.UploadConfirmed,
    coordination.UploadDeferred,
    coordination.BodyFollows,
    coordination.BodyPart,
    coordination.BodyAbandoned,
    coordination.HostsRemoved,
    coordination.LinkEnding,
    coordination.EraBegun,
    coordination.LatenessReported,
    coordination.LoadChanged,
)
_TAG_BY_TYPE = {
    message_type: tag for tag, message_type in enumerate(_MESSAGE_TYPES)
}
_TYPE_BY_TAG = {
    tag: message_type for message_type, tag in _TAG_BY_TYPE.items()
}
_FIELD_NAMES_BY_TYPE = {
    message_type: tuple(
        field.name
        for field in dataclasses.fields(message_type)
        if field.name != _REVISION_DIGEST
    )
    for message_type in _MESSAGE_TYPES
}
_ENTRY_TYPES = (
    coordination.LoadReported,
    coordination.ItemsSent,
    coordination.ItemPatched,
    coordination.ItemsAnnounced,
    coordination.ItemsRequested,
)
"""Messages with positions; a revision in each case for older nodes."""


def _field_types(
    message_type: type, position_type: object
) -> types.GenericAlias:
    """Return the type of the tuple of a message's fields."""
    hints = typing.get_type_hints(message_type)
    if hints.get("body") == state.Body:
        hints["body"] = bytes
    return types.GenericAlias(
        tuple,
        tuple(
            _with_positions_as(hints[name], position_type)
            for name in _FIELD_NAMES_BY_TYPE[message_type]
        ),
    )


def _with_positions_as(hint: typing.Any, position_type: object) -> typing.Any:
    """Return a type with another one in place of positions."""
    if hint is state.Position:
        return position_type
    if typing.get_origin(hint) is not tuple:
        return hint
    parts = tuple(
        _with_positions_as(part, position_type)
        for part in typing.get_args(hint)
    )
    return types.GenericAlias(tuple, parts)


_FIELD_TYPES_BY_TYPE = {
    message_type: _field_types(message_type, tuple[int, ...])
    for message_type in _MESSAGE_TYPES
}
_HINT_BY_NAME_BY_TYPE = {
    message_type: typing.get_type_hints(message_type)
    for message_type in _ENTRY_TYPES
}
_REVISION_FIELD_TYPES_BY_TYPE = {
    message_type: _field_types(message_type, int)
    for message_type in _ENTRY_TYPES
}


class LinkError(Exception):
    """A peer sent a frame that isn't a valid message."""


def encode(
    message: coordination.PeerMessage,
    protocol_version: int = coordination.PROTOCOL_VERSION,
) -> bytes:
    """Return the frame of a message, with its length prefix.

    `protocol_version` is that of the receiver.
    """
    has_eras = protocol_version >= coordination.FIRST_VERSION_WITH_ERAS
    match message:
        case coordination.LoadReported() | coordination.LoadChanged():
            return _encode_report(message, has_eras)
        case (
            coordination.ItemsSent()
            | coordination.ItemPatched()
            | coordination.ItemsAnnounced()
        ):
            return _encode_entries(message, has_eras)
        case _:
            return _frame(encode_unframed(message, has_eras))


@functools.lru_cache(maxsize=ENCODED_CACHE_SIZE)
def _encode_report(
    message: coordination.LoadReported | coordination.LoadChanged,
    has_eras: bool,
) -> bytes:
    """Return the frame of a load report, which goes to all peers alike."""
    return _frame(encode_unframed(message, has_eras))


@functools.lru_cache(maxsize=ENCODED_CACHE_SIZE)
def _encode_entries(
    message: (
        coordination.ItemsSent
        | coordination.ItemPatched
        | coordination.ItemsAnnounced
    ),
    has_eras: bool,
) -> bytes:
    """Return the frame of a message, compressed as a whole if it is large.

    Entries resemble each other more than the parts of one entry do.
    """
    body = encode_unframed(message, has_eras)
    if len(body) >= COMPRESS_MIN_BYTES:
        body = zlib.compress(body, 1)
    return _frame(body)


def encode_unframed(
    message: coordination.PeerMessage, has_eras: bool = True
) -> bytes:
    """Return an uncompressed message without its length prefix."""
    message_type = type(message)
    names = _FIELD_NAMES_BY_TYPE[message_type]
    if isinstance(message, coordination.CallSent) and not message.is_repeat:
        # The mark is the last field, and left out if it is false.
        names = names[:-1]
    if isinstance(message, coordination.LoadReported) and (
        not has_eras or message.position.era == state.UNKNOWN_ERA
    ):
        names = tuple(
            _REVISION_DIGEST if name == "digest" else name for name in names
        )
    fields = [getattr(message, name) for name in names]
    if isinstance(message, coordination.LoadReported) and has_eras:
        # The encoder takes several times as long if it has to ask for each.
        fields = [
            _position_parts(field)
            if isinstance(field, state.Position)
            else field
            for field in fields
        ]
    return cbor2.dumps(
        [_TAG_BY_TYPE[message_type], *fields],
        default=_encode_position if has_eras else _encode_revision,
    )


def _encode_position(
    encoder: cbor2.CBOREncoder, position: state.Position
) -> None:
    encoder.encode(_position_parts(position))


def _position_parts(position: state.Position) -> list[int]:
    """Return a position, without the retained part in the usual case."""
    parts = [position.era, position.revision]
    if position.has_retained_part:
        parts += [position.retained_era, position.retained_revision]
    return parts


def _encode_revision(
    encoder: cbor2.CBOREncoder, position: state.Position
) -> None:
    encoder.encode(position.revision)


def _frame(body: bytes) -> bytes:
    return FRAME_LENGTH.pack(len(body)) + body


def decode(
    body: bytes, protocol_version: int = coordination.PROTOCOL_VERSION
) -> coordination.PeerMessage:
    """Return the message of a frame, given without its length prefix.

    `protocol_version` is that of the sender.
    """
    has_eras = protocol_version >= coordination.FIRST_VERSION_WITH_ERAS
    try:
        if body[0] == _COMPRESSED_FIRST_BYTE:
            body = _decompress(body)
        if len(body) > LARGE_FRAME_BYTES:
            _limit_items(body)
        tag, *fields = cbor2.loads(body)
        message_type = _TYPE_BY_TAG[tag]
        if (
            message_type is coordination.CallSent
            and len(fields) == len(_FIELD_NAMES_BY_TYPE[message_type]) - 1
        ):
            fields.append(False)
        field_types = _FIELD_TYPES_BY_TYPE[message_type]
        if not has_eras and message_type in _REVISION_FIELD_TYPES_BY_TYPE:
            field_types = _REVISION_FIELD_TYPES_BY_TYPE[message_type]
        values = msgspec.convert(fields, field_types, builtin_types=(bytes,))
        return _build(message_type, values)
    except LinkError:
        raise
    except Exception as error:
        raise LinkError(f"undecodable frame: {error}") from error


def _build(
    message_type: type[coordination.PeerMessage],
    values: tuple[typing.Any, ...],
) -> coordination.PeerMessage:
    """Return a message of decoded fields."""
    names = _FIELD_NAMES_BY_TYPE[message_type]
    if message_type not in _REVISION_FIELD_TYPES_BY_TYPE:
        return message_type(*values)
    hint_by_name = _HINT_BY_NAME_BY_TYPE[message_type]
    value_by_name = {
        name: _read_positions(value, hint_by_name[name])
        for name, value in zip(names, values, strict=True)
    }
    if (
        message_type is coordination.LoadReported
        and value_by_name["position"].era == state.UNKNOWN_ERA
    ):
        value_by_name[_REVISION_DIGEST] = value_by_name["digest"]
    message: coordination.PeerMessage = message_type(**value_by_name)
    return message


def _read_positions(value: typing.Any, hint: typing.Any) -> typing.Any:
    """Return a decoded value with its positions, where its type has any."""
    if hint is state.Position:
        if isinstance(value, int):
            return state.Position.from_parts((state.UNKNOWN_ERA, value))
        return state.Position.from_parts(value)
    if typing.get_origin(hint) is not tuple:
        return value
    parts = typing.get_args(hint)
    if parts[-1] is Ellipsis:
        return tuple(_read_positions(part, parts[0]) for part in value)
    return tuple(
        _read_positions(part, part_hint)
        for part, part_hint in zip(value, parts, strict=True)
    )


def _decompress(body: bytes) -> bytes:
    decompressor = zlib.decompressobj()
    data = decompressor.decompress(body, MAX_FRAME_BYTES)
    if not decompressor.eof:
        raise LinkError(f"a frame holds more than {MAX_FRAME_BYTES} bytes")
    return data


def _limit_items(body: bytes) -> None:
    """Raise LinkError if a frame holds more items than any message does."""
    position = 0
    for _ in range(MAX_FRAME_ITEMS):
        if position >= len(body):
            return
        major_type, size_code = divmod(body[position], 32)
        position += 1
        value = size_code
        if size_code >= 24:
            if size_code > 27:
                raise LinkError("a frame has an item of indefinite length")
            value_bytes = 1 << (size_code - 24)
            value = int.from_bytes(body[position : position + value_bytes])
            position += value_bytes
        if major_type in _STRING_TYPES:
            position += value
    raise LinkError(f"a frame holds more than {MAX_FRAME_ITEMS} items")
