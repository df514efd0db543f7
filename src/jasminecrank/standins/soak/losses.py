"""Checks that nodes drop no request that they had read."""

from collections import defaultdict
from collections.abc import Iterator
import math

from jasminecrank.standins.soak import checks
from jasminecrank.standins.soak import observed

LOSS_SLACK_S = 0.2
"""The platform's lossSlackMs."""
GRACE_S = 6.0
"""The graceS of the nodes' settings."""
GRACE_MARGIN_S = 1.0
"""Time before the end of the grace period by which a caller has read."""
LATE_SERVER_RATIO = 5.0 / 6.0
"""Fraction of the grace period after which a server is late."""
LATE_SERVER_SENT_S = 3.0
LIMIT_MARGIN_S = 0.1
"""Time before its limit from which a request may have reached it."""


def cuts(records: observed.Records) -> Iterator[str]:
    """Check that a node drops no request that it had read."""
    for attempt in _cut_attempts(records):
        yield _describe(records, attempt)


def planned_stops(records: observed.Records) -> Iterator[str]:
    """Check that a planned stop drops no request that the node had read."""
    for attempt in _cut_attempts(records):
        if list(_stops_during(records, attempt)):
            yield f"{_describe(records, attempt)} by a planned stop"


def reloads(records: observed.Records) -> Iterator[str]:
    """Check that a SIGHUP drops no request that the node had read."""
    for attempt in _cut_attempts(records):
        processes = _processes_with(records, attempt)
        if any(
            reload.host == attempt.host
            and reload.incarnation in processes
            and attempt.sent_s - checks.CONFIG_APPLY_S
            <= reload.at_s
            <= attempt.ended_s
            for reload in records.reloads
        ):
            yield f"{_describe(records, attempt)} after a SIGHUP"


def replaced_answers(records: observed.Records) -> Iterator[str]:
    """Check that nodes put no answer of their own in the place of a run.

    Neither of an answer that a server made whole nor, in a stop, of a run at
    which a server was at work. Callers that read several answers slowly
    don't know when theirs was made. Repeatable requests of callers that end
    their sending side are cancelled.
    """
    runs_by_id: dict[str, list[observed.Arrival]] = defaultdict(list)
    for run in records.arrivals:
        runs_by_id[run.request_id].append(run)
    for attempt in records.attempts:
        if (
            attempt.status < 400
            or attempt.stamped
            or attempt.reading_s
            or attempt.may_be_given_up
            or attempt.ended_s - attempt.sent_s
            > attempt.limit_s - LIMIT_MARGIN_S
        ):
            continue
        for run in runs_by_id[attempt.request_id]:
            if _is_replaced(records, attempt, run):
                yield (
                    f"{attempt.request_id}, sent to host {attempt.host} at "
                    f"{attempt.sent_s:.2f} s, got {attempt.status} of the "
                    f"node at {attempt.ended_s:.2f} s; the server of host "
                    f"{run.host} was at work from {run.at_s:.2f} to "
                    f"{run.ended_s:.2f} s and answered {run.status or 'not'}"
                )


def _is_replaced(
    records: observed.Records, attempt: observed.Attempt, run: observed.Arrival
) -> bool:
    """Return whether a node's answer took the place of a run's."""
    if (
        run.broken_off
        or any(
            host == run.host and run.at_s <= at_s <= attempt.ended_s
            for host, at_s in records.server_ends
        )
        or any(
            records.excuses_loss(host, attempt.sent_s, attempt.ended_s)
            for host in (attempt.host, run.host)
        )
        or any(
            stop.host in (attempt.host, run.host)
            and stop.at_s <= attempt.ended_s
            and _is_late(attempt, run.ended_s, stop.at_s)
            for stop in records.terminations
        )
    ):
        return False
    if run.status and run.ended_s <= attempt.ended_s:
        return True
    return run.at_s < attempt.ended_s and any(
        stop_s <= run.ended_s for stop_s in _stops_during(records, attempt)
    )


def _describe(records: observed.Records, attempt: observed.Attempt) -> str:
    processes = " or ".join(
        str(process) for process in sorted(attempt.connection.incarnations)
    )
    stops = ", ".join(
        f"{stop.at_s:.2f} to process {stop.incarnation}"
        for stop in records.terminations
        if stop.host == attempt.host
    )
    reloads_sent = ", ".join(
        f"{reload.at_s:.2f} to process {reload.incarnation}"
        for reload in records.reloads
        if reload.host == attempt.host
    )
    return (
        f"{attempt.request_id}, sent to host {attempt.host} (connection of "
        f"{attempt.connection.opened_s:.2f} s, process {processes}) at "
        f"{attempt.sent_s:.2f} s, uploaded in {attempt.upload_s:.2f} s, "
        f"answered from {attempt.head_s:.2f} s, to be read in "
        f"{attempt.reading_s:.2f} s, was cut at "
        f"{attempt.ended_s:.2f} s ({attempt.load}: {attempt.end}; "
        f"SIGTERM at {stops or 'no time'}; "
        f"SIGHUP at {reloads_sent or 'no time'}; "
        f"the soak itself was late by {_delay_s(records, attempt):.2f} s)"
    )


