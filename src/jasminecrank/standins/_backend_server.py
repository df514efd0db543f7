"""Stand-in backend server with slots, cold start and run counts."""

from collections import Counter
from collections.abc import Callable
from collections.abc import Iterable
from dataclasses import dataclass
import json
import threading
import time
import typing

from cheroot import wsgi

from jasminecrank import const

StartResponse = Callable[[str, list[tuple[str, str]]], object]


@dataclass(slots=True, frozen=True)
class BackendServerSettings:
    """Listening address, capacity and service time of the stand-in."""

    address: str
    port: int
    slots: int
    cold_slots: int
    ramp_s: float
    service_time_s: float
    threads: int


class BackendServerStandIn:
    """Answers calls and records overloads, duplicate runs and leaked keys."""

    def __init__(self, settings: BackendServerSettings) -> None:
        self._settings = settings
        self._condition = threading.Condition()
        self._started_s = time.monotonic()
        self._started_at_ms = time.time_ns() // 1_000_000
        self._in_use = 0
        self._draining = False
        self._runs_by_request: Counter[str] = Counter()
        self._overloads = 0
        self._keys_seen = 0
        self._server = wsgi.Server(
            (settings.address, settings.port),
            self._answer,
            numthreads=settings.threads,
            request_queue_size=256,
            timeout=60,
        )

    def start(self) -> int:
        """Start serving on a background thread and return the bound port."""
        self._server.prepare()
        threading.Thread(
            target=self._server.serve, name="backend", daemon=True
        ).start()
        port: int = self._server.bind_addr[1]
        return port

    def stop(self) -> None:
        """Shut the HTTP server down."""
        self._server.stop()

    def restart_cold_start(self) -> None:
        """Begin a new cold start, as a restarted server would."""
        with self._condition:
            self._started_s = time.monotonic()
            self._started_at_ms = time.time_ns() // 1_000_000

    def concurrency_limit(self) -> int:
        """Return how many concurrent calls the server can run now.

        The limit rises linearly from cold_slots to slots during the ramp.
        """
        settings = self._settings
        warm_fraction = 1.0
        if settings.ramp_s > 0:
            age_s = time.monotonic() - self._started_s
            warm_fraction = min(1.0, age_s / settings.ramp_s)
        warm_slots = (settings.slots - settings.cold_slots) * warm_fraction
        return settings.cold_slots + int(warm_slots)

    def _answer(
        self, environ: dict[str, typing.Any], start_response: StartResponse
    ) -> Iterable[bytes]:
        length = int(environ.get("CONTENT_LENGTH") or 0)
        body = environ["wsgi.input"].read(length) if length else b""
        path = environ["PATH_INFO"]
        request_id = environ.get("HTTP_X_REQUEST_ID", "")
        match path:
            case "/health":
                answer = self._health()
            case "/audit":
                answer = self._audit()
            case "/runs":
                answer = self._runs()
            case "/control/fall-cold":
                self.restart_cold_start()
                answer = {}
            case _:
                answer = self._run(environ, request_id, body)
        payload = json.dumps(answer, sort_keys=True).encode()
        headers = [
            ("Content-Type", "application/json"),
            ("Content-Length", str(len(payload))),
        ]
        if request_id:
            headers.append((const.HEADER_REQUEST_ID, request_id))
        start_response("200 OK", headers)
        return [payload]

    def _run(
        self, environ: dict[str, typing.Any], request_id: str, body: bytes
    ) -> dict[str, object]:
        with self._condition:
            self._in_use += 1
            self._runs_by_request[request_id] += 1
            if self._in_use > self.concurrency_limit():
                self._overloads += 1
            if "HTTP_AUTHORIZATION" in environ:
                self._keys_seen += 1
        if self._settings.service_time_s > 0:
            time.sleep(self._settings.service_time_s)
        with self._condition:
            self._in_use -= 1
        return {
            "path": environ["PATH_INFO"],
            "request_id": request_id,
            "team": environ.get("HTTP_X_TEAM", ""),
            "body_bytes": len(body),
        }

    def _health(self) -> dict[str, object]:
        with self._condition:
            return {
                "started_at_ms": self._started_at_ms,
                "draining": self._draining,
                "load": self._in_use / max(1, self._settings.slots),
            }

    def _runs(self) -> dict[str, object]:
        with self._condition:
            return dict(self._runs_by_request)

    def _audit(self) -> dict[str, object]:
        with self._condition:
            return {
                "runs": sum(self._runs_by_request.values()),
                "run_more_than_once": sorted(
                    request_id
                    for request_id, runs in self._runs_by_request.items()
                    if runs > 1
                ),
                "overloads": self._overloads,
                "keys_seen": self._keys_seen,
            }
