"""Quota messages between the nodes of one service."""

from dataclasses import dataclass

from jasminecrank.state import _shares


@dataclass(slots=True, frozen=True)
class ShareRequest:
    """Total share of one team that a borrower requests from one lender.

    The checksum covers rate and burst. While nodes use different table
    versions, it prevents tokens generated under one limit from being used
    under another.
    """

    team: str
    share_ppb: int
    limit_crc: int


@dataclass(slots=True, frozen=True)
class LoanRequest:
    """Request shares from a lender for `ttl_s` from now."""

    loan_id: int
    service: str
    ttl_s: float
    shares: tuple[ShareRequest, ...]


@dataclass(slots=True, frozen=True)
class ShareGrant:
    """Share of one team that is lent, and the tokens lent with it."""

    share_ppb: int
    tokens: float


@dataclass(slots=True, frozen=True)
class LoanGrant:
    """Reply to a loan request, with its shares in the same order.

    The borrower knows the team and expiry of each share from its request.
    """

    loan_id: int
    shares: tuple[ShareGrant, ...]


QuotaMessage = LoanRequest | LoanGrant | _shares.ShareReport


@dataclass(slots=True, frozen=True)
class OutgoingMessage:
    """Message addressed to the quota state of a peer."""

    host: str
    message: QuotaMessage
