"""Plays busy hosts, stops of many nodes and late starts."""

import asyncio
import signal
import typing

from jasminecrank.standins import fleet
from jasminecrank.standins.soak import _busy_hosts
from jasminecrank.standins.soak import _deployment
from jasminecrank.standins.soak import _series_injector
from jasminecrank.standins.soak import observed

STOP_TIMEOUT_S = _series_injector.STOP_TIMEOUT_S


async def inject(
    deployment: _deployment.SoakDeployment,
    fault: _busy_hosts.BusyHostFault,
) -> None:
    """Play a fault and wait until its effects have ended."""
    match fault:
        case _busy_hosts.HostsBusy(hosts, _, signals):
            with deployment.record_disturbance(hosts, planned=True):
                turns = asyncio.create_task(_take_turns(deployment, fault))
                passed_s = 0.0
                for timed in signals:
                    await asyncio.sleep(timed.delay_s - passed_s)
                    passed_s = timed.delay_s
                    for host in hosts:
                        _series_injector.send_to_newest(
                            deployment, host, timed.number
                        )
                await turns
                await asyncio.sleep(STOP_TIMEOUT_S)
        case _busy_hosts.ManyStopped():
            # Nodes that start without the store serve nobody.
            with deployment.record_disturbance(
                None, excused=observed.Excused.NONE
            ):
                await _stop_many(deployment, fault)
        case _busy_hosts.SettingsMissing(host, missing_s):
            with deployment.record_disturbance((host,), planned=True):
                deployment.remove_settings(host)
                _series_injector.send_to_newest(
                    deployment, host, signal.SIGTERM
                )
                await asyncio.sleep(missing_s)
                deployment.write_settings(host, 20)
                await asyncio.sleep(STOP_TIMEOUT_S)
        case _busy_hosts.PortsHeld():
            # Others answer in time without the host, which may be late.
            with deployment.record_disturbance(
                (fault.host,), planned=True, excused=observed.Excused.OWN
            ):
                await _hold_ports(deployment, fault)
        case _:
            typing.assert_never(fault)


async def _take_turns(
    deployment: _deployment.SoakDeployment, busy: _busy_hosts.HostsBusy
) -> None:
    # Pauses of two faults would add up to seconds.
    hosts = set(busy.hosts) - deployment.busy_hosts
    deployment.busy_hosts |= hosts
    for turn in busy.turns:
        runs = [run for host in hosts for run in deployment.nodes[host].runs]
        for run in runs:
            run.pause()
        await asyncio.sleep(turn.paused_s)
        for run in runs:
            run.resume()
        await asyncio.sleep(turn.run_s)
    deployment.busy_hosts -= hosts


async def _stop_many(
    deployment: _deployment.SoakDeployment, stops: _busy_hosts.ManyStopped
) -> None:
    async def stop(host: int, delay_s: float) -> None:
        await asyncio.sleep(delay_s)
        _series_injector.send_to_newest(deployment, host, signal.SIGTERM)
        await asyncio.sleep(STOP_TIMEOUT_S)

    async def fail_store() -> None:
        await asyncio.sleep(stops.outage_delay_s)
        deployment.store.outage = stops.outage
        await asyncio.sleep(stops.outage_s)
        deployment.store.outage = fleet.Outage.NONE

    await asyncio.gather(
        fail_store(),
        *(stop(host, delay_s) for host, delay_s in stops.delay_s_by_host),
    )


async def _hold_ports(
    deployment: _deployment.SoakDeployment, held: _busy_hosts.PortsHeld
) -> None:
    node = deployment.nodes[held.host]
    stopping = node.runs[-1] if node.runs else None
    _series_injector.send_to_newest(deployment, held.host, signal.SIGTERM)
    await asyncio.sleep(held.delay_s)
    if stopping is not None:
        stopping.pause()
        node.replace(stopping)
        await asyncio.sleep(held.paused_s)
        stopping.resume()
    await asyncio.sleep(STOP_TIMEOUT_S)
