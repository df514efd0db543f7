"""Steps for interim responses and for callers of HTTP/1.0."""

import asyncio

from behave import then
from behave import when

from jasminecrank.standins import fleet

READ_TIMEOUT_S = 3.0
BODY = b"hello"


async def _read_statuses(reader, writer):
    """Read until the end or a pause; send the body after 100 Continue."""
    statuses = []
    try:
        while True:
            async with asyncio.timeout(READ_TIMEOUT_S):
                head = await reader.readuntil(b"\r\n\r\n")
                status, headers = fleet.parse_head(head)
                length = int(headers.get("content-length", "0"))
                await reader.readexactly(length)
            statuses.append(status)
            if status == 100:
                writer.write(BODY)
    except (OSError, TimeoutError, asyncio.IncompleteReadError) as error:
        return statuses, type(error)


def _exchange(context, requests):
    async def act():
        callers = context.fleet.nodes[0].config.callers
        reader, writer = await asyncio.open_connection(
            callers.host, callers.port
        )
        try:
            writer.write(b"".join(requests))
            return await _read_statuses(reader, writer)
        finally:
            writer.close()

    context.statuses, context.end = context.runner.run(act())


def _encode(number, first_line, *headers):
    fields = ("Host: a.example", f"Request-Id: i{number}", "Deadline-Ms: 2000")
    lines = (first_line, *fields, *headers)
    return ("\r\n".join(lines) + "\r\n\r\n").encode()


@when("a caller sends {count:d} requests, and one that waits for 100 Continue")
def step_expect(context, count):
    requests = [
        _encode(number, "GET /open/1 HTTP/1.1") for number in range(count)
    ]
    requests.append(
        _encode(
            count,
            "POST /open/1 HTTP/1.1",
            "Expect: 100-continue",
            f"Content-Length: {len(BODY)}",
        )
    )
    _exchange(context, requests)


@then("it gets {count:d} answers, then 100 Continue, and the answer to that")
def step_order(context, count):
    expected = [200] * count + [100, 200]
    assert context.statuses == expected, context.statuses


@when("its caller waits for 100 Continue")
def step_waits(context):
    context.debts.continue_due = True


@then('it is sent "{now}", and "{later}" once the answers have been written')
def step_sent(context, now, later):
    debts = context.debts
    found_now = debts.take_continue()
    debts.waiting = 0
    debts.in_progress = 0
    found_later = debts.take_continue()
    assert (found_now, found_later) == (now == "now", later == "now")
    assert not debts.take_continue()


@when("a caller of HTTP/1.0 sends a request with the header {header}")
def step_old_caller(context, header):
    request = _encode(
        0,
        "POST /open/1 HTTP/1.0",
        header,
        f"Content-Length: {len(BODY)}",
    )
    _exchange(context, [request + BODY])


@then("it gets the statuses {statuses}, and the connection is closed")
def step_closed(context, statuses):
    found = [str(status) for status in context.statuses]
    assert found == statuses.split(", "), context.statuses
    assert context.end is asyncio.IncompleteReadError, context.end