def _stops_during(
    records: observed.Records, attempt: observed.Attempt
) -> Iterator[float]:
    """Yield when processes got a SIGTERM that may have had a request.

    A slow reader notices the end of its connection long after the process has
    ended, perhaps in the next stop.
    """
    processes = _processes_with(records, attempt)
    for stop in records.terminations:
        if (
            stop.host == attempt.host
            and stop.incarnation in processes
            and stop.at_s <= attempt.ended_s
        ):
            yield stop.at_s


def _processes_with(
    records: observed.Records, attempt: observed.Attempt
) -> frozenset[int]:
    """Return the processes of the host that may have had a request.

    One of them accepted its connection, and had not ended when it was sent.
    """
    ended = {
        end.incarnation
        for end in records.process_ends
        if end.host == attempt.host and end.at_s < attempt.sent_s
    }
    return attempt.connection.incarnations - ended


def _is_left_to_server(
    records: observed.Records, attempt: observed.Attempt
) -> bool:
    """Return whether the server was late for each stop of the node."""
    stops_s = list(_stops_during(records, attempt))
    return bool(stops_s) and all(
        _is_server_late(records, attempt, at_s) for at_s in stops_s
    )


def _is_server_late(
    records: observed.Records, attempt: observed.Attempt, stop_s: float
) -> bool:
    """Return whether a server was at work until the end of the grace period.

    The platform excuses this for requests sent early in the grace period.
    """
    unfinished_s = records.unfinished_s_by_id.get(attempt.request_id, 0.0)
    return _is_late(attempt, unfinished_s, stop_s)


def _is_late(
    attempt: observed.Attempt, at_work_until_s: float, stop_s: float
) -> bool:
    return (
        attempt.sent_s <= stop_s + LATE_SERVER_SENT_S
        and at_work_until_s >= stop_s + GRACE_S * LATE_SERVER_RATIO
    )


def _cut_attempts(records: observed.Records) -> Iterator[observed.Attempt]:
    """Yield the requests that nodes dropped without an unplanned fault."""
    ran = {arrival.request_id for arrival in records.arrivals}
    for attempt in records.attempts:
        if _is_cut_by_node(records, ran, attempt):
            yield attempt


def _is_cut_by_node(
    records: observed.Records, ran: set[str], attempt: observed.Attempt
) -> bool:
    """Return whether a node dropped a request without an unplanned fault."""
    whole_s = attempt.sent_s + attempt.upload_s
    return (
        attempt.is_lost
        and (
            attempt.request_id in ran
            or (
                attempt.ended_s - whole_s - _delay_s(records, attempt)
                > LOSS_SLACK_S
                and not attempt.behind_close
            )
        )
        and not _is_read_too_late(records, attempt)
        and not _is_left_to_server(records, attempt)
        and not records.excuses_loss(
            attempt.host, attempt.sent_s, _latest_cut_s(records, attempt)
        )
    )


def _delay_s(records: observed.Records, attempt: observed.Attempt) -> float:
    """Return how late a caller may have noticed the end of a request.

    The soak itself can be late: the connection ended so much earlier, perhaps
    before the request was sent.
    """
    return max(
        (
            delay_s
            for at_s, delay_s in records.delays
            if attempt.sent_s <= at_s <= attempt.ended_s + delay_s
        ),
        default=0.0,
    )


def _latest_cut_s(
    records: observed.Records, attempt: observed.Attempt
) -> float:
    """Return when a request had been cut at the latest.

    A slow reader notices it long after its process has ended.
    """
    end_s_by_process = {
        (end.host, end.incarnation): end.at_s for end in records.process_ends
    }
    last_end_s = max(
        (
            end_s_by_process.get((attempt.host, process), math.inf)
            for process in _processes_with(records, attempt)
        ),
        default=math.inf,
    )
    return min(attempt.ended_s, last_end_s)


def _is_read_too_late(
    records: observed.Records, attempt: observed.Attempt
) -> bool:
    """Return whether a slow reader could not finish in a grace period."""
    read_s = attempt.sent_s + attempt.upload_s + attempt.reading_s
    return attempt.reading_s > 0.0 and any(
        at_s + GRACE_S - GRACE_MARGIN_S < read_s
        for at_s in _stops_during(records, attempt)
    )
