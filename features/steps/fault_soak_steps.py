"""Steps for the fault soak and its checks."""

import asyncio
import contextlib
import itertools
import logging
import math
import os
import pathlib
import random
import signal
import subprocess
import sys
import tempfile
import time

from behave import given
from behave import then
from behave import when

from jasminecrank.standins import soak
from jasminecrank.standins.soak import _busy_hosts
from jasminecrank.standins.soak import _demanding
from jasminecrank.standins.soak import _large_bodies
from jasminecrank.standins.soak import _overlapping
from jasminecrank.standins.soak import _restores
from jasminecrank.standins.soak import _server
from jasminecrank.standins.soak import _tracebacks
from jasminecrank.standins.soak import checks
from jasminecrank.standins.soak import losses
from jasminecrank.standins.soak import observed

SOAK_COMMAND = (sys.executable, "script/run_fault_soak.py")
MIB = 1024 * 1024
RATE_PER_S = 60
END_S = 30.0
CHECK_BY_NAME = {
    "at_most_once": checks.at_most_once,
    "true_refusals": checks.true_refusals,
    "whole_answers": checks.whole_answers,
    "known_callers": checks.known_callers,
    "withdrawn_keys": checks.withdrawn_keys,
    "added_routes": checks.added_routes,
    "no_new_work": checks.no_new_work,
    "cold_servers": checks.cold_servers,
    "quotas": checks.quotas(RATE_PER_S),
    "retries": checks.retries,
    "cuts": losses.cuts,
    "planned_stops": losses.planned_stops,
    "reloads": losses.reloads,
    "replaced_answers": losses.replaced_answers,
    "foreign_entries": checks.foreign_entries,
    "process_ends": checks.process_ends,
    "memory": checks.memory,
    "tracebacks": checks.tracebacks,
    "recovery": checks.recovery(END_S),
}


def make_attempt(
    request_id="r1", method="POST", key="k1", sent_s=10.0, status=200
):
    """Return a request as observed by its caller."""
    ended_s = sent_s + 0.3
    return observed.Attempt(
        request_id,
        0,
        1,
        method,
        key,
        sent_s,
        ended_s,
        status,
        connection=observed.Connection(sent_s, frozenset({1})),
    )


def make_arrival(request_id="r1", at_s=10.1, team="team-0", cold=False):
    """Return a request as observed by a server."""
    return observed.Arrival(request_id, 0, at_s, team, "ledger", False, cold)


def make_arrivals(count, over_s, cold):
    """Return evenly spaced arrivals in a period that excludes its end."""
    step_s = over_s / (count + 1)
    return [
        make_arrival(f"r{number}", 10.0 + number * step_s, "team-0", cold)
        for number in range(count)
    ]


def make_records(attempts=(), arrivals=(), fault=None, planned=False):
    """Return records of observations and of a fault from a time on."""
    records = observed.Records()
    records.team_by_key = {"k1": "team-0"}
    records.attempts.extend(attempts)
    records.arrivals.extend(arrivals)
    if fault is not None:
        records.begin_disturbance(fault, (0,), planned)
    return records


def records_with_repeats(count, requests, over_s, attempts_each=2):
    """Return records of requests, some of them received several times."""
    records = make_records(
        make_attempt(f"r{number}", sent_s=10.0 + number * over_s / requests)
        for number in range(requests)
    )
    for number, attempt in enumerate(records.attempts):
        times = attempts_each if number * (attempts_each - 1) < count else 1
        records.received_s_by_request_id[attempt.request_id] = [
            attempt.sent_s + 0.001 * again for again in range(times)
        ]
    return records


def records_with_withdrawn_key(*attempts, fault=None):
    """Return records in which the key was withdrawn at 9 s."""
    records = make_records(attempts, fault=fault)
    records.withdrawn_s_by_key["k1"] = 9.0
    return records


def records_with_disturbance(records, hosts, planned=False, excused=None):
    """Return records to which a disturbance from 9 s on is added."""
    records.begin_disturbance(9.0, hosts, planned, excused)
    return records


def records_of_cut(hosts, planned=False, excused=None):
    """Return records of a cut request that ran in a disturbance."""
    records = make_records([make_attempt(status=0)], [make_arrival()])
    return records_with_disturbance(records, hosts, planned, excused)


def records_behind_close(*arrivals):
    """Return records of a request behind an answer that closes."""
    records = records_with_slow_caller(stop=False)
    records.attempts[0].behind_close = True
    records.arrivals.extend(arrivals)
    return records


def records_of_late_soak(at_s, delay_s, *arrivals):
    """Return records of a request from 9 to 12 s and a delay of the soak."""
    records = records_with_slow_caller(stop=False)
    records.delays.append((at_s, delay_s))
    records.arrivals.extend(arrivals)
    return records


def records_of_late_sender(busy_host):
    """Return records in which host 2 sends a request to a leaving server."""
    records = records_with_leaving_server()
    records.attempts[0].host = 2
    return records_with_disturbance(records, (busy_host,), planned=True)


def records_with_leaving_server(fault=None):
    """Return records in which a server gets a request when out of service."""
    records = make_records([make_attempt()], [make_arrival()], fault)
    records.out_of_service_periods.append(
        observed.OutOfServicePeriod(0, 9.0, 11.0)
    )
    return records


def records_after_restore(records, back_s):
    """Return records to which a restore of the store is added.

    What it had lost is written again within 0.5 s.
    """
    disturbance = records.begin_disturbance(
        9.5, None, excused=observed.Excused.NONE
    )
    disturbance.end_s = back_s
    records.renewals.append(observed.Renewal(back_s, back_s + 0.5))
    return records


