"""Compact CBOR values of the quota messages.

Tokens travel as whole thousandths, rounded down: rounding may lose tokens
and never makes any.
"""

import math
import typing

from jasminecrank import state

_PER_TOKEN = 1000


def encode_ask(ask: state.LoanRequest) -> list[object]:
    """Return the fields of an ask."""
    return [
        ask.loan_id,
        ask.service,
        round(ask.ttl_s * 1000),
        [[want.team, want.share_ppb, want.limit_crc] for want in ask.shares],
    ]


def decode_ask(fields: list[typing.Any]) -> state.LoanRequest:
    """Return the ask; ValueError or TypeError if there is none."""
    loan_id, service, ttl_ms, wants = fields
    return state.LoanRequest(
        int(loan_id),
        str(service),
        int(ttl_ms) / 1000,
        tuple(
            state.ShareRequest(str(team), int(share_ppb), int(limit_crc))
            for team, share_ppb, limit_crc in wants
        ),
    )


def encode_offer(offer: state.LoanGrant) -> list[object]:
    """Return the fields of an offer."""
    return [
        offer.loan_id,
        [
            [part.share_ppb, math.floor(part.tokens * _PER_TOKEN)]
            for part in offer.shares
        ],
    ]


def decode_offer(fields: list[typing.Any]) -> state.LoanGrant:
    """Return the offer; ValueError or TypeError if there is none."""
    loan_id, parts = fields
    return state.LoanGrant(
        int(loan_id),
        tuple(
            state.ShareGrant(int(share_ppb), int(tokens) / _PER_TOKEN)
            for share_ppb, tokens in parts
        ),
    )


def encode_report(report: state.ShareReport) -> list[object]:
    """Return the fields of a report."""
    version = report.version
    return [
        report.service,
        [version.number, bytes.fromhex(version.digest)],
        sorted(report.acked_slots),
        None if report.effective is None else _encode_base(report.effective),
    ]


def decode_report(fields: list[typing.Any]) -> state.ShareReport:
    """Return the report; ValueError or TypeError if there is none."""
    service, (number, digest), acked, base = fields
    return state.ShareReport(
        str(service),
        state.Version(int(number), bytes(digest).hex()),
        frozenset(int(slot) for slot in acked),
        None if base is None else _decode_base(base),
    )


def _encode_base(base: state.ShareAllocation) -> list[object]:
    return [base.host_count, dict(base.host_by_slot), base.remainder_slot]


def _decode_base(values: list[typing.Any]) -> state.ShareAllocation:
    holders, host_by_slot, rest_slot = values
    return state.ShareAllocation(
        int(holders),
        {int(slot): str(host) for slot, host in dict(host_by_slot).items()},
        None if rest_slot is None else int(rest_slot),
    )
