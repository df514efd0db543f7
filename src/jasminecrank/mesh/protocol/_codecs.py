"""What a front end's codec has to translate."""

from dataclasses import dataclass
import typing

from jasminecrank.mesh import coordination
from jasminecrank.mesh import state


@dataclass(slots=True, frozen=True)
class RawRequest:
    """An HTTP request as it was framed."""

    method: bytes
    target: bytes
    headers: state.Headers
    body: bytes


@dataclass(slots=True, frozen=True)
class RawResponse:
    """An HTTP answer as it was framed."""

    status: int
    reason: bytes
    headers: state.Headers
    body: bytes


class CallerCodec(typing.Protocol):
    """Translates between callers' HTTP and calls."""

    def read_request(
        self, raw: RawRequest
    ) -> state.CallRequest | state.Refusal:
        """Return the call that a request asks for."""

    def write_reply(
        self, reply: state.Reply, request: state.CallRequest | None
    ) -> RawResponse:
        """Return the answer that a caller gets."""


class ServerCodec(typing.Protocol):
    """Translates between calls and a backend server's HTTP."""

    def write_request(
        self, call: coordination.CallSent, remaining_s: float
    ) -> RawRequest:
        """Return the request that the backend server gets."""

    def matches_call(
        self, call: coordination.CallSent, raw: RawResponse
    ) -> bool:
        """Return whether an answer is the one to this call."""

    def read_response(
        self, raw: RawResponse, run_time_s: float
    ) -> state.AttemptResult:
        """Return what an answer says of the call."""

    def write_health_check(self, path: str) -> RawRequest:
        """Return a health check."""

    def read_health_response(
        self, raw: RawResponse
    ) -> coordination.Health | None:
        """Return a good health answer, or None."""
