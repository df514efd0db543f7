"""Steps for a node process under odd conditions at its start and end."""

import asyncio
import contextlib
import copy
import os
import pathlib
import resource
import signal
import socket
import subprocess
import sys
import tempfile
import time

from behave import given
from behave import then
from behave import when
import hypothesis
from hypothesis import strategies

from jasminecrank.standins import fleet

HOST = "127.0.5.1"
START_TIMEOUT_S = 10.0
STOP_TIMEOUT_S = 10.0
CHECK_PERIOD_S = 0.02
LONG_RUN_S = 0.8
SERIES_COUNT = 8
SIGNAL_HOOK = """
import os
import signal
import sys


class SignalAtImport:
    def find_spec(self, name, path=None, target=None):
        if name == os.environ.get("SIGNAL_AT_IMPORT"):
            for number in os.environ["SIGNALS"].split():
                os.kill(os.getpid(), getattr(signal, number))
        return None


sys.meta_path.insert(0, SignalAtImport())
"""
"""A `sitecustomize` module that sends signals when a module is imported."""
FAILING_PART = """
import sys
from jasminecrank.mesh import coordination
from jasminecrank.mesh import transport
from jasminecrank.mesh.daemon import __main__
from jasminecrank.mesh.daemon import _node


def fail(*arguments):
    raise RuntimeError("made to fail")


{part} = fail
__main__.main()
"""
SLOW_END = """
import atexit
import time
from jasminecrank.mesh.daemon import __main__

atexit.register(time.sleep, {end_s})
__main__.main()
"""
TAKEN_PORT = """
import socket
import sys
import threading


class Socket(socket.socket):
    taken = False

    def listen(self, *arguments):
        address = self.getsockname()
        if address[1] == {port} and not Socket.taken:
            Socket.taken = True
            other = socket.create_server(address)
            threading.Timer({held_s}, other.close).start()
        super().listen(*arguments)


from jasminecrank.mesh.daemon import __main__
socket.socket = Socket
__main__.main()
"""
"""A program in which another socket listens at a port first, for a time."""
SETTINGS = """
node = "host-0"
service = "ledger"
ip = "{host}"
zone = "belt-a"
appAddr = "{host}:{server}"
innerPorts = [{links}, {metrics}]
bounds = ["drainMs=2000", "graceS={grace}"]
[zones]
belt-a = "savo"
[listen]
outbound = "{host}:{callers}"
ready = "{host}:{ready}"
[platform]
address = "{host}:{store}"
"""


