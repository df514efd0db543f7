"""Steps for calls to faulty backend servers over real sockets."""

import contextlib
import http.client
import math
import queue
import socket
import threading
import time

from behave import given
from behave import then
from behave import when
import scripted_server

from jasminecrank import coordination
from jasminecrank import exceptions
from jasminecrank import state
from jasminecrank import transport

VERSION = state.Version(7, "ab" * 32)
TIMEOUT_S = 15.0
ENDLESS_DEADLINE_S = 3.0
PAUSED_DEADLINE_S = 0.5
PAUSE_STEP_S = 0.01
CONNECT_S = 0.1
IDLE_S = 0.5
"""Longer than a worker waits for the next request on a connection."""


def route(kind):
    """Return a route of the given kind."""
    return state.RouteRow(
        kind.value,
        "ledger",
        "GET",
        "/",
        kind,
        state.Priority.ORDINARY,
        False,
        1000,
    )


def host_row(host, port):
    """Return the host table row of a live host."""
    return state.HostRow(
        host,
        "ledger",
        "north",
        "savo",
        "127.0.0.1",
        port,
        2,
        3,
        4,
        0,
        state.HostState.LIVE,
    )


class ScriptedAdmission:
    """Admission stub that admits calls locally, then forwards retries."""

    def __init__(self):
        self.other_port_by_host = {}
        self.admits_locally = True
        self.deadline_s = TIMEOUT_S
        self.deadline_at_s = 0.0
        self.outcomes = []
        self.calls = []
        self.admit_gate = None
        self.queued_message = None
        self.cancelled = threading.Event()

    def tell(self, message):
        """Process one message synchronously."""
        match message:
            case coordination.AdmitCall():
                self.calls.append(message.call)
                if message.call.path == "/waits":
                    self.queued_message = message
                    self.cancelled.clear()
                    return
                if self.admit_gate is not None:
                    self.admit_gate.wait(TIMEOUT_S)
                message.reply.set(self._decide(message.call))
            case coordination.CancelCall():
                queued_message = self.queued_message
                assert message.request_id == queued_message.call.request_id
                queued_message.reply.set(
                    state.Refused(
                        exceptions.ResultCode.CALL_CANCELLED,
                        exceptions.RunState.NOT_RUN,
                        VERSION,
                    )
                )
                self.cancelled.set()
            case coordination.CallFinished():
                self.outcomes.append(message.outcome.kind)

    def _decide(self, call):
        kind = (
            state.RouteKind.BOOKING
            if call.method == "POST"
            else state.RouteKind.LOOKUP
        )
        self.deadline_at_s = time.monotonic() + self.deadline_s
        if self.admits_locally and "own" not in call.tried_hosts:
            return state.Admitted(
                state.Permit(
                    call.request_id,
                    route(kind),
                    "belt",
                    VERSION,
                    self.deadline_at_s,
                )
            )
        for host, port in self.other_port_by_host.items():
            if host not in call.tried_hosts:
                return state.ForwardTo(
                    host_row(host, port),
                    route(kind),
                    "belt",
                    VERSION,
                    self.deadline_at_s,
                )
        return state.Refused(
            exceptions.ResultCode.NO_HOST_AVAILABLE,
            exceptions.RunState.NOT_RUN,
            VERSION,
        )


@given("a call server with scripted admission decisions")
def step_call_server(context):
    context.exit_stack = contextlib.ExitStack()
    context.admission = ScriptedAdmission()
    retries = coordination.RetryActor.start()
    context.exit_stack.callback(retries.stop)
    settings = transport.CallServerSettings(
        "own", "127.0.0.1", 0, transport.Target("127.0.0.1", 1), 16
    )
    context.application = transport.CallApplication.from_settings(
        settings, context.admission, retries, state.SystemClock()
    )
    context.call_server = transport.CallServer(settings, context.application)
    context.port = context.call_server.start()
    context.exit_stack.callback(context.call_server.stop)


def send_call(context, method, request_id=None):
    """Send one call and return its status, result code and run state."""
    headers = {"Connection": "close"}
    if request_id is not None:
        headers["X-Request-Id"] = request_id
    connection = http.client.HTTPConnection(
        "127.0.0.1", context.port, timeout=TIMEOUT_S
    )
    with contextlib.closing(connection):
        connection.request(method, "/lots", headers=headers)
        response = connection.getresponse()
        response.read()
        return (
            str(response.status),
            response.headers.get("X-Result-Code", ""),
            response.headers.get("X-Run-State", ""),
        )


