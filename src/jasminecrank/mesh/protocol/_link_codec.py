"""CBOR encoding of the messages between nodes."""

import dataclasses
import functools
import struct
import typing
import zlib

import cbor2

from jasminecrank.mesh import coordination

FRAME_LENGTH = struct.Struct("!I")
MAX_FRAME_BYTES = 80 * 1024 * 1024
"""Larger than the largest body that a table can allow, 64 MiB."""
COMPRESS_MIN_BYTES = 256
"""Minimum size of an entry of the source for compression."""
COMPRESSED_CACHE_SIZE = 8
"""Compressed entries cached, since many nodes request the same ones."""

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
)
_TAG_BY_TYPE = {
    message_type: tag for tag, message_type in enumerate(_MESSAGE_TYPES)
}
_FIELD_NAMES_BY_TYPE = {
    message_type: tuple(
        field.name for field in dataclasses.fields(message_type)
    )
    for message_type in _MESSAGE_TYPES
}

_Items = tuple[tuple[str, int, bytes | None], ...]


class LinkError(Exception):
    """A peer sent a frame that isn't a valid message."""


def encode(message: coordination.PeerMessage) -> bytes:
    """Return the frame of a message, with its length prefix."""
    match message:
        case coordination.ItemsSent(items):
            message = coordination.ItemsSent(_pack_items(items))
        case coordination.ItemPatched(pieces=pieces):
            packed = tuple(
                _pack(piece) if isinstance(piece, bytes) else piece
                for piece in pieces
            )
            message = dataclasses.replace(message, pieces=packed)
        case _:
            pass
    message_type = type(message)
    fields = [
        getattr(message, name) for name in _FIELD_NAMES_BY_TYPE[message_type]
    ]
    body = cbor2.dumps([_TAG_BY_TYPE[message_type], *fields])
    return FRAME_LENGTH.pack(len(body)) + body


def decode(body: bytes) -> coordination.PeerMessage:
    """Return the message of a frame, given without its length prefix."""
    try:
        tag, *fields = cbor2.loads(body)
        message_type = _MESSAGE_TYPES[tag]
        if len(fields) != len(_FIELD_NAMES_BY_TYPE[message_type]):
            raise LinkError(
                f"{message_type.__name__} message has {len(fields)} fields"
            )
        message: coordination.PeerMessage = message_type(
            *(_to_tuples(field) for field in fields)
        )
        match message:
            case coordination.ItemsSent(items):
                return coordination.ItemsSent(_unpack_items(items))
            case coordination.ItemPatched(pieces=pieces):
                unpacked = tuple(
                    _unpack(piece) if isinstance(piece, bytes) else piece
                    for piece in pieces
                )
                return dataclasses.replace(message, pieces=unpacked)
            case _:
                pass
    except LinkError:
        raise
    except Exception as error:
        raise LinkError(f"undecodable frame: {error}") from error
    return message


def _to_tuples(value: typing.Any) -> typing.Any:
    if isinstance(value, list):
        return tuple(_to_tuples(part) for part in value)
    return value


def _pack(value: bytes) -> bytes:
    if len(value) < COMPRESS_MIN_BYTES:
        return b"\0" + value
    return _compress(value)


@functools.lru_cache(maxsize=COMPRESSED_CACHE_SIZE)
def _compress(value: bytes) -> bytes:
    return b"\1" + zlib.compress(value, 1)


def _unpack(value: bytes) -> bytes:
    return zlib.decompress(value[1:]) if value[:1] == b"\1" else value[1:]


def _pack_items(items: _Items) -> _Items:
    return tuple(
        (key, revision, None if value is None else _pack(value))
        for key, revision, value in items
    )


def _unpack_items(items: _Items) -> _Items:
    return tuple(
        (key, revision, None if value is None else _unpack(value))
        for key, revision, value in items
    )
