"""JSON lines on standard output that never block, and counters."""

from collections import Counter
from collections import deque
from collections.abc import Callable
from collections.abc import Mapping
from dataclasses import dataclass
import json
import os
import time
import traceback

from jasminecrank.mesh.transport import _clock

LINES_PER_S = 400
"""Lines on requests that are written per second, each on its own.

Above it one line names all requests with the same outcome and reason.
"""
MERGED_IDS = 50
"""Requests that one line names at most."""
SAMPLED_EACH = 50
"""One in so many successful calls is written."""
BACKLOG_LINES = 2_000
"""Lines kept while standard output does not take them, about 0.5 MB."""
HISTOGRAM_S = (0.005, 0.01, 0.025, 0.05, 0.1, 0.25, 0.5, 1.0, 2.5, 5.0)


@dataclass(slots=True, frozen=True)
class _Alike:
    """What the requests that one line names have in common."""

    event: str
    outcome: str
    reason: str
    version: str


class JsonLog:
    """Writes decisions as JSON lines and keeps the node's counters."""

    __slots__ = (
        "_backlog",
        "_budget",
        "_clock",
        "_filled_at_s",
        "_host",
        "_left_out",
        "_merged",
        "_sampled",
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
        self._budget = float(LINES_PER_S)
        self._filled_at_s = clock.now_s()
        self._left_out = 0
        self._merged: dict[_Alike, list[str]] = {}
        self._sampled = 0
        self._sequence = 0
        self._backlog: deque[bytes] = deque()
        self.count_by_name: Counter[tuple[str, str]] = Counter()
        self.buckets_by_name: dict[str, list[int]] = {}
        self.sum_by_name: dict[str, float] = {}

    @classmethod
    def to_stdout(cls, host: str, clock: _clock.BootClock) -> "JsonLog":
        """Return a log that never waits for standard output."""
        os.set_blocking(1, False)
        return cls(host, clock)

    def decision(self, event: str, **fields: object) -> None:
        """Write a decision or a change of belief."""
        now_s = self._clock.now_s()
        request_id = fields.get("request_id")
        if request_id is None:
            self._write_line(event, now_s, fields)
            return
        passed_s = now_s - self._filled_at_s
        self._filled_at_s = now_s
        self._budget = min(
            float(LINES_PER_S), self._budget + passed_s * LINES_PER_S
        )
        if self._budget >= 1.0:
            self._budget -= 1.0
            self._write_line(event, now_s, fields)
            return
        alike = _Alike(
            event,
            str(fields.get("outcome", "")),
            str(fields.get("reason", "")),
            str(fields.get("version", "")),
        )
        ids = self._merged.setdefault(alike, [])
        ids.append(str(request_id))
        if len(ids) >= MERGED_IDS:
            self._write_merged(alike, now_s)

    def flush(self) -> None:
        """Write the lines that name several requests, and the backlog."""
        now_s = self._clock.now_s()
        for alike in list(self._merged):
            self._write_merged(alike, now_s)
        self._write_backlog()

    def sampled(self, event: str, **fields: object) -> None:
        """Write one in fifty events with the number left out."""
        self._sampled += 1
        if self._sampled >= SAMPLED_EACH:
            self.decision(event, sampled_of=self._sampled, **fields)
            self._sampled = 0

    def failure(
        self, event: str, error: BaseException, **fields: object
    ) -> None:
        """Write an unexpected error with its traceback."""
        self.count("failures", event)
        trace = traceback.format_exception(error)[-6:]
        self.decision(event, error=repr(error), trace="".join(trace), **fields)

    def count(self, name: str, label: str = "") -> None:
        """Increase a counter."""
        self.count_by_name[name, label] += 1

    def observe(self, name: str, seconds: float) -> None:
        """Record a duration in a histogram."""
        buckets = self.buckets_by_name.setdefault(
            name, [0] * (len(HISTOGRAM_S) + 1)
        )
        for index, bound_s in enumerate(HISTOGRAM_S):
            if seconds <= bound_s:
                buckets[index] += 1
                break
        else:
            buckets[-1] += 1
        self.sum_by_name[name] = self.sum_by_name.get(name, 0.0) + seconds

    def _write_merged(self, alike: "_Alike", now_s: float) -> None:
        ids = self._merged.pop(alike)
        fields: dict[str, object] = {
            "request_ids": ids,
            "outcome": alike.outcome,
            "reason": alike.reason,
        }
        if alike.version:
            fields["version"] = int(alike.version)
        self._write_line(alike.event, now_s, fields)

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
        if len(self._backlog) >= BACKLOG_LINES:
            ids = fields.get("request_ids")
            self._left_out += len(ids) if isinstance(ids, list) else 1
            self.count("log_lines", "left-out")
            return
        if self._left_out:
            line["left_out"] = self._left_out
            self._left_out = 0
        line.update(fields)
        self._backlog.append(json.dumps(line, default=str).encode() + b"\n")
        self._write_backlog()

    def _write_backlog(self) -> None:
        while self._backlog:
            line = self._backlog[0]
            try:
                written = self._write(line)
            except BlockingIOError:
                return
            except OSError:
                # Nobody reads the log; there is nowhere else to say so.
                self._backlog.clear()
                return
            if written < len(line):
                self._backlog[0] = line[written:]
                return
            self._backlog.popleft()
