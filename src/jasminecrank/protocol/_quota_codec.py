"""Codec of the compact CBOR values in quota messages.

Tokens are encoded as whole thousandths, rounded down, so that rounding can
lose tokens but never create any.
"""

import math
import typing

from jasminecrank import state

_MILLITOKENS_PER_TOKEN = 1000


def encode_loan_request(request: state.LoanRequest) -> list[object]:
    """Encode a loan request as message fields."""
    return [
        request.loan_id,
        request.service,
        round(request.ttl_s * 1000),
        [
            [share.team, share.share_ppb, share.limit_crc]
            for share in request.shares
        ],
    ]


def decode_loan_request(fields: list[typing.Any]) -> state.LoanRequest:
    """Decode a loan request; raise ValueError or TypeError if invalid."""
    loan_id, service, ttl_ms, shares = fields
    return state.LoanRequest(
        int(loan_id),
        str(service),
        int(ttl_ms) / 1000,
        tuple(
            state.ShareRequest(str(team), int(share_ppb), int(limit_crc))
            for team, share_ppb, limit_crc in shares
        ),
    )


def encode_loan_grant(grant: state.LoanGrant) -> list[object]:
    """Encode a loan grant as message fields."""
    return [
        grant.loan_id,
        [
            [
                share.share_ppb,
                math.floor(share.tokens * _MILLITOKENS_PER_TOKEN),
            ]
            for share in grant.shares
        ],
    ]


def decode_loan_grant(fields: list[typing.Any]) -> state.LoanGrant:
    """Decode a loan grant; raise ValueError or TypeError if invalid."""
    loan_id, shares = fields
    return state.LoanGrant(
        int(loan_id),
        tuple(
            state.ShareGrant(
                int(share_ppb), int(tokens) / _MILLITOKENS_PER_TOKEN
            )
            for share_ppb, tokens in shares
        ),
    )


def encode_share_report(report: state.ShareReport) -> list[object]:
    """Encode a share report as message fields."""
    version = report.version
    return [
        report.service,
        [version.number, bytes.fromhex(version.digest)],
        sorted(report.acked_slots),
        None
        if report.effective is None
        else _encode_allocation(report.effective),
    ]


def decode_share_report(fields: list[typing.Any]) -> state.ShareReport:
    """Decode a share report; raise ValueError or TypeError if invalid."""
    service, (number, digest), acked_slots, allocation = fields
    return state.ShareReport(
        str(service),
        state.Version(int(number), bytes(digest).hex()),
        frozenset(int(slot) for slot in acked_slots),
        None if allocation is None else _decode_allocation(allocation),
    )


def _encode_allocation(allocation: state.ShareAllocation) -> list[object]:
    return [
        allocation.host_count,
        dict(allocation.host_by_slot),
        allocation.remainder_slot,
    ]


def _decode_allocation(values: list[typing.Any]) -> state.ShareAllocation:
    host_count, host_by_slot, remainder_slot = values
    return state.ShareAllocation(
        int(host_count),
        {int(slot): str(host) for slot, host in dict(host_by_slot).items()},
        None if remainder_slot is None else int(remainder_slot),
    )