def records_of_leaving_after_restore(at_s):
    """Return records in which a leaving server gets a request.

    The store was restored at 10 s, and servers leave within 2 s.
    """
    records = make_records([make_attempt()], [make_arrival(at_s=at_s)])
    records.out_of_service_periods.append(
        observed.OutOfServicePeriod(0, 9.0, 20.0, limit_s=2.0)
    )
    return records_after_restore(records, 10.0)


def records_of_probes(*probes):
    """Return records of requests to a route that was added at 9 s."""
    records = make_records()
    records.written_s_by_route[1] = 9.0
    records.probes.extend(
        observed.Probe(0, 1, 1, sent_s, sent_s + 0.1, status)
        for status, sent_s in probes
    )
    return records


def records_with_stop(*arrivals, fault=None):
    """Return records in which a stop at 10 s cut a request."""
    cut = make_attempt(status=0)
    cut.ended_s = 10.1
    records = make_records([cut], arrivals, fault)
    records.terminations.append(observed.Termination(0, 1, 10.0))
    records.begin_disturbance(10.0, (0,), planned=True)
    return records


def records_with_slow_caller(
    reload=False, upload_s=0.0, reading_s=0.0, stop=True
):
    """Return records of a slow request cut by a stop or SIGHUP at 10 s.

    Or by neither of them.
    """
    cut = make_attempt(sent_s=9.0, status=0)
    cut.ended_s = 12.0
    cut.upload_s = upload_s
    cut.reading_s = reading_s
    records = make_records([cut])
    if reload:
        records.reloads.append(observed.Reload(0, 1, 10.0))
    elif stop:
        records.terminations.append(observed.Termination(0, 1, 10.0))
    return records


def records_with_two_stops(first_end_s, accepting=(1, 2)):
    """Return records of a request that may be cut by the first of two stops.

    The process of the first one ends at a time.
    """
    records = records_with_slow_caller(reading_s=2.5)
    records.attempts[0].ended_s = 12.5
    records.attempts[0].connection = observed.Connection(
        4.0, frozenset(accepting)
    )
    records.terminations[:] = [
        observed.Termination(0, 1, 5.0),
        observed.Termination(0, 2, 11.0),
    ]
    records.process_ends.append(observed.ProcessEnd(0, 1, first_end_s, 0))
    return records


def records_with_late_notice(kill_s=None, processes=(1,)):
    """Return records of a cut that a slow reader noticed after 8 s.

    Perhaps another host is killed, and another process has the connection.
    """
    records = records_with_slow_caller(reading_s=4.0)
    records.attempts[0].ended_s = 18.0
    records.attempts[0].connection = observed.Connection(
        9.0, frozenset(processes)
    )
    records.process_ends.append(observed.ProcessEnd(0, 1, 11.0, 0))
    if kill_s is not None:
        records.begin_disturbance(kill_s, (3,))
    return records


def records_with_crash(stop_s, reading_s=0.0, unfinished_s=0.0):
    """Return records of a cut by a process that crashed at 9.1 s.

    The next process gets a SIGTERM before the caller notices the cut at 12 s.
    """
    records = records_with_slow_caller(stop=False, reading_s=reading_s)
    records.process_ends.append(observed.ProcessEnd(0, 1, 9.1, 1))
    records.terminations.append(observed.Termination(0, 2, stop_s))
    records.unfinished_s_by_id["r1"] = unfinished_s
    return records


def records_with_reload(incarnation, at_s):
    """Return records of a cut by process 1, which ended at 11 s.

    A process gets a SIGHUP before a slow reader notices the cut.
    """
    records = records_with_late_notice()
    records.reloads.append(observed.Reload(0, incarnation, at_s))
    return records


def records_with_late_server(unfinished_s, sent_s=12.0, reload=False):
    """Return records in which a stop at 10 s cut a request in its server."""
    cut = make_attempt(sent_s=sent_s, status=0)
    cut.ended_s = 15.6
    records = make_records([cut], [make_arrival()])
    records.terminations.append(observed.Termination(0, 1, 10.0))
    records.unfinished_s_by_id["r1"] = unfinished_s
    if reload:
        records.reloads.append(observed.Reload(0, 1, 10.5))
    return records


def records_with_own_answer(
    run_status=0,
    run_ended_s=11.9,
    sent_s=10.0,
    ended_s=12.0,
    stop_s=9.5,
    **run,
):
    """Return records of a request that got 502 of the node during a stop.

    Its server was at work, and perhaps answered.
    """
    attempt = make_attempt(sent_s=sent_s, status=502)
    attempt.ended_s = ended_s
    attempt.limit_s = 7.0
    arrival = make_arrival(at_s=sent_s + 0.1)
    arrival.ended_s = run_ended_s
    arrival.status = run_status
    arrival.broken_off = run.get("broken_off", False)
    records = make_records([attempt], [arrival], run.get("fault"))
    if stop_s is not None:
        records.terminations.append(
            observed.Termination(run.get("stopped", 0), 1, stop_s)
        )
    records.server_ends.extend((0, at_s) for at_s in run.get("ends", ()))
    return records


def records_of_limit(limit_s, stamped=False, reading_s=0.0):
    """Return records of an answer 500 that the node replaced after 2 s."""
    records = records_with_own_answer(500, stop_s=None)
    records.attempts[0].limit_s = limit_s
    records.attempts[0].stamped = stamped
    records.attempts[0].reading_s = reading_s
    return records


