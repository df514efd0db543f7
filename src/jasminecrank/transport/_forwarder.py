"""Clients that pass calls on to backend servers and other nodes."""

from dataclasses import dataclass
import threading
import time

import urllib3
import urllib3.connection

from jasminecrank import const
from jasminecrank import exceptions
from jasminecrank import protocol
from jasminecrank import state


@dataclass(slots=True, frozen=True)
class Target:
    """Where a call is sent."""

    address: str
    port: int


@dataclass(slots=True, frozen=True)
class ForwardedAnswer:
    """The whole answer to a forwarded call."""

    answer: state.Answer


@dataclass(slots=True, frozen=True)
class ForwardFailure:
    """A forwarded call without a usable answer."""

    code: exceptions.ResultCode
    sent: bool


ForwardResult = ForwardedAnswer | ForwardFailure


class ServerClient:
    """Sends calls, with one kept connection for each worker thread."""

    __slots__ = ("_local", "_max_idle_s")

    def __init__(self, max_idle_s: float) -> None:
        self._local = threading.local()
        self._max_idle_s = max_idle_s

    def send(
        self,
        target: Target,
        call: protocol.HttpCall,
        headers: dict[str, str],
        timeout_s: float,
    ) -> ForwardResult:
        """Send a call and read its whole answer."""
        kept = self._connection(target)
        if timeout_s <= 0:
            return ForwardFailure(
                exceptions.ResultCode.DEADLINE_EXCEEDED, False
            )
        kept.timeout = timeout_s
        try:
            if kept.sock is None:
                kept.connect()
            else:
                kept.sock.settimeout(timeout_s)
        except (OSError, urllib3.exceptions.HTTPError):
            kept.close()
            return ForwardFailure(
                exceptions.ResultCode.BACKEND_UNREACHABLE, False
            )
        return self._exchange(kept, call, headers)

    def _exchange(
        self,
        kept: urllib3.connection.HTTPConnection,
        call: protocol.HttpCall,
        headers: dict[str, str],
    ) -> ForwardResult:
        try:
            kept.request(
                call.request.method,
                call.target,
                body=call.body,
                headers=headers,
                preload_content=False,
            )
            response = kept.getresponse()
            body = response.read(const.MAX_BODY_BYTES + 1)
            if len(body) > const.MAX_BODY_BYTES:
                kept.close()
                return ForwardFailure(
                    exceptions.ResultCode.ANSWER_TOO_LARGE, True
                )
            response.read()
        except TimeoutError:
            kept.close()
            return ForwardFailure(exceptions.ResultCode.BACKEND_TIMEOUT, True)
        except (OSError, urllib3.exceptions.HTTPError) as error:
            kept.close()
            if isinstance(error, urllib3.exceptions.TimeoutError):
                return ForwardFailure(
                    exceptions.ResultCode.BACKEND_TIMEOUT, True
                )
            return ForwardFailure(exceptions.ResultCode.ANSWER_CUT, True)
        self._local.used_at_s = time.monotonic()
        headers_seen = tuple(response.headers.items())
        echoed = response.headers.get(const.HEADER_REQUEST_ID)
        if echoed is not None and echoed != call.request.request_id:
            kept.close()
            return ForwardFailure(exceptions.ResultCode.ANSWER_CROSSED, True)
        return ForwardedAnswer(
            state.Answer(
                response.status, protocol.answer_headers(headers_seen), body
            )
        )

    def _connection(self, target: Target) -> urllib3.connection.HTTPConnection:
        kept: urllib3.connection.HTTPConnection | None = getattr(
            self._local, "kept", None
        )
        if kept is not None and (kept.host, kept.port) == (
            target.address,
            target.port,
        ):
            idle_s = time.monotonic() - self._local.used_at_s
            # A server may close an idle connection while a request is sent
            # on it, which leaves a booking with an unknown outcome.
            if idle_s > self._max_idle_s or not kept.is_connected:
                kept.close()
            return kept
        if kept is not None:
            kept.close()
        kept = urllib3.connection.HTTPConnection(target.address, target.port)
        self._local.kept = kept
        self._local.used_at_s = time.monotonic()
        return kept
