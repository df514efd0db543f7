"""Steps for a configuration service that sends bytes without end."""

import contextlib
import queue
import time

from behave import then
from behave import when
import scripted_server

from jasminecrank import coordination
from jasminecrank import state
from jasminecrank import transport

WAIT_S = 10.0
MB = 1_000_000


class ReplyMailbox:
    """Mailbox that keeps what the reader reports."""

    def __init__(self):
        self.replies = queue.SimpleQueue()

    def tell(self, message):
        """Keep a message."""
        self.replies.put(message)


@when("a document is read from a service with {fault}")
def step_read(context, fault):
    server = scripted_server.ScriptedServer(fault)
    context.exit_stack = contextlib.ExitStack()
    context.exit_stack.callback(server.close)
    mailbox = ReplyMailbox()
    reader = transport.SourceReader.start(
        f"http://127.0.0.1:{server.port}", mailbox
    )
    # Without waiting, since a reader that never ends would hold the run.
    context.exit_stack.callback(reader.stop, block=False)
    started_s = time.monotonic()
    reader.tell(coordination.ReadSource(state.DocumentName.TABLE))
    context.reply = None
    with contextlib.suppress(queue.Empty):
        context.reply = mailbox.replies.get(timeout=WAIT_S)
    context.elapsed_s = time.monotonic() - started_s
    context.accepted_bytes = server.filler_bytes


@then(
    "the read has failed within {limit_s:g} s, with less than {limit:d} MB "
    "accepted"
)
def step_failed(context, limit_s, limit):
    assert isinstance(context.reply, coordination.SourceFailed), context.reply
    assert context.elapsed_s < limit_s, context.elapsed_s
    assert context.accepted_bytes < limit * MB, context.accepted_bytes