def records_of_half_closed(records, method):
    """Return records whose caller has ended its sending side."""
    records.attempts[0].method = method
    records.attempts[0].ends_sending = True
    return records


def records_with_foreign_entries(served, planned=True):
    """Return 20 requests with entries of another writer, some served.

    Host 0 is disturbed.
    """
    records = make_records(
        [
            make_attempt(sent_s=13.0, status=200 if number < served else 503)
            for number in range(20)
        ],
        fault=11.0,
        planned=planned,
    )
    records.foreign_entry_periods.append(
        observed.ForeignEntryPeriod(10.0, 14.0)
    )
    return records


def records_with_foreign_entries_in_stops(
    stopping, status=503, broken_off=None, end_s=math.inf
):
    """Return 4 served requests of 20, while some of 4 nodes are stopping."""
    records = records_with_foreign_entries(4)
    for number, attempt in enumerate(records.attempts):
        attempt.request_id = f"r{number}"
        attempt.host = number % 4
        if attempt.status == 503:
            attempt.status = status
    for host in range(stopping):
        records.terminations.append(observed.Termination(host, 1, 9.0))
        records.process_ends.append(observed.ProcessEnd(host, 1, end_s, 0))
    if broken_off is not None:
        records.arrivals.extend(make_arrivals(20, 1.0, cold=False))
        for run in records.arrivals:
            run.broken_off = broken_off
    return records


def records_with_public_request(
    status=503,
    sent_s=13.0,
    key=None,
    end_s=14.0,
    fault=None,
    planned=False,
    leaving=0,
):
    """Return a request to a public route and a period of foreign entries.

    Some of the 4 hosts have servers that leave at that time.
    """
    attempt = make_attempt(method="GET", key=key, sent_s=sent_s, status=status)
    records = make_records([attempt], [], fault, planned)
    for host in range(1, 4):
        other = make_attempt(f"other-{host}")
        other.host = host
        records.attempts.append(other)
    records.out_of_service_periods.extend(
        observed.OutOfServicePeriod(host, 14.0, 15.0)
        for host in range(leaving)
    )
    records.foreign_entry_periods.append(
        observed.ForeignEntryPeriod(10.0, end_s)
    )
    return records


def records_with_stopping_node(end_s):
    """Return a public request refused at 13 s, and the end of a stop."""
    records = records_with_public_request()
    records.terminations.append(observed.Termination(0, 1, 7.0))
    records.process_ends.append(observed.ProcessEnd(0, 1, end_s, 0))
    return records


def records_with_end(status, *signals):
    """Return records of the end of a process and its signals."""
    records = make_records()
    sent = tuple(
        observed.SentSignal(number, 1.0, cpu_s) for number, cpu_s in signals
    )
    records.process_ends.append(observed.ProcessEnd(0, 1, 10.0, status, sent))
    return records


def records_with_memory(mib):
    """Return records of a process of a size."""
    records = make_records()
    records.peak_bytes_by_process[0, 1] = mib * 1024 * 1024
    return records


def records_with_traceback():
    """Return records of a traceback that was read from a node's log."""
    with tempfile.TemporaryDirectory() as folder:
        path = pathlib.Path(folder) / "host-0.log"
        path.write_text(
            '{"event": "starting"}\nTraceback (most recent call last):\n'
            '  File "x.py", line 1, in <module>\nOSError: in use\n'
        )
        records = make_records()
        records.tracebacks.extend(
            (0, line) for line in _tracebacks.read_tracebacks(path)
        )
        return records


def records_with_exposed_key():
    """Return records in which a server received a key."""
    record = observed.Arrival("r1", 0, 10.1, "team-0", "ledger", True, False)
    return make_records([make_attempt()], [record])


def records_with_cut_response():
    """Return records of an incomplete response."""
    cut = make_attempt()
    cut.response_intact = False
    return make_records([cut])


