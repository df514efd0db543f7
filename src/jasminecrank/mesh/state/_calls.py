"""A call, the evidence about it and what is answered to its caller."""

from dataclasses import dataclass
import enum

Headers = tuple[tuple[bytes, bytes], ...]


class RouteKind(enum.Enum):
    """What a repeat of a request does."""

    IDEMPOTENT = "idempotent"
    AT_MOST_ONCE = "at-most-once"


@dataclass(slots=True, frozen=True)
class CallRequest:
    """A whole request as its caller sent it."""

    request_id: str
    method: bytes
    target: bytes
    host: str
    path: str
    headers: Headers
    body: bytes
    key: str | None
    caller_timeout_s: float | None
    """How long the caller waits; None if it did not say."""


@dataclass(slots=True, frozen=True)
class Response:
    """A whole answer of a backend server."""

    status: int
    reason: bytes
    headers: Headers
    body: bytes


@dataclass(slots=True, frozen=True)
class Served:
    """A backend server ran the call and answered."""

    response: Response
    run_time_s: float


@dataclass(slots=True, frozen=True)
class NotRun:
    """The call has not run and never will, as far as this attempt goes."""

    reason: str
    retry_after_s: float = 0.0
    reached_server: bool = False
    """Whether a backend server saw the request and rejected it."""


@dataclass(slots=True, frozen=True)
class MayHaveRun:
    """The request was sent and its outcome is unknown."""

    reason: str


AttemptResult = Served | NotRun | MayHaveRun


class RefusalKind(enum.Enum):
    """Why a node answers a call itself."""

    NO_TABLE = "no-table"
    NO_ROUTE = "no-route"
    KEY_UNKNOWN = "key-unknown"
    OVER_QUOTA = "over-quota"
    NO_SERVER = "no-server"
    OVERLOADED = "overloaded"
    EXPIRED = "expired"
    MAY_HAVE_RUN = "may-have-run"
    TIMED_OUT = "timed-out"
    REQUEST_INVALID = "request-invalid"
    TOO_LARGE = "too-large"


@dataclass(slots=True, frozen=True)
class Refusal:
    """An answer of the node's own."""

    kind: RefusalKind
    detail: str = ""
    retry_after_s: float = 0.0


Reply = Response | Refusal
