"""HTTP server for calls."""

from collections.abc import Callable
from collections.abc import Iterable
from dataclasses import dataclass
import http
import threading
import typing

from cheroot import wsgi
import pykka

from jasminecrank import const
from jasminecrank import coordination
from jasminecrank import exceptions
from jasminecrank import protocol
from jasminecrank import state
from jasminecrank.transport import _forwarder
from jasminecrank.transport import _logs

_DECISION_MARGIN_S = 1.0
_KEEP_ALIVE_S = 30
_SHUTDOWN_S = 30
_ACCEPT_BACKLOG = 256

StartResponse = Callable[[str, list[tuple[str, str]]], object]
Environ = dict[str, typing.Any]


@dataclass(slots=True, frozen=True)
class CallServerSettings:
    """Where calls come in and where the backend server is."""

    host: str
    address: str
    port: int
    server: _forwarder.Target
    threads: int


@dataclass(slots=True, frozen=True)
class _Result:
    answer: state.Answer
    version: state.Version
    fields: dict[str, object]


class CallApplication:
    """Answers calls by the decisions of the admission actor."""

    __slots__ = ("_admission", "_clock", "_server_client", "_settings")

    def __init__(
        self,
        settings: CallServerSettings,
        admission: pykka.ActorRef[coordination.AdmissionActor],
        clock: state.Clock,
    ) -> None:
        self._settings = settings
        self._admission = admission
        self._clock = clock
        self._server_client = _forwarder.ServerClient(max_idle_s=4.0)

    def __call__(
        self, environ: Environ, start_response: StartResponse
    ) -> Iterable[bytes]:
        """Answer one HTTP request."""
        started_s = self._clock.monotonic_s()
        try:
            call = self._decode(environ, started_s)
        except exceptions.JasminecrankError as error:
            refused = state.Refused(
                error.code, exceptions.RunState.NOT_RUN, state.NO_VERSION
            )
            answer = protocol.encode_refusal(refused, "")
            return _respond(answer, "", state.NO_VERSION, start_response)
        result = self._answer(call)
        request_id = call.request.request_id
        self._log(call, result, self._clock.monotonic_s() - started_s)
        return _respond(
            result.answer, request_id, result.version, start_response
        )

    def _decode(self, environ: Environ, now_s: float) -> protocol.HttpCall:
        length = int(environ.get("CONTENT_LENGTH") or 0)
        if length > const.MAX_BODY_BYTES:
            raise exceptions.JasminecrankError(
                f"body of {length} bytes; at most {const.MAX_BODY_BYTES}",
                exceptions.ResultCode.BODY_TOO_LARGE,
            )
        body = environ["wsgi.input"].read(length) if length else b""
        if len(body) != length:
            raise exceptions.JasminecrankError(
                f"body of {len(body)} bytes instead of {length}",
                exceptions.ResultCode.REQUEST_INVALID,
            )
        return protocol.decode_call(
            environ["REQUEST_METHOD"],
            environ["REQUEST_URI"],
            _headers(environ),
            body,
            now_s,
        )

    def _answer(self, call: protocol.HttpCall) -> _Result:
        decision = self._decide(call.request)
        match decision:
            case state.Admitted():
                return self._run(call, decision.permit)
            case state.ForwardTo():
                return self._forward(call, decision)
            case state.Replay():
                return _Result(
                    decision.answer, decision.version, {"result": "replay"}
                )
            case state.Refused():
                return _refusal(decision, call.request.request_id)
            case _:
                typing.assert_never(decision)

    def _decide(self, request: state.CallRequest) -> state.Decision:
        reply: pykka.ThreadingFuture[state.Decision] = pykka.ThreadingFuture()
        self._admission.tell(coordination.AdmitCall(request, reply))
        decision: state.Decision = reply.get()
        return decision

    def _run(self, call: protocol.HttpCall, permit: state.Permit) -> _Result:
        started_s = self._clock.monotonic_s()
        sent = self._server_client.send(
            self._settings.server,
            call,
            protocol.server_headers(call, permit, started_s),
            permit.deadline_at_s - started_s,
        )
        duration_s = self._clock.monotonic_s() - started_s
        match sent:
            case _forwarder.ForwardedAnswer():
                outcome = state.Outcome(
                    state.OutcomeKind.ANSWERED, duration_s, sent.answer
                )
                self._admission.tell(
                    coordination.CallFinished(permit, outcome)
                )
                return _Result(
                    sent.answer,
                    permit.version,
                    _fields(permit, {"result": "answered"}),
                )
            case _forwarder.ForwardFailure():
                outcome = state.Outcome(_outcome_kind(sent), duration_s)
                self._admission.tell(
                    coordination.CallFinished(permit, outcome)
                )
                return _failure(sent, permit)
            case _:
                typing.assert_never(sent)

    def _forward(
        self, call: protocol.HttpCall, decision: state.ForwardTo
    ) -> _Result:
        now_s = self._clock.monotonic_s()
        client = _forwarder.ServerClient(max_idle_s=0.0)
        sent = client.send(
            _forwarder.Target(decision.host.address, decision.host.call_port),
            call,
            protocol.node_headers(
                call, self._settings.host, decision.deadline_at_s, now_s
            ),
            decision.deadline_at_s - now_s,
        )
        kind = (
            _outcome_kind(sent)
            if isinstance(sent, _forwarder.ForwardFailure)
            else state.OutcomeKind.ANSWERED
        )
        self._admission.tell(
            coordination.ForwardFinished(
                decision,
                state.Outcome(kind, self._clock.monotonic_s() - now_s),
            )
        )
        match sent:
            case _forwarder.ForwardedAnswer():
                return _Result(
                    sent.answer,
                    decision.version,
                    {
                        "result": "forwarded",
                        "to_host": decision.host.host,
                        "team": decision.team,
                        "service": decision.route.service,
                    },
                )
            case _forwarder.ForwardFailure():
                refused = state.Refused(
                    sent.code,
                    _run_state(sent),
                    decision.version,
                    decision.team,
                    decision.route.service,
                )
                return _refusal(refused, call.request.request_id)
            case _:
                typing.assert_never(sent)

    def _log(
        self, call: protocol.HttpCall, result: _Result, duration_s: float
    ) -> None:
        _logs.log_fields(
            "call",
            {
                "request_id": call.request.request_id,
                "method": call.request.method,
                "path": call.request.path,
                "status": result.answer.status,
                "duration_ms": round(duration_s * 1000, 3),
                "table_version": str(result.version),
                **result.fields,
            },
        )