RECORDS_BY_CASE = {
    "a booking runs once": lambda: make_records(
        [make_attempt()], [make_arrival()]
    ),
    "a booking runs twice": lambda: make_records(
        [make_attempt()], [make_arrival(), make_arrival()]
    ),
    "a lookup runs twice": lambda: make_records(
        [make_attempt(method="GET")], [make_arrival(), make_arrival()]
    ),
    "a booking is refused and does not run": lambda: make_records(
        [make_attempt(status=503)]
    ),
    "a booking is refused and runs": lambda: make_records(
        [make_attempt(status=503)], [make_arrival()]
    ),
    "a booking is answered 502 and runs": lambda: make_records(
        [make_attempt(status=502)], [make_arrival()]
    ),
    "an answer is cut": records_with_cut_response,
    "a request runs that nobody sent": lambda: make_records(
        [], [make_arrival()]
    ),
    "a request runs for another team": lambda: make_records(
        [make_attempt()], [make_arrival(team="team-1")]
    ),
    "a server sees a key": records_with_exposed_key,
    "a withdrawn key is served at once": lambda: records_with_withdrawn_key(
        make_attempt()
    ),
    "a withdrawn key is served 3 s later": lambda: records_with_withdrawn_key(
        make_attempt(sent_s=12.0)
    ),
    "a withdrawn key is served 3 s later in a fault": lambda: (
        records_with_withdrawn_key(make_attempt(sent_s=12.0), fault=11.0)
    ),
    "a withdrawn key is refused and served again": lambda: (
        records_with_withdrawn_key(
            make_attempt(sent_s=9.5, status=401),
            make_attempt("r2", sent_s=10.5),
        )
    ),
    "a leaving server gets a late request": records_with_leaving_server,
    "a leaving server gets a late request in a fault": lambda: (
        records_with_leaving_server(8.0)
    ),
    "a leaving server gets a request 3 s after a restore": lambda: (
        records_of_leaving_after_restore(13.0)
    ),
    "a leaving server gets a request later after a restore": lambda: (
        records_of_leaving_after_restore(13.1)
    ),
    "a withdrawn key is served 3 s after a restore": lambda: (
        records_after_restore(
            records_with_withdrawn_key(make_attempt(sent_s=13.0)), 10.0
        )
    ),
    "a withdrawn key is served later after a restore": lambda: (
        records_after_restore(
            records_with_withdrawn_key(make_attempt(sent_s=13.1)), 10.0
        )
    ),
    "an added route is unknown for 2 s": lambda: records_of_probes(
        (404, 11.0)
    ),
    "an added route is unknown for longer": lambda: records_of_probes(
        (404, 11.1)
    ),
    "an added route is unknown for longer in a fault": lambda: (
        records_with_disturbance(records_of_probes((404, 11.1)), (0,))
    ),
    "an added route is unknown 3 s after a restore": lambda: (
        records_after_restore(records_of_probes((404, 13.0)), 10.0)
    ),
    "an added route is unknown later after a restore": lambda: (
        records_after_restore(records_of_probes((404, 13.1)), 10.0)
    ),
    "an added route is served and gone": lambda: records_of_probes(
        (200, 9.5), (404, 10.0)
    ),
    "an added route is served and fails": lambda: records_of_probes(
        (200, 9.5), (503, 13.0)
    ),
    "a cold server gets 20 requests in a second": lambda: make_records(
        [], make_arrivals(20, 1.0, True)
    ),
    "a cold server gets 21 requests in a second": lambda: make_records(
        [], make_arrivals(21, 1.0, True)
    ),
    "59 of 100 requests in 9 s are repeated": lambda: records_with_repeats(
        59, 100, 9.0
    ),
    "61 of 100 requests in 9 s are repeated": lambda: records_with_repeats(
        61, 100, 9.0
    ),
    "31 of 100 requests in 9 s are repeated twice": (
        lambda: records_with_repeats(62, 100, 9.0, 3)
    ),
    "120 of 400 requests in 40 s are repeated": lambda: records_with_repeats(
        120, 400, 40.0
    ),
    "a team runs 470 requests in 5 s": lambda: make_records(
        [], make_arrivals(470, 5.0, False)
    ),
    "a team runs 471 requests in 5 s": lambda: make_records(
        [], make_arrivals(471, 5.0, False)
    ),
    "a planned stop cuts a request that ran": lambda: records_with_stop(
        make_arrival()
    ),
    "a planned stop cuts a request that did not run": records_with_stop,
    "a kill cuts a request that ran": lambda: records_with_stop(
        make_arrival(), fault=9.0
    ),
    "a planned stop cuts an answer of a slow reader": lambda: (
        records_with_slow_caller(reading_s=4.0)
    ),
    "a reader is too slow for the grace period": lambda: (
        records_with_slow_caller(reading_s=6.5)
    ),
    "a reader notices late that a planned stop cut its answer": (
        records_with_late_notice
    ),
    "another host is killed after the process of a cut has ended": lambda: (
        records_with_late_notice(11.5)
    ),
    "another host is killed before the process of a cut has ended": lambda: (
        records_with_late_notice(10.5)
    ),
    "another host is killed before the last possible process ends": lambda: (
        records_with_late_notice(11.5, (1, 2))
    ),
    "a reader was too slow for a stop before the last": lambda: (
        records_with_two_stops(10.6)
    ),
    "a stop before the last ended before the request": lambda: (
        records_with_two_stops(8.0)
    ),
    "a reader was too slow for a stop of a process it never had": lambda: (
        records_with_two_stops(10.6, (2,))
    ),
    "a reader is too slow for a stop of the next process": lambda: (
        records_with_crash(stop_s=9.5, reading_s=6.0)
    ),
    "a server is late for a stop of the next process": lambda: (
        records_with_crash(stop_s=9.5, unfinished_s=15.0)
    ),
    "the next process stops before a cut is noticed": lambda: (
        records_with_crash(stop_s=12.0, reading_s=2.0)
    ),
    "a planned stop cuts a request that was sent whole": (
        records_with_slow_caller
    ),
    "a planned stop cuts a request before its last byte": lambda: (
        records_with_slow_caller(upload_s=math.inf)
    ),
    "a server is at work until the end of the grace period": lambda: (
        records_with_late_server(15.5)
    ),
    "a server is at work until the end, with a SIGHUP": lambda: (
        records_with_late_server(15.5, reload=True)
    ),
    "a node leaves a server early, with a SIGHUP": lambda: (
        records_with_late_server(14.9, reload=True)
    ),
    "a node leaves a server early": lambda: records_with_late_server(14.9),
    "a server is at work on a request sent late": lambda: (
        records_with_late_server(15.5, 13.1)
    ),
    "a SIGHUP cuts a request that was sent whole": lambda: (
        records_with_slow_caller(reload=True)
    ),
    "the process of a cut gets a SIGHUP": lambda: records_with_reload(1, 10.0),
    "the next process gets a SIGHUP before a cut is noticed": lambda: (
        records_with_reload(2, 13.0)
    ),
    "a SIGHUP cuts a request before its last byte": lambda: (
        records_with_slow_caller(reload=True, upload_s=math.inf)
    ),
    "a node cuts a request that was sent whole": lambda: (
        records_with_slow_caller(stop=False)
    ),
    "a node cuts a request before its last byte": lambda: (
        records_with_slow_caller(stop=False, upload_s=math.inf)
    ),
    "a node cuts an answer of a slow reader": lambda: records_with_slow_caller(
        stop=False, reading_s=6.5
    ),
    "a node cuts a request that ran": lambda: make_records(
        [make_attempt(status=0)], [make_arrival()]
    ),
    "a node cuts a request that ran in a fault": lambda: make_records(
        [make_attempt(status=0)], [make_arrival()], 9.0
    ),
    "a node cuts a request that ran on a busy host": lambda: records_of_cut(
        (0,), planned=True
    ),
    "a node cuts a request that ran while the store is away": lambda: (
        records_of_cut(None, excused=observed.Excused.NONE)
    ),
    "a node cuts a request that ran while its ports are held": lambda: (
        records_of_cut((0,), planned=True, excused=observed.Excused.OWN)
    ),
    "a node cuts a request that ran while another's ports are held": lambda: (
        records_of_cut((1,), planned=True, excused=observed.Excused.OWN)
    ),
    "the soak notices 2.9 s late that a request of 3 s ended": lambda: (
        records_of_late_soak(12.0, 2.9)
    ),
    "the soak notices 2.7 s late that a request of 3 s ended": lambda: (
        records_of_late_soak(12.0, 2.7)
    ),
    "the soak was late before a request that was sent whole": lambda: (
        records_of_late_soak(8.9, 2.9)
    ),
    "the soak notices late that a request ended that ran": lambda: (
        records_of_late_soak(12.0, 2.9, make_arrival())
    ),
    "a request behind an answer that closes does not run": (
        records_behind_close
    ),
    "a request behind an answer that closes runs": lambda: (
        records_behind_close(make_arrival())
    ),
    "a leaving server gets a late request from a busy host": lambda: (
        records_of_late_sender(2)
    ),
    "a leaving server gets a late request beside a busy host": lambda: (
        records_of_late_sender(3)
    ),
    "a stop replaces a run": records_with_own_answer,
    "a stop replaces a run whose server answers later": lambda: (
        records_with_own_answer(200, run_ended_s=12.1)
    ),
    "a stop begins after a run was given up": lambda: records_with_own_answer(
        run_ended_s=10.5, stop_s=11.0
    ),
    "a node replaces a run without a stop": lambda: records_with_own_answer(
        stop_s=None
    ),
    "the stop of another node replaces a run": lambda: records_with_own_answer(
        stopped=1
    ),
    "a server breaks a run off in a stop": lambda: records_with_own_answer(
        broken_off=True
    ),
    "a server ends during a run in a stop": lambda: records_with_own_answer(
        ends=(11.0,)
    ),
    "a server ended before a run in a stop": lambda: records_with_own_answer(
        ends=(9.9,)
    ),
    "a stop replaces a run in the last sixth": lambda: records_with_own_answer(
        run_ended_s=15.0, ended_s=15.0, stop_s=10.0
    ),
    "a stop replaces a run before the last sixth": lambda: (
        records_with_own_answer(run_ended_s=14.9, ended_s=15.0, stop_s=10.0)
    ),
    "a stop replaces a late run in the last sixth": lambda: (
        records_with_own_answer(
            run_ended_s=15.0, sent_s=13.1, ended_s=15.0, stop_s=10.0
        )
    ),
    "a node replaces an answer 500": lambda: records_with_own_answer(
        500, stop_s=None
    ),
    "a node replaces an answer 500 in a fault": lambda: (
        records_with_own_answer(500, stop_s=None, fault=9.0)
    ),
    "a node answers before its server": lambda: records_with_own_answer(
        500, run_ended_s=12.1, stop_s=None
    ),
    "a node passes an answer 500 on": lambda: records_of_limit(7.0, True),
    "a node replaces an answer to a slow reader": lambda: records_of_limit(
        7.0, reading_s=0.1
    ),
    "a node replaces an answer to a half-closed GET": lambda: (
        records_of_half_closed(records_of_limit(7.0), "GET")
    ),
    "a node replaces an answer to a half-closed POST": lambda: (
        records_of_half_closed(records_of_limit(7.0), "POST")
    ),
    "a half-closed GET is cut in a stop": lambda: records_of_half_closed(
        records_with_stop(make_arrival()), "GET"
    ),
    "a node replaces an answer at the limit": lambda: records_of_limit(2.05),
    "a node replaces an answer before the limit": lambda: records_of_limit(
        2.15
    ),
    "4 of 20 are served while the store is away": lambda: (
        records_with_disturbance(
            records_with_foreign_entries(4),
            None,
            excused=observed.Excused.NONE,
        )
    ),
    "4 of 20 are served while ports are held": lambda: (
        records_with_disturbance(
            records_with_foreign_entries(4),
            (1,),
            planned=True,
            excused=observed.Excused.OWN,
        )
    ),
    "4 of 20 are served with foreign entries": lambda: (
        records_with_foreign_entries(4)
    ),
    "5 of 20 are served with foreign entries": lambda: (
        records_with_foreign_entries(5)
    ),
    "4 of 20 are served as 3 of 4 nodes stop": lambda: (
        records_with_foreign_entries_in_stops(3)
    ),
    "4 of 20 are served as 2 of 4 nodes stop": lambda: (
        records_with_foreign_entries_in_stops(2)
    ),
    "4 of 20 are served after 3 of 4 nodes stopped": lambda: (
        records_with_foreign_entries_in_stops(3, end_s=12.9)
    ),
    "16 of 20 fail as 3 of 4 nodes stop": lambda: (
        records_with_foreign_entries_in_stops(3, 502)
    ),
    "16 of 20 are broken off by servers": lambda: (
        records_with_foreign_entries_in_stops(0, 502, broken_off=True)
    ),
    "16 of 20 run and fail": lambda: records_with_foreign_entries_in_stops(
        0, 502, broken_off=False
    ),
    "4 of 20 are served with foreign entries in a fault": lambda: (
        records_with_foreign_entries(4, planned=False)
    ),
    "a public request is served with foreign entries": lambda: (
        records_with_public_request(status=200)
    ),
    "a public request is refused with foreign entries": (
        records_with_public_request
    ),
    "a public request is lost with foreign entries": lambda: (
        records_with_public_request(status=0)
    ),
    "a public request is refused as foreign entries begin": lambda: (
        records_with_public_request(sent_s=10.1)
    ),
    "a public request is refused while foreign entries stay": lambda: (
        records_with_public_request(sent_s=25.0, end_s=math.inf)
    ),
    "a public request is refused after foreign entries": lambda: (
        records_with_public_request(sent_s=14.1)
    ),
    "a public request is refused with foreign entries in a fault": lambda: (
        records_with_public_request(fault=12.0)
    ),
    "a public request is refused with foreign entries in a stop": lambda: (
        records_with_public_request(fault=12.0, planned=True)
    ),
    "a public request times out with foreign entries": lambda: (
        records_with_public_request(status=504)
    ),
    "a public request fails with foreign entries": lambda: (
        records_with_public_request(status=502)
    ),
    "a public request is refused as half of the servers leave": lambda: (
        records_with_public_request(leaving=2)
    ),
    "a public request is refused as most servers leave": lambda: (
        records_with_public_request(leaving=3)
    ),
    "a public request is refused while its node stops": lambda: (
        records_with_stopping_node(end_s=12.5)
    ),
    "a public request is refused long after its node stopped": lambda: (
        records_with_stopping_node(end_s=9.5)
    ),
    "a request with a key is refused with foreign entries": lambda: (
        records_with_public_request(key="k1")
    ),
    "a process is killed": lambda: records_with_end(
        -signal.SIGKILL, (signal.SIGKILL, 1.0)
    ),
    "a process is killed by another": lambda: records_with_end(
        -signal.SIGKILL, (signal.SIGTERM, 1.0)
    ),
    "a process ends well after a SIGTERM": lambda: records_with_end(
        0, (signal.SIGHUP, 0.1), (signal.SIGTERM, 1.0)
    ),
    "a process ends well after a SIGHUP": lambda: records_with_end(
        0, (signal.SIGHUP, 1.0)
    ),
    "a process ends with status 1 after a SIGTERM": lambda: records_with_end(
        1, (signal.SIGTERM, 1.0)
    ),
    "a process ends with status 2": lambda: records_with_end(2),
    "a SIGHUP ends a process that starts": lambda: records_with_end(
        -signal.SIGHUP, (signal.SIGHUP, 0.06)
    ),
    "a SIGTERM ends a process that starts": lambda: records_with_end(
        -signal.SIGTERM, (signal.SIGTERM, 0.06)
    ),
    "a SIGHUP ends an interpreter that starts": lambda: records_with_end(
        -signal.SIGHUP, (signal.SIGHUP, 0.02)
    ),
    "a SIGHUP ends a program that starts": lambda: records_with_end(
        -signal.SIGHUP, (signal.SIGHUP, 0.04)
    ),
    "a process takes 300 MiB": lambda: records_with_memory(300),
    "a process takes 301 MiB": lambda: records_with_memory(301),
    "a node writes a traceback": records_with_traceback,
    "nothing is served at the end": lambda: make_records(
        [make_attempt(sent_s=29.0, status=503)]
    ),
}