def run_row(context, row):
    """Start the servers of a row, send its calls and return the outcome."""
    servers = [scripted_server.ScriptedServer(row["fault"])]
    if row["second host"]:
        servers.append(scripted_server.ScriptedServer(row["second host"]))
    admission = context.admission
    admission.outcomes.clear()
    admission.admits_locally = not row["fault"].startswith("refuses as")
    ports = [server.port for server in servers]
    context.application.runner.backend_server = transport.Target(
        "127.0.0.1", ports[0]
    )
    other_ports = ports[1:] if admission.admits_locally else ports
    admission.other_port_by_host = {
        f"other-{port}": port for port in other_ports
    }
    expects_timeout = row["result code"] == "302"
    admission.deadline_s = 0.3 if expects_timeout else TIMEOUT_S
    try:
        actual = []
        for _ in range(int(row["calls"])):
            actual = send_call(context, row["method"])
            if servers[0].fault == "closes after its first answer":
                assert servers[0].sending_closed.wait(TIMEOUT_S)
        runs = sum(server.runs for server in servers)
    finally:
        for server in servers:
            server.close()
    outcome = admission.outcomes[-1].value if admission.outcomes else ""
    return (*actual, str(runs), outcome)


@when("calls are sent to servers with these faults")
def step_faults(context):
    names = ("status", "result code", "run state", "runs", "outcome")
    context.failures = []
    for row in context.table:
        actual = run_row(context, row)
        expected = tuple(row[name] for name in names)
        if any(
            a not in ("*", b) for a, b in zip(expected, actual, strict=True)
        ):
            context.failures.append(f"{row} gave {actual}")


@when(
    "closed connections go undetected and calls are sent to servers with "
    "these faults"
)
def step_late_faults(context):
    # Simulates a FIN that arrives only after the request has been sent.
    socket_class = transport.DeadlineSocket
    original = socket_class.is_idle
    socket_class.is_idle = lambda self: True
    try:
        step_faults(context)
    finally:
        socket_class.is_idle = original


@when("the node is paused beyond the deadline while these calls wait")
def step_paused(context):
    # The pause begins after a read has found no data.
    socket_class = transport.DeadlineSocket
    original = socket_class._wait_until_ready

    def pause_and_wait(deadline_socket, event):
        if deadline_socket.deadline_at_s == context.admission.deadline_at_s:
            while time.monotonic() < deadline_socket.deadline_at_s:
                time.sleep(PAUSE_STEP_S)
        original(deadline_socket, event)

    socket_class._wait_until_ready = pause_and_wait
    context.admission.deadline_s = PAUSED_DEADLINE_S
    names = ("status", "result code", "run state")
    context.failures = []
    try:
        for row in context.table:
            with contextlib.closing(
                scripted_server.ScriptedServer(row["fault"])
            ) as server:
                context.application.runner.backend_server = transport.Target(
                    "127.0.0.1", server.port
                )
                actual = send_call(context, row["method"])
            if actual != tuple(row[name] for name in names):
                context.failures.append(f"{row} gave {actual}")
    finally:
        socket_class._wait_until_ready = original


@then("every call has the expected outcome")
def step_outcomes(context):
    assert not context.failures, "\n".join(context.failures)


class HealthMailbox:
    """Mailbox that stores the reports of a health probe."""

    def __init__(self):
        self.reports = queue.SimpleQueue()

    def tell(self, message):
        """Store the report of one health check."""
        self.reports.put(message.health)


class StoppedTimers:
    """Timers that never send a message."""

    def call_later(self, delay_s, mailbox, message):
        """Ignore the request."""


@when(
    "the health of a server is checked that then sheds {count:d} checks, no id"
)
def step_check_health(context, count):
    server = scripted_server.ScriptedServer("reports its health")
    context.exit_stack.callback(server.close)
    mailbox = HealthMailbox()
    probe = transport.HealthProbe.start(
        transport.Target("127.0.0.1", server.port), StoppedTimers(), mailbox
    )
    context.exit_stack.callback(probe.stop)
    context.reports = []
    for _ in range(1 + count):
        probe.tell(coordination.Tick())
        context.reports.append(mailbox.reports.get(timeout=TIMEOUT_S))
        server.fault = "sheds, no id"


