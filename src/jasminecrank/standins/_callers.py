"""Load generator process: paced calls over persistent connections.

Run as a module, it reads a JSON plan from standard input and writes a JSON
list of samples to standard output.
"""

from collections.abc import Iterator
from collections.abc import Mapping
from concurrent import futures
import dataclasses
from dataclasses import dataclass
import json
import random
import secrets
import sys
import threading
import time
import typing
import uuid

import urllib3
import urllib3.connection

from jasminecrank import const

_TIMEOUT_S = 8.0
_BODY = b'{"kilograms": 840}'
_CONNECT_FAILED = -1
_CONNECTION_BROKEN = -2
_HTTP_OK = 200


@dataclass(slots=True, frozen=True)
class CallKind:
    """Method and path prefix of the calls that a stream sends."""

    method: str
    path_prefix: str
    booking: bool


@dataclass(slots=True, frozen=True)
class Stream:
    """Calls of one team at a given rate; ports are in order of preference."""

    label: str
    team: str
    key: str
    kinds: tuple[CallKind, ...]
    ports: tuple[int, ...]
    rate: float
    seed: int


@dataclass(slots=True, frozen=True)
class Plan:
    """Streams that one process sends between two monotonic times."""

    start_s: float
    end_s: float
    max_calls: int
    repeat_part: float
    streams: tuple[Stream, ...]


@dataclass(slots=True, frozen=True)
class Sample:
    """Timing and final result of one call."""

    label: str
    team: str
    at_s: float
    duration_ms: float
    status: int
    result_code: int
    run_state: str
    table_version: str
    request_id: str
    booking: bool
    port: int

    @property
    def answered(self) -> bool:
        """Return whether the call was answered with status 200."""
        return self.status == _HTTP_OK


def uuid7(now_ms: int) -> str:
    """Return a UUIDv7, which this version of the standard library lacks."""
    value = now_ms << 80 | 0x7 << 76 | secrets.randbits(12) << 64
    value |= 0b10 << 62 | secrets.randbits(62)
    return str(uuid.UUID(int=value))


class Caller:
    """Sends the calls of one stream in order over its own connections."""

    __slots__ = ("_by_port", "_plan", "_random", "_stream", "samples")

    def __init__(self, plan: Plan, stream: Stream) -> None:
        self._plan = plan
        self._stream = stream
        self._random = random.Random(stream.seed)
        self._by_port: dict[int, urllib3.connection.HTTPConnection] = {}
        self.samples: list[Sample] = []

    def run(self) -> list[Sample]:
        """Send calls at exponential intervals until end_s or max_calls."""
        waiting = threading.Event()
        due_s = self._plan.start_s
        while len(self.samples) < self._plan.max_calls:
            due_s += self._random.expovariate(self._stream.rate)
            if due_s >= self._plan.end_s:
                break
            delay_s = due_s - time.monotonic()
            if delay_s > 0:
                waiting.wait(delay_s)
            elif time.monotonic() >= self._plan.end_s:
                break
            self._call(self._random.choice(self._stream.kinds))
        for connection in self._by_port.values():
            connection.close()
        return self.samples

    def _call(self, kind: CallKind) -> None:
        request_id = str(uuid.UUID(int=self._random.getrandbits(128)))
        headers = {const.HEADER_REQUEST_ID: request_id}
        if self._stream.key:
            headers[const.HEADER_AUTHORIZATION] = f"Bearer {self._stream.key}"
        if kind.booking:
            now_ms = time.time_ns() // 1_000_000
            headers[const.HEADER_IDEMPOTENCY_KEY] = uuid7(now_ms)
        sample = self._send(kind, headers, request_id)
        self.samples.append(sample)
        repeats = kind.booking and (
            sample.status == _CONNECTION_BROKEN
            or self._random.random() < self._plan.repeat_part
        )
        if repeats:
            # The backend server detects a duplicate run of the booking by the
            # same request id.
            repeat = self._send(kind, headers, request_id)
            self.samples.append(
                dataclasses.replace(repeat, label=f"{repeat.label} repeat")
            )

    def _send(
        self, kind: CallKind, headers: Mapping[str, str], request_id: str
    ) -> Sample:
        started_s = time.monotonic()
        ports = self._stream.ports
        port = ports[0]
        status = _CONNECT_FAILED
        answer_headers: dict[str, str] = {}
        for port in ports[:3]:
            status, answer_headers = self._exchange(port, kind, headers)
            if status != _CONNECT_FAILED:
                break
        duration_s = time.monotonic() - started_s
        return Sample(
            label=self._stream.label,
            team=self._stream.team,
            at_s=round(started_s, 4),
            duration_ms=round(duration_s * 1000, 3),
            status=status,
            result_code=int(
                answer_headers.get(const.HEADER_RESULT_CODE.lower(), "0")
            ),
            run_state=answer_headers.get(const.HEADER_RUN_STATE.lower(), ""),
            table_version=answer_headers.get(
                const.HEADER_TABLE_VERSION.lower(), ""
            ),
            request_id=request_id,
            booking=kind.booking,
            port=port,
        )

    def _exchange(
        self, port: int, kind: CallKind, headers: Mapping[str, str]
    ) -> tuple[int, dict[str, str]]:
        connection = self._by_port.get(port)
        if connection is None:
            connection = urllib3.connection.HTTPConnection(
                "127.0.0.1", port, timeout=_TIMEOUT_S
            )
            self._by_port[port] = connection
        try:
            if connection.sock is None or not connection.is_connected:
                connection.close()
                connection.connect()
        except (OSError, urllib3.exceptions.HTTPError):
            connection.close()
            return _CONNECT_FAILED, {}
        try:
            connection.request(
                kind.method,
                f"{kind.path_prefix}/{self._random.randrange(1000)}",
                body=_BODY if kind.method == "POST" else None,
                headers=headers,
            )
            response = connection.getresponse()
            response.read()
        except (OSError, urllib3.exceptions.HTTPError):
            connection.close()
            return _CONNECTION_BROKEN, {}
        return response.status, {
            name.lower(): value for name, value in response.headers.items()
        }


def run_plan(plan: Plan) -> Iterator[Sample]:
    """Run each stream on a separate thread and yield all samples."""
    with futures.ThreadPoolExecutor(max(1, len(plan.streams))) as executor:
        callers = [Caller(plan, stream) for stream in plan.streams]
        for samples in executor.map(Caller.run, callers):
            yield from samples


def encode_plan(plan: Plan) -> str:
    """Encode a plan as JSON."""
    return json.dumps(dataclasses.asdict(plan))


def decode_plan(text: str) -> Plan:
    """Decode a plan from the JSON that encode_plan returns."""
    values = json.loads(text)
    streams = tuple(_decode_stream(item) for item in values.pop("streams"))
    return Plan(**values, streams=streams)


def _decode_stream(values: dict[str, typing.Any]) -> Stream:
    kinds = tuple(CallKind(**kind) for kind in values.pop("kinds"))
    ports = tuple(values.pop("ports"))
    return Stream(**values, kinds=kinds, ports=ports)


def decode_samples(text: str) -> tuple[Sample, ...]:
    """Decode the samples from the output of a caller process."""
    return tuple(Sample(*values) for values in json.loads(text))


def main() -> None:
    """Run the plan from standard input and write the samples as JSON."""
    # The default interval of 0.005 s would add up to 5 ms to the latencies
    # that the callers measure.
    sys.setswitchinterval(0.0005)
    plan = decode_plan(sys.stdin.read())
    samples = [dataclasses.astuple(sample) for sample in run_plan(plan)]
    json.dump(samples, sys.stdout)


if __name__ == "__main__":
    main()
