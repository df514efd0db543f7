"""Steps for the platform's headers."""

from behave import then
from behave import when

from jasminecrank import platform
from jasminecrank.mesh import coordination
from jasminecrank.mesh import protocol
from jasminecrank.mesh import state

CODEC = platform.PlatformCodec()
DEFAULT_HEADERS = {"Host": "a.example", "Request-Id": "9c41"}


def make_call(headers):
    """Return a call for the server i-1 of team huka270."""
    return coordination.CallSent(
        call_id=1,
        request_id="9c41",
        server_id="i-1",
        route="r",
        method=b"GET",
        target=b"/lots/1",
        headers=headers,
        body=b"",
        rank=0,
        idempotent=True,
        remaining_s=0.5,
        target_remaining_s=0.3,
        caller_service="ledger",
        team="huka270",
    )


def encode(headers):
    """Return headers in their wire encoding."""
    return tuple(
        (name.encode(), value.encode()) for name, value in headers.items()
    )


def send(context, headers):
    """Set the headers that the backend server gets for a caller's."""
    raw = CODEC.write_request(
        make_call(encode({**DEFAULT_HEADERS, **headers})), 0.5
    )
    context.server_headers = {
        name.decode().lower(): value.decode() for name, value in raw.headers
    }


@when("a caller sends the header {name} with {sent}")
def step_header(context, name, sent):
    send(context, {name: sent})


@when("a caller sends the headers Connection: {named} and X-Own: {value}")
def step_connection(context, named, value):
    send(context, {"Connection": named, "X-Own": value})


@then("the backend server gets {name} with {got}")
def step_got(context, name, got):
    assert context.server_headers.get(name.lower(), "nothing") == got, (
        context.server_headers
    )


@when("a caller sends Authorization: {header}")
def step_key(context, header):
    headers = encode({**DEFAULT_HEADERS, "Authorization": header})
    raw = protocol.RawRequest(b"GET", b"/lots/1", headers, b"")
    context.request = CODEC.read_request(raw)


@then("the key is {key}")
def step_key_is(context, key):
    assert str(context.request.key or None) == key, context.request.key


@when("a caller sends Deadline-Ms: {text}")
def step_deadline(context, text):
    headers = encode({**DEFAULT_HEADERS, "Deadline-Ms": text})
    context.request = CODEC.read_request(
        protocol.RawRequest(b"GET", b"/lots/1", headers, b"")
    )


@then("the time limit is {limit} s")
def step_time_limit(context, limit):
    assert str(context.request.caller_timeout_s) == limit, context.request


@when("a health check returns {name}: {text}")
def step_health_check(context, name, text):
    headers = {b"Instance-Id": b"i-1", name.encode(): text.encode()}
    if text == r"\xff":
        headers[name.encode()] = b"\xff"
    context.health = CODEC.read_health_response(
        protocol.RawResponse(200, b"OK", tuple(headers.items()), b"")
    )


@then("the cold start lasts {cold:g} s")
def step_cold_start(context, cold):
    assert context.health.cold_left_s == cold, context.health


def read_response(status, headers):
    """Return the owner of a response, or the result if it is this call."""
    raw = protocol.RawResponse(status, b"", encode(headers), b"")
    call = make_call(())
    owner = CODEC.find_owner(call, raw)
    if owner is protocol.ResponseOwner.THIS:
        return CODEC.read_response(raw, 0.1)
    return owner


@when("the backend server responds with status {status:d} and {header}")
def step_answer(context, status, header):
    name, _, value = header.partition(": ")
    context.result = read_response(status, {name: value})


@when("the server responds to the call with status {status:d} and {header}")
def step_named_answer(context, status, header):
    name, _, value = header.partition(": ")
    context.result = read_response(
        status, {name: value, "Request-Id": make_call(()).request_id}
    )


@then("the attempt has {result}")
def step_result(context, result):
    match context.result:
        case protocol.ResponseOwner.OTHER:
            found = "another owner"
        case protocol.ResponseOwner.UNNAMED:
            found = "no sure owner"
        case state.Served():
            found = "been served"
        case state.NotRun():
            found = "not run"
        case state.MayHaveRun():
            found = "perhaps run"
    assert found == result, context.result


@when("a call is refused as {kind}")
def step_refuse(context, kind):
    refusal = state.Refusal(state.RefusalKind(kind), "", 0.25)
    context.raw = CODEC.write_reply(refusal, None)


@then("the caller gets status {status:d}")
def step_status(context, status):
    assert context.raw.status == status, context.raw
    expects_retry = status in (429, 503)
    names = [name for name, _ in context.raw.headers]
    assert (b"Retry-After" in names) == expects_retry, names