@given("a run in which {case}")
def step_records(context, case):
    context.records = RECORDS_BY_CASE[case]()


@then("{name} finds {found}")
def step_check_finds(context, name, found):
    lines = list(CHECK_BY_NAME[name](context.records))
    assert bool(lines) == (found == "a fault"), lines


@given("the plan of seed {seed:d} for {hosts:d} hosts and {seconds:d} s")
def step_plan(context, seed, hosts, seconds):
    context.arguments = (seed, hosts, float(seconds))
    context.plan = soak.make_plan(*context.arguments)


@then("it is the same when it is generated again")
def step_same_plan(context):
    assert context.plan == soak.make_plan(*context.arguments)


@then("its faults overlap and leave {seconds:d} s at the end")
def step_plan_overlaps(context, seconds):
    times = [planned.at_s for planned in context.plan]
    gaps = [
        later - at_s for at_s, later in zip(times, times[1:], strict=False)
    ]
    assert min(gaps) < 0.3
    assert times[-1] <= context.arguments[2] - seconds


def draw_bursts(seed, hosts, count):
    """Return the first bursts of large bodies of a seed."""
    rng = _large_bodies.make_rng(seed)
    return [_large_bodies.draw_burst(rng, hosts) for _ in range(count)]


@given("the first {count:d} bursts of seed {seed:d} for {hosts:d} hosts")
def step_bursts(context, count, seed, hosts):
    context.arguments = (seed, hosts, count)
    context.drawn = draw_bursts(*context.arguments)
    context.draw_again = draw_bursts


