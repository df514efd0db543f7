"""Deployment on loopback of stand-ins and real node processes."""

from collections.abc import Iterator
from collections.abc import Mapping
import contextlib
import dataclasses
from dataclasses import dataclass
import json
import os
import pathlib
import signal
import socket
import subprocess
import sys
import time
import typing

import urllib3

from jasminecrank import const
from jasminecrank import exceptions
from jasminecrank import operators
from jasminecrank import state
from jasminecrank.standins import _platform

_START_TIMEOUT_S = 20.0
_STOP_TIMEOUT_S = 35.0
_POLL_S = 0.02
_PORTS_PER_NODE = 3


@dataclass(slots=True)
class ServerProcess:
    """Process and port of a stand-in backend server."""

    process: subprocess.Popen[str]
    port: int


@dataclass(slots=True)
class NodeProcess:
    """Process, log file and bound ports of a node."""

    process: subprocess.Popen[str]
    log_path: pathlib.Path
    log_offset: int
    call_port: int
    peer_port: int
    admin_port: int


class Deployment:
    """Starts and stops the processes and publishes the documents."""

    def __init__(
        self, files: operators.TableFiles, work: pathlib.Path
    ) -> None:
        self._files = files
        self._work = work
        self._numbers = dict.fromkeys(state.DocumentName, 0)
        self.rows_by_name: dict[state.DocumentName, tuple[state.Row, ...]] = (
            dict(files.rows_by_name)
        )
        self.platform = _platform.PlatformStandIn("127.0.0.1", 0, 96)
        self.platform_port = 0
        self.name = ""
        self.node_python_path = ""
        self.server_by_host: dict[str, ServerProcess] = {}
        self.node_by_host: dict[str, NodeProcess] = {}
        self._reserved: list[socket.socket] = []

    @classmethod
    @contextlib.contextmanager
    def from_directory(
        cls,
        directory: pathlib.Path,
        work: pathlib.Path,
        service_time_ms: float = 5.0,
        ramp_s: float = 0.0,
        node_python_path: str = "",
    ) -> Iterator["Deployment"]:
        """Start a deployment from table files and stop it on exit.

        With node_python_path the nodes import the package from that path,
        for example the package of an earlier commit.
        """
        files = operators.TableFiles.from_directory(directory)
        with cls.from_files(
            files,
            directory.name,
            work,
            service_time_ms,
            ramp_s,
            node_python_path,
        ) as deployment:
            yield deployment

    @classmethod
    @contextlib.contextmanager
    def from_files(
        cls,
        files: operators.TableFiles,
        name: str,
        work: pathlib.Path,
        service_time_ms: float = 5.0,
        ramp_s: float = 0.0,
        node_python_path: str = "",
    ) -> Iterator["Deployment"]:
        """Start a deployment from parsed table files and stop it on exit."""
        if files.problems:
            raise exceptions.TableError(str(files.problems[0]))
        deployment = cls(files, work)
        deployment.name = name
        deployment.node_python_path = node_python_path
        try:
            deployment.start(service_time_ms, ramp_s)
            yield deployment
        finally:
            deployment.stop()

    def hosts(self) -> tuple[state.HostRow, ...]:
        """Return the rows of the current host list."""
        rows = self.rows_by_name[state.DocumentName.HOSTS]
        return tuple(row for row in rows if isinstance(row, state.HostRow))

    def start(self, service_time_ms: float, ramp_s: float) -> None:
        """Start the stand-ins and nodes and publish all documents.

        The host list comes last because it holds the bound ports.
        """
        self.platform_port = self.platform.start()
        for name in state.DocumentName:
            if name is not state.DocumentName.HOSTS:
                self.publish(name, self.rows_by_name[name])
        hosts = self.hosts()
        for row in hosts:
            self.server_by_host[row.host] = self.start_server(
                row, service_time_ms, ramp_s
            )
        for row in hosts:
            self.node_by_host[row.host] = self.spawn_node(row)
        for row in hosts:
            self._await_ports(self.node_by_host[row.host])
        self.publish_hosts(hosts)

    def stop(self) -> None:
        """Terminate all processes; kill those that exceed the timeout."""
        processes = [node.process for node in self.node_by_host.values()]
        processes += [one.process for one in self.server_by_host.values()]
        for process in processes:
            if process.poll() is None:
                process.send_signal(signal.SIGCONT)
                process.terminate()
        for process in processes:
            try:
                process.wait(_STOP_TIMEOUT_S)
            except subprocess.TimeoutExpired:
                process.kill()
                process.wait()
        self.platform.stop()
        for reserved in self._reserved:
            reserved.close()

    def publish(
        self, name: state.DocumentName, rows: tuple[state.Row, ...]
    ) -> state.Document:
        """Publish rows as the next version of a document."""
        self.rows_by_name[name] = rows
        self._numbers[name] += 1
        by_key = {state.row_key(row): state.encode_row(row) for row in rows}
        document = state.build_document(name, self._numbers[name], by_key)
        self.platform.publish(document)
        return document

    def publish_hosts(self, rows: tuple[state.HostRow, ...]) -> state.Document:
        """Publish the host list with the currently bound ports."""
        bound = []
        for row in rows:
            node = self.node_by_host[row.host]
            bound.append(
                dataclasses.replace(
                    row,
                    call_port=node.call_port,
                    peer_port=node.peer_port,
                    admin_port=node.admin_port,
                    server_port=self.server_by_host[row.host].port,
                )
            )
        return self.publish(state.DocumentName.HOSTS, tuple(bound))

    def publish_invalid_table(self) -> int:
        """Publish a table whose limits refer to missing services."""
        name = state.DocumentName.TABLE
        self._numbers[name] += 1
        by_key = {
            state.row_key(row): state.encode_row(row)
            for row in self.rows_by_name[name]
            if not isinstance(row, state.ServiceRow)
        }
        self.platform.publish(
            state.build_document(name, self._numbers[name], by_key)
        )
        return self._numbers[name]

    def restart_node(self, host: str) -> None:
        """Wait for a node to exit and restart it on the same ports."""
        old = self.node_by_host[host]
        old.process.wait(_STOP_TIMEOUT_S)
        row = next(row for row in self.hosts() if row.host == host)
        self.node_by_host[host] = self.spawn_node(row, old)
        self._await_ports(self.node_by_host[host])

    def spawn_node(
        self, row: state.HostRow, ports: NodeProcess | None = None
    ) -> NodeProcess:
        """Start the node process of a host without waiting for its ports."""
        log_path = self._work / f"{row.host}.log"
        arguments = [
            "node",
            f"--host={row.host}",
            f"--data-centre={row.data_centre}",
            f"--source-url=http://127.0.0.1:{self.platform_port}",
            f"--server-port={self.server_by_host[row.host].port}",
            f"--fleet-hosts={len(self.hosts())}",
        ]
        if ports is None:
            call_port, peer_port, admin_port = self._reserve_ports()
        else:
            call_port = ports.call_port
            peer_port = ports.peer_port
            admin_port = ports.admin_port
        arguments += [
            f"--call-port={call_port}",
            f"--peer-port={peer_port}",
            f"--admin-port={admin_port}",
        ]
        environment = dict(os.environ)
        environment[const.FATAL_INVARIANTS_VARIABLE] = "1"
        if self.node_python_path:
            environment["PYTHONPATH"] = self.node_python_path
        with log_path.open("a") as log:
            offset = log.tell()
            process = subprocess.Popen(
                [sys.executable, "-m", "jasminecrank.cli", *arguments],
                stdout=subprocess.DEVNULL,
                stderr=log,
                text=True,
                env=environment,
            )
        return NodeProcess(process, log_path, offset, 0, 0, 0)

    def status(self, host: str) -> Mapping[str, typing.Any] | None:
        """Return the status of a node, or None if it does not answer."""
        node = self.node_by_host[host]
        return _get_json(f"http://127.0.0.1:{node.admin_port}/status")

    def audit(self, host: str) -> Mapping[str, typing.Any]:
        """Return the counters that a stand-in backend server has recorded."""
        port = self.server_by_host[host].port
        return _get_json(f"http://127.0.0.1:{port}/audit") or {}

    def runs(self, host: str) -> Mapping[str, int]:
        """Return the number of runs by request id on a backend server."""
        port = self.server_by_host[host].port
        return _get_json(f"http://127.0.0.1:{port}/runs") or {}

    def await_versions(
        self, document: state.Document, timeout_s: float
    ) -> dict[str, float]:
        """Wait for a version; return the seconds until it took effect by host.

        Hosts that miss the timeout are left out.
        """
        started_s = time.monotonic()
        waiting = set(self.node_by_host)
        by_host: dict[str, float] = {}
        while waiting and time.monotonic() - started_s < timeout_s:
            for host in tuple(waiting):
                status = self.status(host)
                if status is None:
                    continue
                shown = status["versions"][document.name.value]
                if shown == str(document.version) and status["ready"]:
                    by_host[host] = time.monotonic() - started_s
                    waiting.discard(host)
            time.sleep(_POLL_S)
        return by_host

    def await_quotas(self, timeout_s: float) -> set[str]:
        """Wait until quotas are usable; return hosts that miss the timeout."""
        deadline_s = time.monotonic() + timeout_s
        waiting = set(self.node_by_host)
        while waiting and time.monotonic() < deadline_s:
            for host in tuple(waiting):
                if (self.status(host) or {}).get("quota_usable"):
                    waiting.discard(host)
            time.sleep(_POLL_S)
        return waiting

    def _reserve_ports(self) -> tuple[int, ...]:
        """Reserve ports that a node can bind now and after a restart.

        The port of a killed node cannot be bound for a minute unless its
        listener had SO_REUSEADDR, which cheroot sets only if the port is
        given explicitly. Bound sockets that do not listen keep other
        processes from using the ports in the meantime.
        """
        ports = []
        for _ in range(_PORTS_PER_NODE):
            reserved = socket.socket()
            reserved.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
            reserved.bind(("127.0.0.1", 0))
            self._reserved.append(reserved)
            ports.append(reserved.getsockname()[1])
        return tuple(ports)

    def start_server(
        self, row: state.HostRow, service_time_ms: float, ramp_s: float
    ) -> ServerProcess:
        """Start a stand-in backend server with the slots of its service."""
        service = next(
            candidate
            for candidate in self.rows_by_name[state.DocumentName.TABLE]
            if isinstance(candidate, state.ServiceRow)
            and candidate.service == row.service
        )
        process = subprocess.Popen(
            [
                sys.executable,
                "-m",
                "jasminecrank.cli",
                "standin",
                "backend-server",
                f"--slots={service.slots}",
                f"--cold-slots={service.cold_slots}",
                f"--service-time-ms={service_time_ms}",
                f"--ramp-s={ramp_s}",
            ],
            stdout=subprocess.PIPE,
            text=True,
        )
        if process.stdout is None:
            raise exceptions.JasminecrankError("stand-in has no output pipe")
        line = process.stdout.readline()
        return ServerProcess(process, int(json.loads(line)["port"]))

    def _await_ports(self, node: NodeProcess) -> None:
        deadline_s = time.monotonic() + _START_TIMEOUT_S
        while time.monotonic() < deadline_s:
            ports = _read_ports(node)
            if ports.keys() >= {"calls", "peers", "admin"}:
                node.call_port = ports["calls"]
                node.peer_port = ports["peers"]
                node.admin_port = ports["admin"]
                return
            if node.process.poll() is not None:
                break
            time.sleep(_POLL_S)
        raise exceptions.JasminecrankError(
            f"node did not start: {node.log_path.read_text()[-2000:]}"
        )


def _read_ports(node: NodeProcess) -> dict[str, int]:
    ports: dict[str, int] = {}
    text = node.log_path.read_text()[node.log_offset :]
    for line in text.splitlines():
        with contextlib.suppress(ValueError):
            values = json.loads(line)
            if values.get("event") == "listening":
                ports[values["socket"]] = values["port"]
    return ports


def _get_json(url: str) -> Mapping[str, typing.Any] | None:
    try:
        response = urllib3.request("GET", url, timeout=2.0, retries=False)
        values: Mapping[str, typing.Any] = json.loads(response.data)
    except (urllib3.exceptions.HTTPError, ValueError):
        return None
    return values
