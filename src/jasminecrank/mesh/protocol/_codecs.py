"""Interfaces of the codecs for HTTP, and the messages they use."""

from dataclasses import dataclass
import enum
import typing

from jasminecrank.mesh import coordination
from jasminecrank.mesh import state


@dataclass(slots=True, frozen=True)
class RawRequest:
    """HTTP request before decoding or after encoding."""

    method: bytes
    target: bytes
    headers: state.Headers
    body: state.Body


@dataclass(slots=True, frozen=True)
class RawResponse:
    """HTTP response before decoding or after encoding."""

    status: int
    reason: bytes
    headers: state.Headers
    body: state.Body


class ResponseOwner(enum.Enum):
    """Which request a response on a connection belongs to."""

    THIS = "this"
    OTHER = "other"
    UNNAMED = "unnamed"
    """It may belong to this request, or repeat an earlier response."""


class CallerCodec(typing.Protocol):
    """Converts between the HTTP messages of callers and calls."""

    def read_request(
        self, raw: RawRequest
    ) -> state.CallRequest | state.Refusal:
        """Return the call in a request, or the reason to refuse it."""

    def write_reply(
        self, reply: state.Reply, request: state.CallRequest | None
    ) -> RawResponse:
        """Return the response to send to the caller."""


class ServerCodec(typing.Protocol):
    """Converts between calls and the HTTP messages of a backend server."""

    def write_request(
        self, call: coordination.CallSent, remaining_s: float
    ) -> RawRequest:
        """Return the request to send to the backend server."""

    def find_owner(
        self, call: coordination.CallSent, raw: RawResponse
    ) -> ResponseOwner:
        """Return whether a response belongs to this call."""

    def is_rejection(self, raw: RawResponse) -> bool:
        """Return whether a response says that its request has not run."""

    def read_response(
        self, raw: RawResponse, run_time_s: float
    ) -> state.AttemptResult:
        """Return the result of a call according to its response."""

    def write_health_check(self, path: str) -> RawRequest:
        """Return the request for a health check."""

    def read_health_response(
        self, raw: RawResponse
    ) -> coordination.Health | None:
        """Return the reported health, or None if the check failed."""