@then("they are the same when they are drawn again")
def step_same_bursts(context):
    assert context.drawn == context.draw_again(*context.arguments)


@then(
    "each has {fewest:d} to {most:d} bodies of {low:d} to {high:d} MiB "
    "that follow within {seconds:g} s"
)
def step_burst_bodies(context, fewest, most, low, high, seconds):
    for burst in context.drawn:
        assert fewest <= len(burst.loads) <= most, burst
        for load in burst.loads:
            assert low * MIB <= load.body_bytes <= high * MIB, load
            assert load.upload_s <= seconds, load


@then("some bursts have {count:d} bodies of {mib:d} MiB or more")
def step_largest_bodies(context, count, mib):
    assert any(
        sum(load.body_bytes >= mib * MIB for load in burst.loads) >= count
        for burst in context.drawn
    )


MEASURE_BY_NAME = {
    "age of the copy in s": lambda fault: fault.copy_age_s,
    "time away in s": lambda fault: fault.away_s,
    "time between two in s": lambda fault: fault.again_after_s or 0.0,
    "a time in s": lambda fault: sum(
        turn.paused_s + turn.run_s for turn in fault.turns
    ),
    "shortest pause in s": lambda fault: min(
        turn.paused_s for turn in fault.turns
    ),
    "longest pause in s": lambda fault: max(
        turn.paused_s for turn in fault.turns
    ),
    "longest turn in s": lambda fault: max(turn.run_s for turn in fault.turns),
    "number of signals": lambda fault: len(fault.signals),
    "number of stopped hosts": lambda fault: len(dict(fault.delay_s_by_host)),
    "time of all stops in s": lambda fault: max(
        delay_s for _, delay_s in fault.delay_s_by_host
    ),
    "time without settings in s": lambda fault: fault.missing_s,
    "time beyond the grace in s": lambda fault: (
        fault.paused_s - losses.GRACE_S
    ),
}