@then("it is reported as reachable with the loads {loads}")
def step_health_reports(context, loads):
    reported = [(report.reachable, report.load) for report in context.reports]
    expected = [(True, float(load)) for load in loads.split(", ")]
    assert reported == expected, reported


@when("calls are sent to servers that send bytes until the node closes")
def step_endless(context):
    context.actual = {}
    context.admission.deadline_s = ENDLESS_DEADLINE_S
    for row in context.table:
        server = scripted_server.ScriptedServer(row["fault"])
        context.application.runner.backend_server = transport.Target(
            "127.0.0.1", server.port
        )
        with contextlib.closing(server):
            status, _, _ = send_call(context, "POST")
        context.actual[row["fault"]] = (status, server.filler_bytes)


@then("each answer is 502 and the node has accepted less than {limit:d} MB")
def step_cut_off(context, limit):
    assert all(
        status == "502" and accepted_bytes < limit * 1_000_000
        for status, accepted_bytes in context.actual.values()
    ), context.actual


@when("the same call is sent twice to a server that repeats its refusals")
def step_same_call(context):
    context.server = scripted_server.ScriptedServer(
        "repeats another call's refusal"
    )
    context.exit_stack.callback(context.server.close)
    context.application.runner.backend_server = transport.Target(
        "127.0.0.1", context.server.port
    )
    context.actual = [send_call(context, "POST", "same") for _ in range(2)]


@then("the second one is refused on a connection of its own, and not run")
def step_other_connection(context):
    assert context.actual == [("503", "", "not-run")] * 2, context.actual
    assert context.server.runs == 0, context.server.runs


@when("lookups fail {count:d} times in a row")
def step_budget(context, count):
    faulty = scripted_server.ScriptedServer("closes without an answer")
    good = scripted_server.ScriptedServer("none")
    context.exit_stack.callback(faulty.close)
    context.exit_stack.callback(good.close)
    context.application.runner.backend_server = transport.Target(
        "127.0.0.1", faulty.port
    )
    context.admission.other_port_by_host = {"other": good.port}
    context.actual = [send_call(context, "GET") for _ in range(count)]


@then("{good:d} succeed and the others are refused with {code}")
def step_budget_seen(context, good, code):
    answered = [actual for actual in context.actual if actual[0] == "200"]
    refused = {actual[1:] for actual in context.actual if actual[0] != "200"}
    assert len(answered) == good, context.actual
    assert refused == {(code, "may-have-run")}, context.actual


@when("the server stops with a call in progress and another being sent")
def step_stop(context):
    context.admission.admit_gate = threading.Event()
    server = scripted_server.ScriptedServer("none")
    context.exit_stack.callback(server.close)
    context.application.runner.backend_server = transport.Target(
        "127.0.0.1", server.port
    )
    idle, busy, late = (
        http.client.HTTPConnection(
            "127.0.0.1", context.port, timeout=TIMEOUT_S
        )
        for _ in range(3)
    )
    context.admission.admit_gate.set()
    for connection in (idle, busy, late):
        connection.request("GET", "/warm")
        connection.getresponse().read()
    context.admission.admit_gate.clear()
    busy.request("GET", "/busy")
    while len(context.admission.calls) < 4:
        assert not context.admission.admit_gate.wait(0.01)
    stopping = threading.Thread(target=context.call_server.stop)
    context.started_s = time.monotonic()
    stopping.start()
    late.request("POST", "/late")
    context.admission.admit_gate.set()
    context.actual = []
    for connection in (busy, late):
        response = connection.getresponse()
        response.read()
        context.actual.append((response.status, response.will_close))
    stopping.join(TIMEOUT_S)
    context.stop_s = time.monotonic() - context.started_s
    context.idle_socket = idle.sock


@then("both calls succeed and idle connections do not delay the stop")
def step_stopped(context):
    assert context.actual == [(200, True), (200, True)], context.actual
    assert context.stop_s < TIMEOUT_S, context.stop_s
    assert context.idle_socket.recv(1) == b""


