"""Explanation of a call on the platform from the log lines of nodes."""

from collections.abc import Iterable
from collections.abc import Iterator
from dataclasses import dataclass
import json
import pathlib
import typing

from jasminecrank import exceptions

OUTCOMES = {
    "answered": "answered with the server's status",
    "no-table": "503: the node knew no table yet; not run",
    "no-route": "404: no route of this version matches host and path; not run",
    "key-unknown": "401: this version holds no such key; not run",
    "over-quota": "429: no token of the team's rate was left; not run",
    "no-server": "503: no server of the service could be used; not run",
    "overloaded": "503: no server would have run it in time; not run",
    "expired": "503: its time was over before a server had room; not run",
    "may-have-run": "502: it was sent to a server and may have run",
    "timed-out": "504: no answer in time; it may have run",
    "incomplete": "408: the request did not arrive in time; not run",
    "internal-error": "503: an error in the node; not run",
    "caller-left": "the caller closed its connection or its sending side",
}
REASONS = {
    "busy": "the wait for a slot was too long for its latency objective",
    "deadline": "it could not have ended before its deadline",
    "queue full": "too many calls waited already",
    "server-gone": "another incarnation of the server was there, or none",
    "draining": "the server was leaving",
    "data-centre-out": "operators had taken the data centre out of service",
    "closed": "the server left while the call waited",
    "cancelled": "its caller left or ended its sending side",
    "stopping": "the node was being stopped and the call would outlast it",
    "read-cost": "reading it cost more than it carries, and others waited",
    "memory": "the node beside the server had no memory for the body",
    "expected wait": "all servers were told to be full for long",
    "no usable server": "none was listed, reachable and accepting",
    "connect": "the node beside the server could not connect to it",
    "link-lost": "the node beside the server ended, or its link was cut",
    "peer-silent": "the node beside the server said nothing for a second",
    "answer-cut": "the server ended its answer before it was whole",
    "garbled-answer": "the server sent bytes that are no answer",
    "connection-reset": "the server reset the connection",
    "no answer by the deadline": "the server was still at work",
    "error in the node": "a fault of the node; see its line run-failed",
}


RESTORE_EVENTS = ("source-restored", "era-received")
RESTORE_SHOWN_S = 60.0
"""Time for which a restore of the source is named with a call after it."""


@dataclass(slots=True, frozen=True)
class NodeTrace:
    """The log lines of one call: gates first, then the entry node."""

    request_id: str
    lines: tuple[dict[str, typing.Any], ...]
    restores: tuple[dict[str, typing.Any], ...] = ()
    """Lines of all hosts on restores of the source, oldest first."""

    @classmethod
    def from_logs(
        cls, request_id: str, paths: Iterable[pathlib.Path]
    ) -> "NodeTrace":
        """Return the trace; raise NOT_FOUND if no line has the request ID."""
        found = []
        restores = []
        for path in paths:
            for line in _read_lines(path):
                if request_id == line.get("request_id") or (
                    request_id in line.get("request_ids", ())
                ):
                    found.append(line)
                elif line["event"] in RESTORE_EVENTS:
                    restores.append(line)
        if not found:
            raise exceptions.JasminecrankError(
                f"no log line has the request ID {request_id!r}; one in 50"
                " answered requests is logged",
                exceptions.ResultCode.NOT_FOUND,
            )
        found.sort(key=lambda line: (line["event"] == "call", line["time"]))
        restores.sort(key=lambda line: line["time"])
        return cls(request_id, tuple(found), tuple(restores))

    def restore_before(
        self, line: dict[str, typing.Any]
    ) -> dict[str, typing.Any] | None:
        """Return the last restore that the host of a line knew then."""
        return next(
            (
                restore
                for restore in reversed(self.restores)
                if restore["host"] == line["host"]
                and 0.0 <= line["time"] - restore["time"] <= RESTORE_SHOWN_S
            ),
            None,
        )


def is_node_log(path: pathlib.Path) -> bool:
    """Return whether the log comes from a node on the platform."""
    return any("up_s" in line for line in _read_lines(path))


def explain_node_call(trace: NodeTrace) -> Iterator[str]:
    """Yield the outcome, reason and decision inputs of each log line."""
    yield f"request {trace.request_id}"
    for line in trace.lines:
        yield ""
        outcome = str(line.get("outcome", ""))
        reason = str(line.get("reason", ""))
        if line["event"] == "gate-call":
            yield f"gate of host {line['host']}: {outcome}, {reason}"
            yield f"  server {line.get('server', 'not logged under load')}"
        elif line["event"] == "call-unsent":
            yield f"entry node {line['host']}: not sent whole"
            yield f"  the link to host {line['peer']} ended before; not run"
            yield f"  server {line['server']}"
        else:
            yield f"entry node {line['host']}: {outcome}"
            yield f"  {OUTCOMES.get(outcome, 'unknown outcome')}"
        if reason:
            # The error may follow, as in "connect: ConnectionRefusedError".
            known = REASONS.get(reason.partition(":")[0], "no explanation")
            yield f"  {reason}: {known}"
        yield from _decision_inputs(line)
        restore = trace.restore_before(line)
        if restore is not None:
            yield from _explain_restore(line, restore)


def _explain_restore(
    line: dict[str, typing.Any], restore: dict[str, typing.Any]
) -> Iterator[str]:
    """Yield what a restore of the source shortly before has changed."""
    age_s = line["time"] - restore["time"]
    yield (
        f"  source restored {age_s:.1f} s before: era {restore['era']} after "
        f"{restore['previous_era']}"
    )
    counts = ", ".join(
        f"{restore[name]} {name}"
        for name in ("replaced", "retained", "dropped", "changed")
        if name in restore
    )
    yield f"  entries: {counts}"


def _decision_inputs(line: dict[str, typing.Any]) -> Iterator[str]:
    """Yield the values on which the decision was based."""
    names = (
        ("version", "table version in force"),
        ("route", "route"),
        ("service", "service"),
        ("usable", "usable servers of the service"),
        ("team", "team"),
        ("status", "status"),
        ("in_flight", "calls at the server"),
        ("queued", "calls waiting there"),
        ("progress", "progress"),
        ("waited_ms", "time until the refusal, ms"),
        ("duration_ms", "time until the answer, ms"),
    )
    for name, meaning in names:
        value = line.get(name)
        if value not in (None, ""):
            yield f"  {meaning}: {value}"
    if line.get("excluded"):
        counts = ", ".join(
            f"{count} {reason}" for reason, count in line["excluded"].items()
        )
        yield f"  servers of the service that were excluded: {counts}"
    if line.get("data_centres_out"):
        data_centres = ", ".join(line["data_centres_out"])
        yield f"  data centres out of service: {data_centres}"
    if line.get("servers"):
        yield f"  servers asked, in order: {', '.join(line['servers'])}"


def _read_lines(path: pathlib.Path) -> Iterator[dict[str, typing.Any]]:
    try:
        text = path.read_text(encoding="utf-8", errors="replace")
    except OSError as error:
        raise exceptions.JasminecrankError(
            f"{path} cannot be read: {error.strerror}",
            exceptions.ResultCode.LOG_LINE_INVALID,
        ) from None
    for raw in text.splitlines():
        try:
            line = json.loads(raw)
        except ValueError:
            # A killed process may leave a truncated line.
            continue
        if isinstance(line, dict) and {"event", "host", "time"} <= line.keys():
            yield line
