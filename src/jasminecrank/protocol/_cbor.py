"""CBOR codec of the peer messages."""

from collections.abc import Mapping
import typing
import zlib

import cbor2

from jasminecrank import const
from jasminecrank import coordination
from jasminecrank import exceptions
from jasminecrank import state
from jasminecrank.protocol import _quota_codec

_COMPRESS_ABOVE_BYTES = 1024
_UNCOMPRESSED = b"\x00"
_DEFLATED = b"\x01"
MAX_FRAME_BYTES = 4 * const.MAX_DOCUMENT_BYTES


def encode_envelope(envelope: coordination.Envelope) -> bytes:
    """Encode a message as a frame, compressed if it is large."""
    stamp = envelope.stamp
    payload = cbor2.dumps(
        [
            envelope.sender,
            [stamp.wall_ms, stamp.counter, stamp.host],
            *_encode_message(envelope.message),
        ]
    )
    if len(payload) <= _COMPRESS_ABOVE_BYTES:
        return _UNCOMPRESSED + payload
    return _DEFLATED + zlib.compress(payload, 6)


def decode_envelope(frame: bytes) -> coordination.Envelope:
    """Decode a frame; raise MessageError if it is malformed."""
    try:
        values = cbor2.loads(_inflate(frame))
        sender, stamp, kind, *fields = values
        return coordination.Envelope(
            str(sender), _decode_stamp(stamp), _decode_message(kind, fields)
        )
    except exceptions.MessageError:
        raise
    except Exception as error:
        # Values of any kind can be in a frame, and none may end the actor.
        raise exceptions.MessageError(
            f"frame of {len(frame)} bytes cannot be decoded: {error}"
        ) from None


def _inflate(frame: bytes) -> bytes:
    if frame[:1] == _UNCOMPRESSED:
        return frame[1:]
    if frame[:1] != _DEFLATED:
        raise exceptions.MessageError(f"unknown frame type {frame[:1]!r}")
    decompressor = zlib.decompressobj()
    payload = decompressor.decompress(frame[1:], MAX_FRAME_BYTES)
    if decompressor.unconsumed_tail:
        raise exceptions.MessageError(
            f"decompressed frame exceeds {MAX_FRAME_BYTES} bytes"
        )
    return payload


def _decode_stamp(values: list[typing.Any]) -> state.Stamp:
    wall_ms, counter, host = values
    return state.Stamp(int(wall_ms), int(counter), str(host))


def _encode_message(message: coordination.PeerMessage) -> list[object]:
    match message:
        case coordination.Hello():
            return [
                "hello",
                message.host,
                message.data_centre,
                message.incarnation,
                _encode_version_vector(message.versions),
            ]
        case coordination.Heartbeat():
            return [
                "heartbeat",
                _encode_version_vector(message.versions),
                message.draining,
                message.confirmed_age_s,
            ]
        case coordination.DocumentDelta():
            delta = message.delta
            return [
                "delta",
                delta.name.value,
                _encode_version(delta.base),
                _encode_version(delta.target),
                dict(delta.upserts),
                list(delta.removed),
            ]
        case coordination.DocumentSnapshot():
            document = message.document
            return [
                "snapshot",
                document.name.value,
                _encode_version(document.version),
                dict(document.by_key),
            ]
        case coordination.FetchDocument():
            return ["fetch", message.name.value, _encode_version(message.have)]
        case coordination.VersionsRequest():
            return ["versions?", message.query_id]
        case coordination.VersionsReply():
            return [
                "versions",
                message.query_id,
                _encode_version_vector(message.versions),
            ]
        case coordination.LoanRequestMessage():
            return [
                "loan-request",
                *_quota_codec.encode_loan_request(message.request),
            ]
        case coordination.LoanGrantMessage():
            return [
                "loan-grant",
                *_quota_codec.encode_loan_grant(message.grant),
            ]
        case coordination.ShareReportMessage():
            return [
                "shares",
                *_quota_codec.encode_share_report(message.report),
            ]
        case coordination.Goodbye():
            return ["goodbye", message.reason]
        case _:
            typing.assert_never(message)


def _decode_message(
    kind: object, fields: list[typing.Any]
) -> coordination.PeerMessage:
    match kind, fields:
        case "hello", [host, data_centre, incarnation, versions]:
            return coordination.Hello(
                str(host),
                str(data_centre),
                int(incarnation),
                _decode_version_vector(versions),
            )
        case "heartbeat", [versions, draining, confirmed_age_s]:
            return coordination.Heartbeat(
                _decode_version_vector(versions),
                bool(draining),
                float(confirmed_age_s),
            )
        case "versions?", [query_id]:
            return coordination.VersionsRequest(int(query_id))
        case "versions", [query_id, versions]:
            return coordination.VersionsReply(
                int(query_id), _decode_version_vector(versions)
            )
        case "delta", [name, base, target, upserts, removed]:
            return coordination.DocumentDelta(
                state.Delta(
                    state.DocumentName(name),
                    _decode_version(base),
                    _decode_version(target),
                    _decode_rows(upserts),
                    tuple(str(key) for key in removed),
                )
            )
        case "snapshot", [name, version, rows]:
            return coordination.DocumentSnapshot(
                state.Document(
                    state.DocumentName(name),
                    _decode_version(version),
                    _decode_rows(rows),
                )
            )
        case "fetch", [name, have]:
            return coordination.FetchDocument(
                state.DocumentName(name), _decode_version(have)
            )
        case "loan-request", _:
            return coordination.LoanRequestMessage(
                _quota_codec.decode_loan_request(fields)
            )
        case "loan-grant", _:
            return coordination.LoanGrantMessage(
                _quota_codec.decode_loan_grant(fields)
            )
        case "shares", _:
            return coordination.ShareReportMessage(
                _quota_codec.decode_share_report(fields)
            )
        case "goodbye", [reason]:
            return coordination.Goodbye(str(reason))
        case _:
            raise exceptions.MessageError(
                f"unknown message type {kind!r} with {len(fields)} fields"
            )


def _encode_version(version: state.Version) -> list[object]:
    return [version.number, bytes.fromhex(version.digest)]


def _decode_version(values: list[typing.Any]) -> state.Version:
    number, digest = values
    return state.Version(int(number), bytes(digest).hex())


def _encode_version_vector(versions: state.VersionVector) -> list[object]:
    return [_encode_version(versions.get(name)) for name in state.DocumentName]


def _decode_version_vector(values: list[typing.Any]) -> state.VersionVector:
    table, keys, hosts, outages = (_decode_version(value) for value in values)
    return state.VersionVector(table, keys, hosts, outages)


def _decode_rows(values: Mapping[typing.Any, typing.Any]) -> dict[str, str]:
    return {str(key): str(text) for key, text in dict(values).items()}