class NodeProcess:
    """A node process with a store and a backend server in this process."""

    def __init__(self, folder: pathlib.Path) -> None:
        self.folder = folder
        self.settings_path = folder / "boot.toml"
        self.log_path = folder / "node.log"
        self.ports = fleet.free_ports(
            [HOST], ["callers", "ready", "server", "links", "store"]
        )
        self.ports["metrics"] = self.ports["links"] + 1
        self.environment: dict[str, str] = {}
        self.max_body_bytes: int | None = None
        self.store = fleet.Store()
        self.server = fleet.Server("i-0")
        self.process = None

    async def open_fleet(self):
        """Start a store with a table and a server."""
        self.ports["store"] = await self.store.listen(HOST)
        await self.server.listen(HOST, self.ports["server"])
        rows = {"team-0": fleet.TeamRow(("k1",), 100)}
        table = fleet.table_entry(
            1, 5000, rows, max_body_bytes=self.max_body_bytes
        )
        await self.store.put("op/config", table)
        await self.store.put(
            "servers/i-0",
            fleet.server_entry(
                f"{HOST}:{self.ports['server']}", "belt-a", 4, "ready", 0
            ),
        )

    def settings(self, grace="6"):
        """Return the text of the settings file."""
        return SETTINGS.format(host=HOST, grace=grace, **self.ports)

    async def start(
        self,
        arguments=(),
        program=sys.executable,
        pass_fds=(),
    ):
        """Start the process, as on the platform without arguments."""
        if not arguments:
            program, *arguments = fleet.node_command()
        environment = {
            "PATH": os.environ["PATH"],
            "PYTHONPATH": os.pathsep.join([str(self.folder), *sys.path]),
            "JASMINECRANK_CONFIG": str(self.settings_path),
            **self.environment,
        }
        with self.log_path.open("wb") as output:
            # A process of asyncio may lose its status when it gets a signal
            # at its end: both the signal and the watcher wait for it.
            self.process = subprocess.Popen(
                [program, *arguments],
                pass_fds=pass_fds,
                env=environment,
                stdin=subprocess.DEVNULL,
                stdout=output,
                stderr=output,
            )

    def send(self, number):
        """Send a signal unless the process has ended."""
        self.process.send_signal(number)

    def handles_signals(self):
        """Return whether the process has installed its handlers."""
        status = pathlib.Path(f"/proc/{self.process.pid}/status").read_text()
        caught = next(
            line.split()[1]
            for line in status.splitlines()
            if line.startswith("SigCgt:")
        )
        return bool(int(caught, 16) >> (signal.SIGTERM - 1) & 1)

    async def until(self, condition, timeout_s=START_TIMEOUT_S):
        """Wait until a condition holds; fail if the process ends before."""
        async with asyncio.timeout(timeout_s):
            while not await condition():
                assert self.process.poll() is None, self.describe()
                await asyncio.sleep(CHECK_PERIOD_S)

    async def is_open(self, port="callers"):
        """Return whether one of the ports accepts connections."""
        try:
            _, writer = await asyncio.open_connection(HOST, self.ports[port])
        except OSError:
            return False
        writer.transport.abort()
        return True

    async def is_serving(self):
        """Return whether a request gets the answer of the server."""
        caller = fleet.Caller(HOST, self.ports["callers"])
        try:
            response = await caller.request("GET", "/open/1", None)
        except OSError:
            return False
        caller.close()
        return response.status == 200

    async def has_metrics(self):
        """Return whether the process answers at its metrics port."""
        caller = fleet.Caller(HOST, self.ports["metrics"])
        try:
            response = await caller.request("GET", "/metrics", None)
        except OSError:
            return False
        caller.close()
        return response.status == 200

    async def ended(self, timeout_s=STOP_TIMEOUT_S):
        """Return the status with which the process ends."""
        return await asyncio.to_thread(self.process.wait, timeout_s)

    def describe(self):
        """Return the status and the output, for messages of failures."""
        return f"{self.process.returncode}: {self.log_path.read_text()}"

    async def close(self):
        """Kill the process if it runs and close the sockets."""
        if self.process is not None:
            self.send(signal.SIGKILL)
            self.process.wait()
        self.server.close()
        self.store.close()


def open_node(context):
    """Create a node process that is ended with the scenario."""
    context.exit_stack = contextlib.ExitStack()
    folder = context.exit_stack.enter_context(tempfile.TemporaryDirectory())
    context.runner = context.exit_stack.enter_context(asyncio.Runner())
    context.node = NodeProcess(pathlib.Path(folder))

    async def close():
        await context.node.close()
        await asyncio.sleep(0)

    context.exit_stack.callback(lambda: context.runner.run(close()))


@given("a node process that is not started yet")
def step_node(context):
    open_node(context)
    context.node.settings_path.write_text(context.node.settings())


@given("a node process that serves a call of {run_s:g} s")
def step_serving(context, run_s):
    start_serving(context, run_s)


@given("a node process whose {part} fails serves a call of {run_s:g} s")
def step_failing(context, part, run_s):
    script = FAILING_PART.format(part=part)
    start_serving(context, run_s, ("-c", script))


@given(
    "a node process whose interpreter takes {end_s:g} s to end serves a call "
    "of {run_s:g} s"
)
def step_slow_end(context, end_s, run_s):
    script = SLOW_END.format(end_s=end_s)
    start_serving(context, run_s, ("-c", script))


@given(
    "a node process with {grace} s to stop that serves a call of {run_s:g} s"
)
def step_serving_with_grace(context, grace, run_s):
    start_serving(context, run_s, grace=grace)


def start_serving(context, run_s, arguments=(), grace="6"):
    """Start a node and send it a call that is running when this returns."""
    open_node(context)
    node = context.node

    async def act():
        await node.open_fleet()
        node.settings_path.write_text(node.settings(grace))
        await node.start(arguments)
        await node.until(node.is_serving)
        node.server.run_s = run_s
        caller = fleet.Caller(HOST, node.ports["callers"])
        await caller.send("POST", "/book/1", deadline_ms=4000)
        runs = node.server.runs_by_request_id
        while not runs[caller.last_request_id]:
            await asyncio.sleep(CHECK_PERIOD_S)
        return caller

    context.caller = context.runner.run(act())
    context.exit_stack.callback(context.caller.close)


