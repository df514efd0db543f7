"""Steps for raw requests to a call server."""

import http.client
import socket
import time

from behave import given
from behave import then
from behave import when
import scripted_server

from jasminecrank import transport

TIMEOUT_S = 15.0
SLOW_CALLER_BUFFER_BYTES = 4096
SLOW_CALLER_PAUSE_S = 0.2
HEADERS_AND_BODY_BY_NAME = {
    "body": (["Content-Length: 4"], b"abcd"),
    "chunked body": (
        ["Transfer-Encoding: chunked"],
        b"4\r\nabcd\r\n4;a=b\r\nefgh\r\n0\r\nX-Trailer: a\r\n\r\n",
    ),
    "body of 1000000": (["Content-Length: 1000000"], b"x" * 1_000_000),
    "body of 1000001": (["Content-Length: 1000001"], b"x" * 1_000_001),
    "chunks of 1000001": (
        ["Transfer-Encoding: chunked"],
        b"F4241\r\n" + b"x" * 1_000_001 + b"\r\n0\r\n\r\n",
    ),
    "bad chunk": (["Transfer-Encoding: chunked"], b"xyz\r\nabc\r\n"),
    "two lengths": (["Content-Length: 4", "Content-Length: 5"], b"abcd"),
    "length and chunks": (
        ["Content-Length: 4", "Transfer-Encoding: chunked"],
        b"0\r\n\r\n",
    ),
    "twice": (["X-A: 1", "X-A: 2"], b""),
    "Connection: X-Gone": (["Connection: X-Gone", "X-Gone: a"], b""),
    "two keys": (["Authorization: Bearer a", "AUTHORIZATION: Bearer b"], b""),
    "two request ids": (["X-Request-Id: a", "X-Request-Id: b"], b""),
}


def encode(text):
    """Encode the request described by a table cell."""
    line, _, extra = text.partition(";")
    extra = extra.removeprefix(" ")
    headers, body = HEADERS_AND_BODY_BY_NAME.get(
        extra, ([extra] if extra else [], b"")
    )
    head = [f"{line} HTTP/1.1", "Host: node", *headers, "", ""]
    return "\r\n".join(head).encode() + body


def send_raw(context, method, data):
    """Send raw bytes and return the response status and result code."""
    with socket.create_connection(
        ("127.0.0.1", context.port), timeout=TIMEOUT_S
    ) as caller:
        caller.sendall(data)
        response = http.client.HTTPResponse(caller, method=method)
        response.begin()
        response.read()
        code = response.headers.get("X-Result-Code", "")
        run_state = response.headers.get("X-Run-State", "")
        assert (run_state == "not-run") == bool(code), response.headers
        return str(response.status), code


def server_received(server, expected):
    """Return whether the server's last request matches a table cell."""
    request = server.requests[-1]
    kind, _, value = expected.partition(" ")
    match kind:
        case "no":
            return f"\r\n{value}:".encode() not in request.lower()
        case "body:":
            return request.endswith(b"\r\n\r\n" + value.encode())
        case "length:":
            return len(request.partition(b"\r\n\r\n")[2]) == int(value)
    return expected.replace("\\r\\n", "\r\n").encode() in request


@given("a backend server without faults")
@given("a backend server that {fault}")
def step_backend(context, fault="none"):
    context.server = scripted_server.ScriptedServer(fault)
    context.exit_stack.callback(context.server.close)
    context.application.runner.backend_server = transport.Target(
        "127.0.0.1", context.server.port
    )


@when("these raw requests are sent")
def step_requests(context):
    context.failures = []
    for row in context.table:
        before = context.server.runs
        text = row["request"]
        actual = send_raw(context, text.split(" ")[0], encode(text))
        runs = context.server.runs - before
        as_expected = actual == (row["status"], row["code"])
        as_expected = as_expected and runs == (row["status"] == "200")
        if not as_expected or (
            runs and not server_received(context.server, row["server gets"])
        ):
            context.failures.append(
                f"{text} gave {actual}, {runs} runs, "
                f"{context.server.requests[-1][:400]!r}"
            )


@then("every request has the listed result")
def step_as_listed(context):
    assert not context.failures, "\n".join(context.failures)


@when("{count:d} pipelined requests are sent")
def step_pipelined(context, count):
    with socket.create_connection(
        ("127.0.0.1", context.port), timeout=TIMEOUT_S
    ) as caller:
        caller.sendall(
            b"".join(
                encode(f"GET /lots/{number}; X-Request-Id: {number}")
                for number in range(count)
            )
        )
        caller.shutdown(socket.SHUT_WR)
        data = b""
        while part := caller.recv(65536):
            data += part
    context.actual = [
        line.split(b": ")[1]
        for line in data.split(b"\r\n")
        if line.lower().startswith(b"x-request-id")
    ]


@then("{count:d} responses arrive in the order of the requests")
def step_in_order(context, count):
    expected = [str(number).encode() for number in range(count)]
    assert context.actual == expected, context.actual


@when("slow callers send these requests, and more before they have read all")
def step_slow_callers(context):
    context.failures = []
    for row in context.table:
        context.call_server._server.draining = row["node"] == "stopping"
        runs_before = context.server.runs
        with socket.socket() as caller:
            caller.settimeout(TIMEOUT_S)
            caller.setsockopt(
                socket.SOL_SOCKET, socket.SO_RCVBUF, SLOW_CALLER_BUFFER_BYTES
            )
            caller.connect(("127.0.0.1", context.port))
            caller.sendall(encode(row["request"]))
            caller.recv(1, socket.MSG_PEEK)
            caller.sendall(encode(row["then"]))
            if row["end"] == "half-open":
                caller.shutdown(socket.SHUT_WR)
            # The node closes its end while the answer is in transit.
            time.sleep(SLOW_CALLER_PAUSE_S)
            received = read_to_end(caller)
        body = received.partition(b"\r\n\r\n")[2]
        runs = context.server.runs - runs_before
        if len(body) != 1_000_000 or runs != 1:
            context.failures.append(f"{row}: {len(body)} bytes, {runs} runs")


def read_to_end(caller):
    """Return the bytes up to the end or a reset of a connection."""
    received = b""
    try:
        while part := caller.recv(65536):
            received += part
    except ConnectionError:
        pass
    return received


@then("each receives its whole answer, and no connection stays open")
def step_delivered(context):
    assert not context.failures, "\n".join(context.failures)
    lingering = context.call_server._server.lingering
    lingering.stop()
    assert not lingering.by_fd


@when("{count:d} callers connect and send nothing")
def step_silent_callers(context, count):
    for _ in range(count):
        caller = socket.create_connection(
            ("127.0.0.1", context.port), timeout=TIMEOUT_S
        )
        context.exit_stack.callback(caller.close)


@then("another call succeeds")
def step_another(context):
    actual = send_raw(context, "GET", encode("GET /lots"))
    assert actual == ("200", ""), actual
