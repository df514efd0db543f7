"""Plays series of signals and restarts against a deployment."""

import asyncio
from collections.abc import Sequence
import signal
import typing

from jasminecrank.standins.soak import _deployment
from jasminecrank.standins.soak import _processes
from jasminecrank.standins.soak import _series
from jasminecrank.standins.soak import observed

RECOVERY_S = 2.0
STOP_TIMEOUT_S = 8.0
"""Time in which a node that got a SIGTERM is back."""


async def inject(
    deployment: _deployment.SoakDeployment, series: _series.Series
) -> None:
    """Play a series and wait until its effects have ended."""
    match series:
        case _series.StartSignals(host, signals):
            with deployment.record_disturbance((host,), planned=True):
                await _signal_start(deployment, host, signals)
        case _series.StopSignals(host, signals):
            with deployment.record_disturbance((host,), planned=True):
                runs = deployment.nodes[host].runs
                if runs:
                    send(deployment, host, runs[-1], signal.SIGTERM)
                    await _send_all(deployment, host, runs[-1], signals)
                await asyncio.sleep(STOP_TIMEOUT_S - signals[-1].delay_s)
        case _series.RestartOverlapped():
            with deployment.record_disturbance((series.host,), planned=True):
                await _restart(deployment, series)
        case _series.ForeignEntries(hosts, duration_s):
            period = observed.ForeignEntryPeriod(deployment.now_s())
            deployment.records.foreign_entry_periods.append(period)
            await deployment.put_foreign_entries(hosts)
            if duration_s is not None:
                await asyncio.sleep(duration_s)
                period.end_s = deployment.now_s()
                await deployment.delete_foreign_entries(hosts)
        case _:
            typing.assert_never(series)


def send(
    deployment: _deployment.SoakDeployment,
    host: int,
    run: _processes.ProcessRun,
    number: signal.Signals,
) -> None:
    """Send a SIGTERM or SIGHUP and record it."""
    if not run.send_signal(number):
        return
    records = deployment.records
    now_s = deployment.now_s()
    if number is signal.SIGTERM:
        records.terminations.append(
            observed.Termination(host, run.incarnation, now_s)
        )
    else:
        records.reloads.append(observed.Reload(host, run.incarnation, now_s))


def send_to_newest(
    deployment: _deployment.SoakDeployment, host: int, number: signal.Signals
) -> None:
    """Send a SIGTERM or SIGHUP to the newest process of a node."""
    runs = deployment.nodes[host].runs
    if runs:
        send(deployment, host, runs[-1], number)


async def _send_all(
    deployment: _deployment.SoakDeployment,
    host: int,
    run: _processes.ProcessRun,
    signals: Sequence[_series.TimedSignal],
) -> None:
    passed_s = 0.0
    for timed in signals:
        await asyncio.sleep(timed.delay_s - passed_s)
        passed_s = timed.delay_s
        send(deployment, host, run, timed.number)


async def _signal_start(
    deployment: _deployment.SoakDeployment,
    host: int,
    signals: Sequence[_series.TimedSignal],
) -> None:
    node = deployment.nodes[host]
    incarnation = node.incarnation
    send_to_newest(deployment, host, signal.SIGTERM)
    try:
        async with asyncio.timeout(STOP_TIMEOUT_S):
            run = await node.next_run(incarnation)
    except TimeoutError:
        return  # The process is still paused or stopping.
    await _send_all(deployment, host, run, signals)
    await asyncio.sleep(RECOVERY_S)


async def _restart(
    deployment: _deployment.SoakDeployment,
    series: _series.RestartOverlapped,
) -> None:
    node = deployment.nodes[series.host]
    stopping = node.runs[-1] if node.runs else None
    send_to_newest(deployment, series.host, signal.SIGTERM)
    await asyncio.sleep(series.delay_s)
    deployment.write_settings(series.host, 20, series.written_ratio)
    if stopping is not None:
        node.replace(stopping)
    await asyncio.sleep(series.completed_s)
    deployment.write_settings(series.host, 20)
    await asyncio.sleep(STOP_TIMEOUT_S)