class CallServer:
    """Owns the listening socket for calls and its worker threads."""

    __slots__ = ("_server", "_thread")

    def __init__(
        self, settings: CallServerSettings, application: CallApplication
    ) -> None:
        self._server = wsgi.Server(
            (settings.address, settings.port),
            application,
            numthreads=settings.threads,
            request_queue_size=_ACCEPT_BACKLOG,
            timeout=_KEEP_ALIVE_S,
            shutdown_timeout=_SHUTDOWN_S,
        )
        self._thread = threading.Thread(
            target=self._server.serve, name="call-accept", daemon=True
        )

    def start(self) -> int:
        """Begin to serve and return the bound port."""
        self._server.prepare()
        self._thread.start()
        port: int = self._server.bind_addr[1]
        return port

    def stop(self) -> None:
        """Stop accepting and wait for the calls in hand."""
        self._server.stop()
        self._thread.join()


def _headers(environ: Environ) -> dict[str, str]:
    headers = {
        name[5:].replace("_", "-").lower(): str(value)
        for name, value in environ.items()
        if name.startswith("HTTP_")
    }
    if environ.get("CONTENT_TYPE"):
        headers["content-type"] = str(environ["CONTENT_TYPE"])
    return headers


def _respond(
    answer: state.Answer,
    request_id: str,
    version: state.Version,
    start_response: StartResponse,
) -> Iterable[bytes]:
    own = {
        const.HEADER_REQUEST_ID.lower(): request_id,
        const.HEADER_TABLE_VERSION.lower(): str(version),
    }
    headers = [
        (name, value)
        for name, value in answer.headers
        if name.lower() not in own
    ]
    headers.append((const.HEADER_REQUEST_ID, request_id))
    headers.append((const.HEADER_TABLE_VERSION, str(version)))
    headers.append(("Content-Length", str(len(answer.body))))
    try:
        phrase = http.HTTPStatus(answer.status).phrase
    except ValueError:
        phrase = "Unknown"
    start_response(f"{answer.status} {phrase}", headers)
    return [answer.body]


def _refusal(refused: state.Refused, request_id: str) -> _Result:
    return _Result(
        protocol.encode_refusal(refused, request_id),
        refused.version,
        {
            "result": "refused",
            "result_code": refused.code.value,
            "run_state": refused.run_state.value,
            "team": refused.team,
            "service": refused.service,
        },
    )


def _failure(sent: _forwarder.ForwardFailure, permit: state.Permit) -> _Result:
    refused = state.Refused(
        sent.code,
        _run_state(sent),
        permit.version,
        permit.team,
        permit.route.service,
    )
    return _refusal(refused, permit.request_id)


def _fields(
    permit: state.Permit, extra: dict[str, object]
) -> dict[str, object]:
    return {
        "team": permit.team,
        "service": permit.route.service,
        "route": permit.route.route,
        **extra,
    }


def _run_state(sent: _forwarder.ForwardFailure) -> exceptions.RunState:
    if sent.sent:
        return exceptions.RunState.MAY_HAVE_RUN
    return exceptions.RunState.NOT_RUN


def _outcome_kind(sent: _forwarder.ForwardFailure) -> state.OutcomeKind:
    if not sent.sent:
        return state.OutcomeKind.NOT_SENT
    if sent.code is exceptions.ResultCode.BACKEND_TIMEOUT:
        return state.OutcomeKind.TIMED_OUT
    return state.OutcomeKind.BROKEN
