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
    coordination.LatenessReported,
)
_TAG_BY_TYPE = {
    message_type: tag for tag, message_type in enumerate(_MESSAGE_TYPES)
}
_TYPE_BY_TAG = {
    tag: message_type for message_type, tag in _TAG_BY_TYPE.items()
}
_FIELD_NAMES_BY_TYPE = {
    message_type: tuple(
        field.name for field in dataclasses.fields(message_type)
    )
    for message_type in _MESSAGE_TYPES
}


def _field_types(message_type: type) -> types.GenericAlias:
    """Return the type of the tuple of a message's fields."""
    hints = typing.get_type_hints(message_type)
    if hints.get("body") == state.Body:
        hints["body"] = bytes
    names = (field.name for field in dataclasses.fields(message_type))
    return types.GenericAlias(tuple, tuple(hints[name] for name in names))


_FIELD_TYPES_BY_TYPE = {
    message_type: _field_types(message_type) for message_type in _MESSAGE_TYPES
}


class LinkError(Exception):
    """A peer sent a frame that isn't a valid message."""


def encode(message: coordination.PeerMessage) -> bytes:
    """Return the frame of a message, with its length prefix."""
    match message:
        case coordination.LoadReported():
            return _encode_report(message)
        case (
            coordination.ItemsSent()
            | coordination.ItemPatched()
            | coordination.ItemsAnnounced()
        ):
            return _encode_entries(message)
        case _:
            return _frame(encode_unframed(message))


@functools.lru_cache(maxsize=ENCODED_CACHE_SIZE)
def _encode_report(message: coordination.LoadReported) -> bytes:
    """Return the frame of a load report, which goes to all peers alike."""
    return _frame(encode_unframed(message))


@functools.lru_cache(maxsize=ENCODED_CACHE_SIZE)
def _encode_entries(
    message: (
        coordination.ItemsSent
        | coordination.ItemPatched
        | coordination.ItemsAnnounced
    ),
) -> bytes:
    """Return the frame of a message, compressed as a whole if it is large.

    Entries resemble each other more than the parts of one entry do.
    """
    body = encode_unframed(message)
    if len(body) >= COMPRESS_MIN_BYTES:
        body = zlib.compress(body, 1)
    return _frame(body)


def encode_unframed(message: coordination.PeerMessage) -> bytes:
    """Return an uncompressed message without its length prefix."""
    message_type = type(message)
    fields = [
        getattr(message, name) for name in _FIELD_NAMES_BY_TYPE[message_type]
    ]
    return cbor2.dumps([_TAG_BY_TYPE[message_type], *fields])


def _frame(body: bytes) -> bytes:
    return FRAME_LENGTH.pack(len(body)) + body


def decode(body: bytes) -> coordination.PeerMessage:
    """Return the message of a frame, given without its length prefix."""
    try:
        if body[0] == _COMPRESSED_FIRST_BYTE:
            body = _decompress(body)
        if len(body) > LARGE_FRAME_BYTES:
            _limit_items(body)
        tag, *fields = cbor2.loads(body)
        message_type = _TYPE_BY_TAG[tag]
        message: coordination.PeerMessage = message_type(
            *msgspec.convert(
                fields,
                _FIELD_TYPES_BY_TYPE[message_type],
                builtin_types=(bytes,),
            )
        )
        return message
    except LinkError:
        raise
    except Exception as error:
        raise LinkError(f"undecodable frame: {error}") from error


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
