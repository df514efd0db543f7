"""Call server: request handling, logging and shutdown."""

from dataclasses import dataclass
import threading
import typing

import pykka

from jasminecrank import const
from jasminecrank import coordination
from jasminecrank import exceptions
from jasminecrank import protocol
from jasminecrank import state
from jasminecrank.transport import _call_http
from jasminecrank.transport import _call_runner
from jasminecrank.transport import _caller_watch
from jasminecrank.transport import _forwarder
from jasminecrank.transport import _logs

_DRAIN_NOTICE_S = 0.5
"""Time before a stop in which responses carry Connection: close."""


@dataclass(slots=True, frozen=True)
class CallServerSettings:
    """Listen address of the call server and its backend server."""

    host: str
    address: str
    port: int
    backend_server: _forwarder.Target
    threads: int


@dataclass(slots=True)
class CallApplication:
    """Request handler that runs calls and logs each of them once."""

    runner: _call_runner.CallRunner
    clock: state.Clock

    @classmethod
    def from_settings(
        cls,
        settings: CallServerSettings,
        admission: pykka.ActorRef[coordination.AdmissionActor],
        retries: pykka.ActorRef[coordination.RetryActor],
        clock: state.Clock,
    ) -> typing.Self:
        """Return an application with empty connection pools."""
        runner = _call_runner.CallRunner.from_actors(
            settings.host, settings.backend_server, admission, retries, clock
        )
        return cls(runner, clock)

    def answer(
        self, request: protocol.HttpRequest, caller: _caller_watch.Caller
    ) -> _call_http.HandledRequest:
        """Decode and run a call; refuse a request that can't be decoded."""
        started_s = self.clock.monotonic_s()
        try:
            call = protocol.decode_call(request, started_s)
        except exceptions.JasminecrankError as error:
            return self._refuse(
                error.code, request.method, request.target, started_s
            )
        try:
            record = self.runner.run(call, caller)
        except exceptions.InvariantError:
            coordination.NodeActor.on_crash()
            raise
        return self._handled_request(call.request, record, started_s)

    def refuse_too_large(
        self, method: str, target: str
    ) -> _call_http.HandledRequest:
        """Return and log the refusal of an oversized request."""
        return self._refuse(
            exceptions.ResultCode.BODY_TOO_LARGE,
            method,
            target,
            self.clock.monotonic_s(),
        )

    def _refuse(
        self,
        code: exceptions.ResultCode,
        method: str,
        target: str,
        started_s: float,
    ) -> _call_http.HandledRequest:
        refused = state.Refused(
            code, exceptions.RunState.NOT_RUN, state.NO_VERSION
        )
        path = target.partition("?")[0]
        request = state.CallRequest("", method, path, None, None, None, None)
        return self._handled_request(
            request, _call_runner.refusal_record(refused, ""), started_s
        )

    def _handled_request(
        self,
        request: state.CallRequest,
        record: _call_runner.CallRecord,
        started_s: float,
    ) -> _call_http.HandledRequest:
        duration_s = self.clock.monotonic_s() - started_s

        def log_call() -> None:
            _logs.log_fields(
                "call", _call_log_fields(request, record, duration_s)
            )

        return _call_http.HandledRequest(
            _add_node_headers(request, record), log_call
        )


class CallServer:
    """Runs the HTTP server for calls in a thread of its own."""

    __slots__ = ("_server", "_thread")

    def __init__(
        self, settings: CallServerSettings, application: CallApplication
    ) -> None:
        self._server = _call_http.CallHttpServer(
            settings.address, settings.port, settings.threads, application
        )
        self._thread = threading.Thread(
            target=self._server.serve, name="call-accept", daemon=True
        )

    def start(self) -> int:
        """Start serving and return the bound port."""
        self._server.prepare()
        self._thread.start()
        port: int = self._server.bind_addr[1]
        return port

    def drain(self) -> None:
        """Start closing each connection after its next response."""
        self._server.draining = True

    def stop(self) -> None:
        """Let callers disconnect, then serve received requests and stop."""
        self.drain()
        threading.Event().wait(_DRAIN_NOTICE_S)
        self._server.stop()
        self._thread.join()


def _add_node_headers(
    request: state.CallRequest, record: _call_runner.CallRecord
) -> state.Answer:
    answer = record.answer
    header_names = {name.lower() for name, _ in answer.headers}
    headers = [
        *answer.headers,
        (const.HEADER_REQUEST_ID, request.request_id),
    ]
    # A forwarded answer already has the table version of the other node.
    if const.HEADER_TABLE_VERSION.lower() not in header_names:
        headers.append((const.HEADER_TABLE_VERSION, str(record.version)))
    if "content-length" not in header_names and answer.status not in (
        204,
        304,
    ):
        headers.append(("Content-Length", str(len(answer.body))))
    return state.Answer(answer.status, tuple(headers), answer.body)


def _call_log_fields(
    request: state.CallRequest,
    record: _call_runner.CallRecord,
    duration_s: float,
) -> dict[str, object]:
    fields: dict[str, object] = {
        "request_id": request.request_id,
        "method": request.method,
        "path": request.path,
    }
    if record.route is not None:
        fields["route"] = record.route.route
        fields["kind"] = record.route.kind.value
    fields |= {
        "team": record.team,
        "service": record.service,
        "status": record.answer.status,
        "result": record.result,
    }
    if record.code is not None and record.run_state is not None:
        fields["result_code"] = record.code.value
        fields["run_state"] = record.run_state.value
    if record.to_host:
        fields["to_host"] = record.to_host
    fields |= {
        "attempts": record.attempts,
        "duration_ms": round(duration_s * 1000, 3),
        "table_version": str(record.version),
    }
    return fields
