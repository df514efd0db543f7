"""Non-blocking JSON log on standard output, and counters."""

from collections import Counter
from collections import deque
from collections.abc import Callable
from collections.abc import Mapping
from dataclasses import dataclass
import json
import os
import time
import traceback
import typing

from jasminecrank.mesh.transport import _clock

REQUEST_LINES_PER_S = 400
"""Rate limit of lines that each describe one request.

Above it, requests with the same event, outcome, reason and version share a
line.
"""
CONNECTION_LINES_PER_S = 20
"""Rate limit of lines about connections that anybody can open."""
MERGED_CONNECTIONS_S = 1.0
"""Interval at which connections above that limit are logged together."""
MAX_MERGED_IDS = 50
"""Maximum number of requests that share a line."""
SAMPLE_INTERVAL = 50
"""Number of sampled events, such as successful calls, per line."""
MAX_BACKLOG_LINES = 2_000
"""Lines buffered while standard output is blocked, about 0.5 MB."""
_ENCODER = json.JSONEncoder(default=str)
HISTOGRAM_BOUNDS_S = (0.005, 0.01, 0.025, 0.05, 0.1, 0.25, 0.5, 1.0, 2.5, 5.0)


@dataclass(slots=True, frozen=True)
class _MergeKey:
    """Fields that are equal in all requests of a shared line."""

    event: str
    outcome: str
    reason: str
    version: str

    @classmethod
    def from_fields(
        cls, event: str, fields: Mapping[str, object]
    ) -> typing.Self:
        """Return the fields of a line that others can share."""
        return cls(
            event,
            str(fields.get("outcome", "")),
            str(fields.get("reason", "")),
            str(fields.get("version", "")),
        )


@dataclass(slots=True)
class _RateLimit:
    """Token bucket that holds the lines of one second."""

    per_s: float
    tokens: float
    refilled_at_s: float

    @classmethod
    def full(cls, per_s: float, now_s: float) -> typing.Self:
        """Return a bucket without lines so far."""
        return cls(per_s, per_s, now_s)

    def take(self, now_s: float) -> bool:
        """Return whether another line may be written."""
        elapsed_s = now_s - self.refilled_at_s
        self.refilled_at_s = now_s
        self.tokens = min(self.per_s, self.tokens + elapsed_s * self.per_s)
        if self.tokens < 1.0:
            return False
        self.tokens -= 1.0
        return True