@when("it gets {name} during the call")
def step_signal_in_call(context, name):
    async def act():
        context.node.send(getattr(signal, name))
        context.response = await context.caller.receive()

    context.runner.run(act())


@when(
    "it is paused, gets SIGTERM, goes on after {pause_s:g} s, and is killed "
    "{kill_s:g} s after SIGTERM"
)
def step_paused_in_stop(context, pause_s, kill_s):
    node = context.node

    async def act():
        node.send(signal.SIGSTOP)
        node.send(signal.SIGTERM)
        await asyncio.sleep(pause_s)
        node.send(signal.SIGCONT)
        asyncio.get_running_loop().call_later(
            kill_s - pause_s, node.send, signal.SIGKILL
        )
        context.response = await context.caller.receive()

    context.runner.run(act())


@when("it gets {names} while it imports {module}")
def step_signal_at_import(context, names, module):
    node = context.node
    (node.folder / "sitecustomize.py").write_text(SIGNAL_HOOK)
    node.environment = {"SIGNAL_AT_IMPORT": module, "SIGNALS": names}
    # Only the site module imports the hook.
    context.runner.run(node.start(("-m", "jasminecrank.mesh.daemon")))


def _empty_program_cpu_s():
    """Return the processor time of a program that does nothing."""
    before = resource.getrusage(resource.RUSAGE_CHILDREN)
    subprocess.run([sys.executable, "-S", "-c", "pass"], check=True)
    after = resource.getrusage(resource.RUSAGE_CHILDREN)
    return sum(after[:2]) - sum(before[:2])


@when("it gets {name} once it has run for as long as an empty program takes")
def step_signal_by_cpu(context, name):
    node = context.node
    cpu_ns = 1e9 * _empty_program_cpu_s()
    context.runner.run(node.start())
    path = pathlib.Path(f"/proc/{node.process.pid}/schedstat")
    while int(path.read_text().split()[0]) < cpu_ns:
        time.sleep(0.0005)
    node.send(getattr(signal, name))


@when("it is started, and gets {name} after {after_s:g} s")
def step_signal_later(context, name, after_s):
    node = context.node

    async def act():
        await node.start()
        await asyncio.sleep(after_s)
        node.send(getattr(signal, name))

    context.runner.run(act())


@when("it gets {names} {after_ms:d} ms after it handles signals")
def step_signal_after(context, names, after_ms):
    node = context.node

    async def act():
        await node.start()
        async with asyncio.timeout(START_TIMEOUT_S):
            while not node.handles_signals():
                await asyncio.sleep(0.001)
        await asyncio.sleep(after_ms / 1000)
        for name in names.split():
            node.send(getattr(signal, name))

    context.runner.run(act())


@when("it gets {names}, and again until it has ended")
def step_series(context, names):
    node = context.node

    async def repeat():
        while node.process.poll() is None:
            for name in names.split():
                node.send(getattr(signal, name))
                await asyncio.sleep(0.001)

    async def act():
        series = asyncio.create_task(repeat())
        context.response = await context.caller.receive()
        await node.ended()
        await series

    context.runner.run(act())