@when("callers send these calls, end their sending side and read")
def step_half_closed(context):
    names = ("status", "result code", "run state", "runs")
    context.failures = []
    for row in context.table:
        context.call_server._server.draining = row["node"] == "stopping"
        caller = http.client.HTTPConnection(
            "127.0.0.1", context.port, timeout=TIMEOUT_S
        )
        with (
            contextlib.closing(
                scripted_server.ScriptedServer(row["fault"])
            ) as server,
            contextlib.closing(caller),
        ):
            context.application.runner.backend_server = transport.Target(
                "127.0.0.1", server.port
            )
            caller.request(row["method"], row["path"])
            caller.sock.shutdown(socket.SHUT_WR)
            response = caller.getresponse()
            response.read()
            actual = (
                str(response.status),
                response.headers.get("X-Result-Code", ""),
                response.headers.get("X-Run-State", ""),
                str(server.runs),
            )
        if actual != tuple(row[name] for name in names):
            context.failures.append(f"{row} gave {actual}")


@when(
    "{count:d} callers send a {method} each while {closing} closes connections"
)
def step_crossing(context, count, method, closing):
    server = scripted_server.ScriptedServer("none")
    context.exit_stack.callback(server.close)
    context.application.runner.backend_server = transport.Target(
        "127.0.0.1", server.port
    )
    callers = [
        http.client.HTTPConnection(
            "127.0.0.1", context.port, timeout=TIMEOUT_S
        )
        for _ in range(count)
    ]
    for caller in callers:
        context.exit_stack.callback(caller.close)
        caller.request("GET", "/warm")
        caller.getresponse().read()
    manager = context.call_server._server._connections
    name = {"a stop": "close", "the idle limit": "_expire"}[closing]
    original = getattr(manager, name)
    sent = threading.Event()

    def send_and_close(**arguments):
        # Connections on which workers wait are not closed here.
        if arguments and manager._num_connections < count or sent.is_set():
            return
        for caller in callers:
            caller.request(method, "/lots")
        if arguments:
            arguments["threshold"] = math.inf
        original(**arguments)
        sent.set()

    setattr(manager, name, send_and_close)
    if closing == "a stop":
        time.sleep(IDLE_S)
        context.call_server.stop()
    assert sent.wait(TIMEOUT_S)
    context.actual = [read_answer(caller) for caller in callers]


@when("{count:d} callers connect and send a request {moment}")
def step_connecting(context, count, moment):
    server = scripted_server.ScriptedServer("none")
    context.exit_stack.callback(server.close)
    context.application.runner.backend_server = transport.Target(
        "127.0.0.1", server.port
    )
    outcomes = queue.SimpleQueue()

    def call():
        caller = http.client.HTTPConnection(
            "127.0.0.1", context.port, timeout=TIMEOUT_S
        )
        with contextlib.closing(caller):
            try:
                caller.connect()
            except ConnectionRefusedError:
                outcomes.put("refused")
                return
            try:
                caller.request("POST", "/lots")
            except ConnectionError as error:
                outcomes.put(type(error).__name__)
                return
            outcomes.put(read_answer(caller)[0])

    threads = [threading.Thread(target=call) for _ in range(count)]
    http_server = context.call_server._server
    manager = http_server._connections
    owner, name = {
        "before the stop looks for new connections": (
            http_server,
            "_enqueue_received",
        ),
        "after the stop looked for new connections": (
            manager._selector,
            "unregister",
        ),
    }[moment]
    original = getattr(owner, name)

    def connect_first(*arguments):
        if manager._stop_requested and not threads[0].ident:
            for thread in threads:
                thread.start()
            time.sleep(CONNECT_S)
        return original(*arguments)

    setattr(owner, name, connect_first)
    context.call_server.stop()
    for thread in threads:
        thread.join(TIMEOUT_S)
    context.actual = [outcomes.get_nowait() for _ in threads]


@then("each is answered, or its connection is refused")
def step_connected(context):
    assert set(context.actual) <= {200, "refused"}, context.actual


def read_answer(caller):
    """Return the status of an answer and whether its connection closes."""
    try:
        response = caller.getresponse()
        response.read()
    except (OSError, http.client.HTTPException) as error:
        return type(error).__name__, True
    return response.status, response.will_close


@then("each caller is answered and told that its connection closes")
def step_crossed(context):
    assert set(context.actual) == {(200, True)}, context.actual


@when("a caller closes its connection while its call is queued")
def step_caller_gone(context):
    caller = http.client.HTTPConnection(
        "127.0.0.1", context.port, timeout=TIMEOUT_S
    )
    caller.request("GET", "/waits")
    caller.close()


@then("the call is cancelled")
def step_call_cancelled(context):
    assert context.admission.cancelled.wait(TIMEOUT_S)
    assert context.admission.outcomes == []
