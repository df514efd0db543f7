"""Backend server of a run, with large requests and calls of its own."""

import asyncio
from collections.abc import Iterator
import random
import typing

from jasminecrank.standins import fleet
from jasminecrank.standins.soak import observed

TIMEOUT_MS = 1_000
"""Limit of the usual routes."""
BULK_TIMEOUT_MS = 15_000
"""Limit of the routes on which bodies and answers are large and slow."""
MAX_BODY_BYTES = 64 * 1024 * 1024
"""Limit of the table, the platform's maxBodyBytes."""
_STATUS_BY_BEHAVIOUR = {
    fleet.Behaviour.SERVE: 200,
    fleet.Behaviour.FAIL: 500,
    fleet.Behaviour.TIMED_OUT: 504,
}
CALLS = 2
"""Calls that a run on the route `calls` makes at the same time."""
MAX_RUN_S = 4.9
_ROUTES = (
    ("files", "/files/", "safe", BULK_TIMEOUT_MS),
    ("upload", "/upload/", "unsafe", BULK_TIMEOUT_MS),
    ("calls", "/calls/", "safe", TIMEOUT_MS),
    ("called", "/called/", "safe", 250),
    ("shift", "/shift/", "unsafe", 6_000),
)
_TIMEOUT_MS_BY_PATH = {path: timeout for _, path, _, timeout in _ROUTES}


def timeout_ms(target: str) -> int:
    """Return the limit of the route of a request."""
    path = f"/{target.split('/')[1]}/"
    return _TIMEOUT_MS_BY_PATH.get(path, TIMEOUT_MS)


def draw_run_times(rng: random.Random) -> Iterator[float]:
    """Yield run times that are short for some requests and then long."""
    while True:
        for _ in range(rng.randint(5, 30)):
            yield 0.02
        for _ in range(rng.randint(1, 5)):
            yield rng.uniform(0.5, MAX_RUN_S)


def encode_answer(request_id: str, target: str) -> bytes:
    """Return the answer to a request, of the size that its path names."""
    body = f"body of {request_id}".encode()
    if not target.startswith(tuple(_TIMEOUT_MS_BY_PATH)):
        return body
    size = int(target.rpartition("/")[2])
    return (body * (size // len(body) + 1))[: max(size, len(body))]


def more_routes(
    route: dict[str, typing.Any],
) -> Iterator[dict[str, typing.Any]]:
    """Yield the routes of unusual requests, made from another route."""
    for name, prefix, kind, timeout in _ROUTES:
        yield {
            "typeUrl": "routes",
            "metadata": {"name": name},
            "spec": {
                **route["spec"],
                "prefix": prefix,
                "kind": kind,
                "timeoutMs": timeout,
                "public": True,
            },
        }


def added_routes(
    route: dict[str, typing.Any], count: int
) -> Iterator[dict[str, typing.Any]]:
    """Yield routes that the first tables do not have."""
    for number in range(1, count + 1):
        yield {
            "typeUrl": "routes",
            "metadata": {"name": f"added-{number}"},
            "spec": {
                **route["spec"],
                "prefix": f"/added-{number}/",
                "public": True,
            },
        }


class SoakServer(fleet.Server):
    """Backend server that reports each request it starts to run."""

    def __init__(
        self,
        number: int,
        server_id: str,
        records: observed.Records,
        now_s: typing.Callable[[], float],
    ) -> None:
        super().__init__(server_id)
        self._number = number
        self._records = records
        self._now_s = now_s
        self._cold_until_s = 0.0
        self._run_times = draw_run_times(random.Random(f"run times {number}"))
        self.call: typing.Callable[[], typing.Awaitable[bool]] | None = None
        """Makes a call by way of the server's node, and tells its success."""

    @property
    def cold_left_s(self) -> float:
        """Return the seconds for which the server stays cold."""
        now_s = asyncio.get_running_loop().time()
        return max(0.0, self._cold_until_s - now_s)

    def restart(self, server_id: str, cold_s: float) -> None:
        """Take on a new server id and start cold."""
        self.server_id = server_id
        self._cold_until_s = asyncio.get_running_loop().time() + cold_s

    def close(self) -> None:
        """Simulate a crash, and record it."""
        self._records.server_ends.append((self._number, self._now_s()))
        super().close()

    def _answer_body(self, request_id: str, request: typing.Any) -> bytes:
        return encode_answer(request_id, request.target)

    def _encode_health(self) -> bytes:
        self.cold_s = self.cold_left_s
        return super()._encode_health()

    async def _handle(
        self,
        request: typing.Any,
        writer: asyncio.StreamWriter,
        is_kept: bool,
    ) -> bool:
        request_id = request.headers.get("request-id", "")
        received_s_by_id = self._records.received_s_by_request_id
        received_s_by_id.setdefault(request_id, []).append(self._now_s())
        return await super()._handle(request, writer, is_kept)

    async def _run(
        self, request: typing.Any, behaviour: fleet.Behaviour
    ) -> fleet.Behaviour:
        arrival = self._make_arrival(request.headers)
        if behaviour is not fleet.Behaviour.HANG:
            self._records.arrivals.append(arrival)
        try:
            behaviour = await super()._run(request, behaviour)
            if request.target.startswith("/calls/") and self.call is not None:
                calls = (self.call() for _ in range(CALLS))
                if not all(await asyncio.gather(*calls)):
                    behaviour = fleet.Behaviour.FAIL
        except asyncio.CancelledError:
            arrival.ended_s = self._now_s()
            unfinished_s_by_id = self._records.unfinished_s_by_id
            unfinished_s_by_id[arrival.request_id] = arrival.ended_s
            raise
        arrival.ended_s = self._now_s()
        # Bytes left of an earlier answer spoil this one.
        if not self._deferred_response:
            arrival.status = _STATUS_BY_BEHAVIOUR.get(behaviour, 0)
        arrival.broken_off = not arrival.status
        self.requests.clear()
        return behaviour

    def _run_time_s(self, request: typing.Any) -> float:
        if request.target.startswith("/shift/"):
            return next(self._run_times)
        return super()._run_time_s(request)

    def _make_arrival(self, headers: dict[str, str]) -> observed.Arrival:
        return observed.Arrival(
            headers.get("request-id", ""),
            self._number,
            self._now_s(),
            headers.get("tenant", ""),
            headers.get("caller-service", ""),
            "authorization" in headers,
            self.cold_left_s > 0.0,
        )
