"""Steps for links that can't be used."""

import asyncio
import random
import socket

from behave import given
from behave import then
from behave import when
import uvloop

from jasminecrank.mesh import coordination
from jasminecrank.mesh import transport

UNUSED_PORT = 9
HELLO = coordination.Hello("10.0.0.1", 1, "ledger")


class ResetTransport:
    """A transport of uvloop between a reset and its report."""

    def is_closing(self):
        """Not reported yet."""
        return False

    def write(self, data):
        """Fail as uvloop does."""
        raise RuntimeError(
            "unable to perform operation; the handler is closed"
        )

    def get_extra_info(self, name):
        """There is no socket any more."""
        del name


class Owner:
    """An owner of links to which nothing happens."""


@given("a link whose socket fails as that of uvloop after a reset")
def step_reset_link(context):
    context.lines = []
    context.log = transport.JsonLog(
        "host-1", transport.BootClock(), _keep(context.lines)
    )


def _keep(lines):
    def write(data):
        lines.append(data)
        return len(data)

    return write


@when("the reset link sends a message")
def step_send(context):
    async def act():
        link = transport.Link(Owner(), HELLO, True, context.log)
        link.connection_made(ResetTransport())

    asyncio.run(act())


@then("that is logged and counted, and no error leaves the link")
def step_logged(context):
    assert context.log.count_by_name["links", "reset"] == 1
    assert any(b'"link-reset"' in line for line in context.lines)


@given("a dialler")
def step_dialler(context):
    context.log = transport.JsonLog("host-1", transport.BootClock(), _keep([]))


@when("it is to keep links to {host} for {seconds:g} s")
def step_dial(context, host, seconds):
    if host.startswith("a host of"):
        host = "a" * 300

    async def act():
        dialler = transport.Dialler(
            Owner(), HELLO, UNUSED_PORT, random.Random(1), context.log
        )
        dialler.set_hosts({host})
        await asyncio.sleep(seconds)
        dialler.set_hosts(set())

    asyncio.run(act())


@then("it has tried more than once")
def step_tried(context):
    dials = context.log.count_by_name["dials", "failed"]
    assert dials > 1, dials


class CountingOwner:
    """An owner that keeps its open links."""

    def __init__(self):
        self.links = set()

    def on_link_opened(self, link, hello):
        """Keep a link."""
        self.links.add(link)

    def on_link_ended(self, link):
        """Drop a link."""
        self.links.discard(link)


async def _redial(turns):
    """Dial, redial after some turns, and return the links at both ends."""
    dialled, accepted = CountingOwner(), CountingOwner()
    log = transport.JsonLog("host-1", transport.BootClock(), _keep([]))
    sock = socket.create_server(("127.0.0.1", 0))
    port = sock.getsockname()[1]
    server = await transport.listen_for_links(accepted, HELLO, sock, log)
    dialler = transport.Dialler(dialled, HELLO, port, random.Random(1), log)
    dialler.set_hosts({"127.0.0.1"})
    for _ in range(turns):
        await asyncio.sleep(0)
    dialler.redial_now("127.0.0.1")
    await asyncio.sleep(0.15)
    counts = (len(dialled.links), len(accepted.links))
    dialler.set_hosts(set())
    server.close()
    for link in dialled.links | accepted.links:
        link.abort()
    await asyncio.sleep(0.01)
    return counts


@when(
    "a host is dialled anew after each of {least:d} to {most:d} turns of "
    "the event loop"
)
def step_redial(context, least, most):
    async def act():
        return {
            turns: await _redial(turns) for turns in range(least, most + 1)
        }

    context.counts_by_turns = uvloop.run(act())


@then("the dialling and the dialled host have one link each")
def step_one_link(context):
    wrong = {
        turns: counts
        for turns, counts in context.counts_by_turns.items()
        if counts != (1, 1)
    }
    assert not wrong, wrong