class JsonLog:
    """Writes JSON log lines and keeps the node's metrics."""

    __slots__ = (
        "_backlog",
        "_clock",
        "_connection_limit",
        "_connections_by_merge_key",
        "_connections_written_at_s",
        "_host",
        "_dropped_events",
        "_ids_by_merge_key",
        "_request_limit",
        "_sampled_events",
        "_sequence",
        "_write",
        "buckets_by_name",
        "count_by_name",
        "sum_by_name",
    )

    def __init__(
        self,
        host: str,
        clock: _clock.BootClock,
        write: Callable[[bytes], int] = lambda data: os.write(1, data),
    ) -> None:
        self._host = host
        self._clock = clock
        self._write = write
        now_s = clock.now_s()
        self._request_limit = _RateLimit.full(REQUEST_LINES_PER_S, now_s)
        self._connection_limit = _RateLimit.full(CONNECTION_LINES_PER_S, now_s)
        self._connections_by_merge_key: Counter[_MergeKey] = Counter()
        self._connections_written_at_s = now_s
        self._dropped_events = 0
        self._ids_by_merge_key: dict[_MergeKey, list[str]] = {}
        self._sampled_events = 0
        self._sequence = 0
        self._backlog: deque[bytes] = deque()
        self.count_by_name: Counter[tuple[str, str]] = Counter()
        self.buckets_by_name: dict[str, list[int]] = {}
        self.sum_by_name: dict[str, float] = {}

    @classmethod
    def to_stdout(cls, host: str, clock: _clock.BootClock) -> "JsonLog":
        """Return a log that writes to standard output without blocking."""
        os.set_blocking(1, False)
        return cls(host, clock)

    def decision(self, event: str, **fields: object) -> None:
        """Log a decision or a state change.

        Lines about requests are merged above their rate limit; other lines
        are always written.
        """
        now_s = self._clock.now_s()
        request_id = fields.get("request_id")
        if request_id is None:
            self._write_line(event, now_s, fields)
            return
        if self._request_limit.take(now_s):
            self._write_line(event, now_s, fields)
            return
        key = _MergeKey.from_fields(event, fields)
        ids = self._ids_by_merge_key.setdefault(key, [])
        ids.append(str(request_id))
        if len(ids) >= MAX_MERGED_IDS:
            self._write_merged(key, now_s)

    def connection(self, event: str, **fields: object) -> None:
        """Log an event of a connection that anybody can open.

        Above their rate limit, events with the same outcome and reason share
        a line with their number.
        """
        now_s = self._clock.now_s()
        if self._connection_limit.take(now_s):
            self._write_line(event, now_s, fields)
            return
        key = _MergeKey.from_fields(event, fields)
        self._connections_by_merge_key[key] += 1

    def flush(self) -> None:
        """Write the merged lines, and as much of the backlog as possible."""
        now_s = self._clock.now_s()
        for key in list(self._ids_by_merge_key):
            self._write_merged(key, now_s)
        if now_s - self._connections_written_at_s >= MERGED_CONNECTIONS_S:
            self._connections_written_at_s = now_s
            self._write_merged_connections(now_s)
        self._write_backlog()

    def sampled(self, event: str, **fields: object) -> None:
        """Log one in SAMPLE_INTERVAL events; `sampled_of` counts them."""
        self._sampled_events += 1
        if self._sampled_events >= SAMPLE_INTERVAL:
            self.decision(event, sampled_of=self._sampled_events, **fields)
            self._sampled_events = 0

    def failure(
        self, event: str, error: BaseException, **fields: object
    ) -> None:
        """Count and log an unexpected error with its traceback."""
        self.count("failures", event)
        trace = traceback.format_exception(error)[-6:]
        self.decision(event, error=repr(error), trace="".join(trace), **fields)

    def count(self, name: str, label: str = "") -> None:
        """Increment a counter, optionally by label."""
        self.count_by_name[name, label] += 1

    def observe(self, name: str, seconds: float) -> None:
        """Record a duration in the histogram of that name."""
        buckets = self.buckets_by_name.setdefault(
            name, [0] * (len(HISTOGRAM_BOUNDS_S) + 1)
        )
        for index, bound_s in enumerate(HISTOGRAM_BOUNDS_S):
            if seconds <= bound_s:
                buckets[index] += 1
                break
        else:
            buckets[-1] += 1
        self.sum_by_name[name] = self.sum_by_name.get(name, 0.0) + seconds

    def _write_merged(self, key: "_MergeKey", now_s: float) -> None:
        ids = self._ids_by_merge_key.pop(key)
        fields: dict[str, object] = {
            "request_ids": ids,
            "outcome": key.outcome,
            "reason": key.reason,
        }
        if key.version:
            fields["version"] = int(key.version)
        self._write_line(key.event, now_s, fields)

    def _write_merged_connections(self, now_s: float) -> None:
        for key, count in self._connections_by_merge_key.items():
            self._write_line(
                key.event,
                now_s,
                {
                    "connections": count,
                    "outcome": key.outcome,
                    "reason": key.reason,
                },
            )
        self._connections_by_merge_key.clear()

    def _write_line(
        self, event: str, now_s: float, fields: Mapping[str, object]
    ) -> None:
        self._sequence += 1
        line: dict[str, object] = {
            "time": round(time.time(), 3),
            "up_s": round(now_s, 3),
            "host": self._host,
            "sequence": self._sequence,
            "event": event,
        }
        if len(self._backlog) >= MAX_BACKLOG_LINES:
            ids = fields.get("request_ids")
            self._dropped_events += len(ids) if isinstance(ids, list) else 1
            self.count("log_lines", "left-out")
            return
        if self._dropped_events:
            line["left_out"] = self._dropped_events
            self._dropped_events = 0
        line.update(fields)
        self._backlog.append(_ENCODER.encode(line).encode() + b"\n")
        self._write_backlog()

    def _write_backlog(self) -> None:
        while self._backlog:
            line = self._backlog[0]
            try:
                written = self._write(line)
            except BlockingIOError:
                return
            except OSError:
                # Standard output is closed; the error can't be reported.
                self._backlog.clear()
                return
            if written < len(line):
                self._backlog[0] = line[written:]
                return
            self._backlog.popleft()