@given("its settings file is {state}")
def step_settings_file(context, state):
    path = context.node.settings_path
    whole = context.node.settings()
    match state:
        case "missing":
            path.unlink()
        case "empty":
            path.write_text("")
        case "half written":
            path.write_text(whole[: len(whole) // 2])
        case _:
            path.write_text(f"{state}\n{whole}")


@when("it is started, and the file is complete after {after_s:g} s")
def step_file_complete(context, after_s):
    node = context.node

    async def act():
        await node.start()
        await asyncio.sleep(after_s)
        node.settings_path.write_text(node.settings())

    context.runner.run(act())


@when("its bound of the grace period becomes {value} and it gets {names}")
def step_changed_grace(context, value, names):
    node = context.node
    node.settings_path.write_text(node.settings(grace=value))

    async def act():
        for name in names.split():
            node.send(getattr(signal, name))
            await asyncio.sleep(0.1)
        context.response = await context.caller.receive()
        await node.ended()

    context.runner.run(act())


@given("its {port} port is held")
def step_port_held(context, port):
    held = socket.create_server((HOST, context.node.ports[port]))
    context.held = context.exit_stack.enter_context(held)


@given("its callers address is {host}")
def step_callers_address(context, host):
    node = context.node
    text = node.settings().replace(
        f'outbound = "{HOST}:', f'outbound = "{host}:'
    )
    node.settings_path.write_text(text)


@given("its grace period is {grace_s} s")
def step_grace(context, grace_s):
    node = context.node
    node.settings_path.write_text(node.settings(grace=grace_s))


@when("it is started, and the port is let go after {after_s:g} s")
def step_let_go(context, after_s):
    async def act():
        await context.node.start()
        await asyncio.sleep(after_s)
        context.held.close()

    context.runner.run(act())


@when("it is started, and gets {name} once it waits for the port")
def step_signal_at_port(context, name):
    step_waits_for_port(context)
    context.node.send(getattr(signal, name))


@when("it is started, and waits for the port")
def step_waits_for_port(context):
    node = context.node

    async def is_waiting():
        return "port-held" in node.log_path.read_text()

    async def act():
        await node.start()
        await node.until(is_waiting)

    context.runner.run(act())


@when(
    "it is started, and its {port} port is taken for {held_s:g} s once it is "
    "bound"
)
def step_port_taken(context, port, held_s):
    node = context.node
    script = TAKEN_PORT.format(port=node.ports[port], held_s=held_s)
    context.runner.run(node.start(("-c", script)))


@when("it is started twice, and the port is let go")
def step_started_twice(context):
    node = context.node
    other = copy.copy(node)
    other.log_path = node.folder / "other.log"
    context.processes = [node, other]

    async def is_waiting(process):
        return "port-held" in process.log_path.read_text()

    async def act():
        for process in context.processes:
            await process.start()
            context.exit_stack.callback(process.process.wait)
            context.exit_stack.callback(process.process.kill)
            await process.until(lambda process=process: is_waiting(process))

    context.runner.run(act())
    context.held.close()


@then("one process serves")
def step_one_serves(context):
    async def act():
        await context.node.until(context.node.is_open)
        # The other one tries several times in this time.
        await asyncio.sleep(0.5)

    context.runner.run(act())
    started = [
        process
        for process in context.processes
        if '"event": "start"' in process.log_path.read_text()
    ]
    assert len(started) == 1, [
        process.describe() for process in context.processes
    ]
    context.serving = started[0]


@then("after a SIGTERM to it the other one has opened all ports")
def step_other_serves(context):
    context.processes.remove(context.serving)
    other = context.processes[0]

    async def act():
        context.serving.send(signal.SIGTERM)
        await context.serving.ended()
        for port in ("callers", "links", "ready", "metrics"):
            await other.until(lambda port=port: other.is_open(port))

    context.runner.run(act())


@then("its ports {names} are closed")
def step_ports_closed(context, names):
    context.others = names.split(", ")

    async def act():
        return [
            name for name in context.others if await context.node.is_open(name)
        ]

    opened = context.runner.run(act())
    assert not opened, opened


@then("they are open once the port is let go")
def step_ports_open(context):
    context.held.close()

    async def act():
        for name in context.others:
            await context.node.until(
                lambda name=name: context.node.is_open(name)
            )

    context.runner.run(act())


@when("it is started with a standard output that is {state}")
def step_odd_output(context, state):
    node = context.node
    reader, writer = os.pipe()
    context.exit_stack.callback(os.close, writer)
    redirect = f"os.dup2({writer}, 1)"
    match state:
        case "closed":
            os.close(reader)
            redirect = "os.close(1)"
        case "closed, like the others":
            os.close(reader)
            redirect = "os.close(0); os.close(1); os.close(2)"
        case "a pipe without a reader":
            os.close(reader)
        case "a full pipe":
            context.exit_stack.callback(os.close, reader)
            os.set_blocking(writer, False)
            with contextlib.suppress(BlockingIOError):
                while True:
                    os.write(writer, bytes(4096))
    arguments = fleet.node_command()
    # A shell can't redirect to descriptors above 9.
    code = f"import os; {redirect}; os.execv({arguments[0]!r}, {arguments!r})"
    context.runner.run(
        node.start(("-c", code), program=sys.executable, pass_fds=(writer,))
    )


@when("it is started by a program that takes {size:d} MB")
def step_large_parent(context, size):
    arguments = fleet.node_command()
    code = (
        f"import os; taken = b'x' * {size}_000_000; "
        f"os.execv({arguments[0]!r}, {arguments!r})"
    )
    context.runner.run(
        context.node.start(("-c", code), program=sys.executable)
    )


@then("its metrics report a peak of at most {size:d} MB")
def step_peak(context, size):
    node = context.node

    async def act():
        caller = fleet.Caller(HOST, node.ports["metrics"])
        response = await caller.request("GET", "/metrics", None)
        caller.close()
        return response.body.decode()

    lines = context.runner.run(act()).splitlines()
    (peak,) = (
        float(line.split()[1])
        for line in lines
        if "peak_memory_bytes" in line and not line.startswith("#")
    )
    assert 0 < peak <= size * 1_000_000, peak


@then("its standard output is no socket of its own")
def step_output_kind(context):
    target = os.readlink(f"/proc/{context.node.process.pid}/fd/1")
    assert target == os.devnull or target.startswith("pipe:"), target


@when("it is started")
def step_started(context):
    context.runner.run(context.node.start())


@then("it has written {text} {count:d} times")
def step_written(context, text, count):
    output = context.node.log_path.read_text()
    for name, port in context.node.ports.items():
        text = text.replace(f"{{{name}}}", str(port))
    assert output.count(text) == count, output


@then("its error line contains {texts}")
def step_error_line(context, texts):
    node = context.node
    lines = [
        line
        for line in node.log_path.read_text().splitlines()
        if not line.startswith("{")
    ]
    assert len(lines) == 1, lines
    for text in texts.format(**node.ports).split(" and "):
        assert text in lines[0], (text, lines)


@then("it serves")
def step_opens_ports(context):
    node = context.node

    async def has_opened():
        # Another socket may accept connections at the port before.
        started = '"event": "start"' in node.log_path.read_text()
        return started and await node.is_open()

    context.runner.run(node.until(has_opened))


@then("it serves without a log")
def step_serves_without_log(context):
    node = context.node

    async def has_opened():
        return await node.is_open() and await node.has_metrics()

    context.runner.run(node.until(has_opened))


@then("it serves, and ends with status {status:d} after SIGTERM")
def step_serves(context, status):
    node = context.node

    async def act():
        await node.until(node.is_open)
        node.send(signal.SIGTERM)
        return await node.ended()

    ended = context.runner.run(act())
    assert ended == status, node.describe()


@then("it ends with status {status:d} within {within_s:g} s")
def step_ends(context, status, within_s):
    started_s = time.monotonic()
    ended = context.runner.run(context.node.ended())
    elapsed_s = time.monotonic() - started_s
    assert ended == status, context.node.describe()
    assert elapsed_s < within_s, elapsed_s


@then("the call gets {status:d}")
def step_call_gets(context, status):
    assert context.response.status == status, (
        context.response.status,
        context.node.describe(),
    )


@then("any series of signals after that ends a node with status {status:d}")
def step_drawn_series(context, status):
    signals = strategies.sampled_from((signal.SIGHUP, signal.SIGTERM))
    gaps_ms = strategies.integers(0, 120)

    @hypothesis.settings(max_examples=SERIES_COUNT)
    @hypothesis.given(
        strategies.lists(
            strategies.tuples(signals, gaps_ms), min_size=4, max_size=12
        )
    )
    def play(series):
        context.runner.run(_play_series(context.node, series, status))

    play()


async def _play_series(node, series, status):
    await node.start()
    async with asyncio.timeout(START_TIMEOUT_S):
        while not node.handles_signals():
            await asyncio.sleep(0.001)
    for number, gap_ms in series:
        await asyncio.sleep(gap_ms / 1000)
        node.send(number)
    node.send(signal.SIGTERM)
    ended = await node.ended()
    assert ended == status, (series, node.describe())