def draw_busy_hosts(first, last, hosts, seconds):
    """Return the faults of busy hosts of several seeds."""
    return [
        item
        for seed in range(first, last + 1)
        for item in _busy_hosts.make_faults(seed, hosts, seconds - 8.0)
    ]


@given(
    "the faults of busy hosts of seeds {first:d} to {last:d} for {hosts:d} "
    "hosts and {seconds:d} s"
)
def step_busy_hosts(context, first, last, hosts, seconds):
    context.arguments = (first, last, hosts, seconds)
    context.drawn = context.faults = draw_busy_hosts(*context.arguments)
    context.draw_again = draw_busy_hosts


def draw_restores(first, last, seconds):
    """Return the restores of several seeds."""
    return [
        drawn
        for seed in range(first, last + 1)
        for drawn in _restores.make_restores(seed, seconds)
    ]


@given("the restores of seeds {first:d} to {last:d} within {seconds:d} s")
def step_restores(context, first, last, seconds):
    context.arguments = (first, last, seconds)
    context.drawn = draw_restores(*context.arguments)
    context.faults = [fault for _, fault in context.drawn]
    context.draw_again = draw_restores


@then("some are {name}")
def step_some_faults(context, name):
    context.faults = [
        fault
        for _, fault in context.faults
        if isinstance(fault, getattr(_busy_hosts, name))
    ]
    assert context.faults


@then("each of these has {what} from {low:g} to {high:g}")
def step_fault_measure(context, what, low, high):
    measures = [MEASURE_BY_NAME[what](fault) for fault in context.faults]
    assert low <= min(measures) <= max(measures) <= high, measures


@given("the first {count:d} run times of seed {seed:d}")
def step_run_times(context, count, seed):
    times = _server.draw_run_times(random.Random(seed))
    context.run_times = list(itertools.islice(times, count))


@then(
    "{fewest:d} or more of {short:g} s come before some of {low:g} to "
    "{high:g} s"
)
def step_run_times_change(context, fewest, short, low, high):
    groups = [
        (is_short, list(group))
        for is_short, group in itertools.groupby(
            context.run_times, lambda run_s: run_s == short
        )
    ]
    context.changes = [
        (before, after)
        for (_, before), (is_short, after) in itertools.pairwise(groups)
        if not is_short
    ]
    for before, after in context.changes:
        assert len(before) >= fewest, before
        assert all(low <= run_s <= high for run_s in after), after


@then("this happens more than once")
def step_several_changes(context):
    assert len(context.changes) > 1


@given("{count:d} loads that demanding callers draw")
def step_demanding_loads(context, count):
    rng = random.Random(1)
    context.loads = [_demanding.draw_load(rng) for _ in range(count)]


@then("{fewest:d} to {most:d} of them end the sending side")
def step_ending_loads(context, fewest, most):
    ending = sum(load.ends_sending for load in context.loads)
    assert fewest <= ending <= most, ending


@given("{count:d} requests that overlapping callers draw with form {form}")
def step_overlapping_loads(context, count, form):
    rng = _overlapping.make_rng(1, 0)
    loads = []
    while len(loads) < count:
        load = _overlapping.draw_load(rng)
        if load.form is _demanding.Form[form]:
            loads.append(load)
    context.requests = [
        [part for _, part in _demanding.encode_request(load, "d1")]
        for load in loads
    ]


