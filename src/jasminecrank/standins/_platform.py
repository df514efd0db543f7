"""Stand-in for the platform's configuration service: read and watch."""

from collections.abc import Callable
from collections.abc import Iterable
import json
import pathlib
import threading
import typing
from urllib import parse

from cheroot import wsgi

from jasminecrank import protocol
from jasminecrank import state

_WATCH_MAX_S = 30.0
StartResponse = Callable[[str, list[tuple[str, str]]], object]


class PlatformStandIn:
    """Serves published documents over a read-only HTTP interface."""

    def __init__(self, address: str, port: int, threads: int) -> None:
        self._condition = threading.Condition()
        self._by_name: dict[state.DocumentName, bytes] = {}
        self._number_by_name: dict[state.DocumentName, int] = {}
        self._available = True
        self.calls = 0
        self._server = wsgi.Server(
            (address, port),
            self._answer,
            numthreads=threads,
            request_queue_size=256,
        )

    def start(self) -> int:
        """Start serving on a background thread and return the bound port."""
        self._server.prepare()
        threading.Thread(
            target=self._server.serve, name="platform", daemon=True
        ).start()
        port: int = self._server.bind_addr[1]
        return port

    def stop(self) -> None:
        """Stop serving and end pending watches."""
        self.set_available(False)
        self._server.stop()

    def publish(self, document: state.Document) -> None:
        """Publish a document in the form that the platform serves."""
        self.publish_bytes(
            document.name,
            document.version.number,
            protocol.encode_published(document),
        )

    def publish_bytes(
        self, name: state.DocumentName, number: int, payload: bytes
    ) -> None:
        """Publish a payload without validation."""
        with self._condition:
            self._by_name[name] = payload
            self._number_by_name[name] = number
            self._condition.notify_all()

    def publish_directory(self, directory: pathlib.Path) -> None:
        """Publish every compiled document in a directory."""
        for name in state.DocumentName:
            path = directory / f"{name.value}.json"
            if path.exists():
                payload = path.read_bytes()
                number = json.loads(payload)["number"]
                self.publish_bytes(name, number, payload)

    def set_available(self, available: bool) -> None:
        """Start or end an outage; requests get status 503 during one."""
        with self._condition:
            self._available = available
            self._condition.notify_all()

    def _answer(
        self, environ: dict[str, typing.Any], start_response: StartResponse
    ) -> Iterable[bytes]:
        self.calls += 1
        status, body = self._route(
            environ["REQUEST_METHOD"],
            environ["PATH_INFO"],
            environ["QUERY_STRING"],
        )
        start_response(
            status,
            [
                ("Content-Type", "application/json"),
                ("Content-Length", str(len(body))),
            ],
        )
        return [body]

    def _route(self, method: str, path: str, query: str) -> tuple[str, bytes]:
        if not self._available:
            return "503 Service Unavailable", b"{}"
        if method != "GET":
            return "405 Method Not Allowed", b"{}"
        if path == "/v1/watch":
            return self._watch(dict(parse.parse_qsl(query)))
        name = path.removeprefix("/v1/documents/")
        with self._condition:
            for known, payload in self._by_name.items():
                if known.value == name:
                    return "200 OK", payload
        return "404 Not Found", b"{}"

    def _watch(self, query: dict[str, str]) -> tuple[str, bytes]:
        wait_s = min(_WATCH_MAX_S, float(query.get("wait_s", "0")))
        with self._condition:
            self._condition.wait_for(
                lambda: not self._available or self._changed(query), wait_s
            )
            if not self._available:
                return "503 Service Unavailable", b"{}"
            body = json.dumps({"changed": self._changed(query)})
        return "200 OK", body.encode()

    def _changed(self, query: dict[str, str]) -> list[str]:
        return [
            name.value
            for name, number in self._number_by_name.items()
            if number > int(query.get(name.value, "0"))
        ]
