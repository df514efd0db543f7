"""What the quota states of the nodes of one service tell each other."""

from dataclasses import dataclass

from jasminecrank.state import _shares


@dataclass(slots=True, frozen=True)
class ShareRequest:
    """The whole share of one team that a borrower wants from one lender.

    The checksum of rate and burst keeps tokens that were minted under
    another limit from moving while table versions differ.
    """

    team: str
    share_ppb: int
    limit_crc: int


@dataclass(slots=True, frozen=True)
class LoanRequest:
    """Ask a lender for shares, for ttl_s from now."""

    loan_id: int
    service: str
    ttl_s: float
    shares: tuple[ShareRequest, ...]


@dataclass(slots=True, frozen=True)
class ShareGrant:
    """The share of one team now on loan, and tokens that move with it."""

    share_ppb: int
    tokens: float


@dataclass(slots=True, frozen=True)
class LoanGrant:
    """Answer an ask, part by part in the order of its wants.

    The borrower knows the team and the end of each loan from its ask.
    """

    loan_id: int
    shares: tuple[ShareGrant, ...]


QuotaMessage = LoanRequest | LoanGrant | _shares.ShareReport


@dataclass(slots=True, frozen=True)
class OutgoingMessage:
    """A message for the quota state of a peer."""

    host: str
    message: QuotaMessage