@then("each has {what} in {count:d} or more of its parts")
def step_request_parts(context, what, count):
    for parts in context.requests:
        assert sum(what.encode() in part for part in parts) >= count, parts[0]


@when("{faults} of seed {seed:d} are run on {hosts:d} hosts for {seconds:d} s")
def step_run_seed(context, faults, seed, hosts, seconds):
    # The soak reports all errors of its process, so that it has its own.
    command = [*SOAK_COMMAND, "--seed", str(seed), "--hosts", str(hosts)]
    command.extend(["--duration-s", str(seconds)])
    if faults == "planned work":
        command.append("--planned-only")
    context.result = subprocess.run(
        command, capture_output=True, text=True, check=False
    )


@then("no guarantee is violated")
def step_no_violation(context):
    result = context.result
    assert result.returncode == 0, result.stdout + result.stderr


@contextlib.contextmanager
def quiet_errors():
    """Print no traceback of errors that a test makes on purpose."""
    logger = logging.getLogger("asyncio")
    previous, sys.unraisablehook = sys.unraisablehook, lambda unraisable: None
    logger.disabled = True
    try:
        yield
    finally:
        logger.disabled = False
        sys.unraisablehook = previous


@when("the soak {leaves}")
def step_own_error(context, leaves):
    async def leave():
        _tracebacks.handle_loop_errors(context.errors)
        loop = asyncio.get_running_loop()
        if leaves == "leaves a stream open":
            server = await asyncio.start_server(
                lambda reader, writer: None, "127.0.0.1", 0
            )
            address = server.sockets[0].getsockname()
            _, writer = await asyncio.open_connection(*address)
            loop.call_later(0.0, writer.write, b"x")
            server.close()
        elif leaves == "leaves an error in a callback":
            loop.call_soon(int, "none")
        await asyncio.sleep(0.05)

    context.errors = []
    with quiet_errors(), _tracebacks.collect_unraisable(context.errors):
        asyncio.run(leave())


@then("its own errors are {found}")
def step_own_errors(context, found):
    assert bool(context.errors) == (found == "found"), context.errors


SIGNAL_IN_START = """
import os
import pathlib
import signal
import subprocess

pids = []
execute = subprocess.Popen._execute_child


def execute_child(self, *arguments):
    execute(self, *arguments)
    pids.append(self.pid)
    if len(pids) == {hosts}:
        path = pathlib.Path({started!r})
        path.with_suffix(".new").write_text(" ".join(map(str, pids)))
        path.with_suffix(".new").rename(path)
        os.kill(os.getpid(), signal.SIGTERM)


subprocess.Popen._execute_child = execute_child
"""
"""A `sitecustomize` module that stops a soak in the start of a process."""


def child_pids(pid):
    """Return the process ids of a process's children."""
    children = pathlib.Path(f"/proc/{pid}/task/{pid}/children")
    return [int(child) for child in children.read_text().split()]


def wait_until(condition, timeout_s):
    """Return whether a condition is met within a time limit."""
    end_s = time.monotonic() + timeout_s
    while not condition() and time.monotonic() < end_s:
        time.sleep(0.05)
    return condition()


@given("a running soak of {hosts:d} hosts")
def step_running_soak(context, hosts):
    context.soak = subprocess.Popen(
        [*SOAK_COMMAND, "--seed", "1", "--hosts", str(hosts)],
        stdout=subprocess.DEVNULL,
        stderr=subprocess.DEVNULL,
    )
    context.exit_stack = contextlib.ExitStack()
    context.exit_stack.callback(context.soak.kill)
    pid = context.soak.pid
    assert wait_until(lambda: len(child_pids(pid)) == hosts, 20.0)
    context.nodes = child_pids(pid)


@given(
    "a soak of {hosts:d} hosts that gets a SIGTERM in the start of its last "
    "process"
)
def step_stopped_in_start(context, hosts):
    context.exit_stack = contextlib.ExitStack()
    folder = pathlib.Path(
        context.exit_stack.enter_context(tempfile.TemporaryDirectory())
    )
    started = folder / "started"
    (folder / "sitecustomize.py").write_text(
        SIGNAL_IN_START.format(hosts=hosts, started=str(started))
    )
    paths = [str(folder), *filter(None, [os.environ.get("PYTHONPATH")])]
    context.soak = subprocess.Popen(
        [*SOAK_COMMAND, "--seed", "1", "--hosts", str(hosts)],
        env={**os.environ, "PYTHONPATH": os.pathsep.join(paths)},
        stdout=subprocess.DEVNULL,
        stderr=subprocess.DEVNULL,
    )
    context.exit_stack.callback(context.soak.kill)
    assert wait_until(started.exists, 20.0)
    context.nodes = [int(pid) for pid in started.read_text().split()]
    context.exit_stack.callback(kill_left, context.nodes)


def kill_left(pids):
    """Kill the processes that a soak has left."""
    for pid in pids:
        with contextlib.suppress(ProcessLookupError):
            os.kill(pid, signal.SIGKILL)


@when("it gets a SIGTERM")
def step_stop_soak(context):
    context.soak.terminate()


@then("none of its {count:d} node processes exists after {seconds:g} s")
def step_no_process(context, count, seconds):
    assert len(context.nodes) == count

    def all_gone():
        return not any(
            pathlib.Path(f"/proc/{pid}").exists() for pid in context.nodes
        )

    assert wait_until(all_gone, seconds), context.nodes
    context.soak.wait(timeout=seconds)
