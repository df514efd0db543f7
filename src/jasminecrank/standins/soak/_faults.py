"""Injects the planned faults into a deployment."""

import asyncio
from collections.abc import Sequence
import random
import signal
import typing

from jasminecrank.standins import fleet
from jasminecrank.standins.soak import _busy_hosts
from jasminecrank.standins.soak import _busy_hosts_injector
from jasminecrank.standins.soak import _deployment
from jasminecrank.standins.soak import _plan
from jasminecrank.standins.soak import _proxy
from jasminecrank.standins.soak import _restores
from jasminecrank.standins.soak import _series
from jasminecrank.standins.soak import _series_injector
from jasminecrank.standins.soak import checks
from jasminecrank.standins.soak import observed

DRAIN_TIMEOUT_S = 2.0
EVACUATION_TIMEOUT_S = 5.0
"""Platform limits for draining a server and evacuating a data centre."""
SCHEDULING_SLACK_S = 0.3
"""Allowance for delays of the test machine on top of a limit."""
KILL_RECOVERY_S = 2.0
TERMINATION_RECOVERY_S = 8.0
"""Time in which a node is back after a SIGKILL or a SIGTERM."""
POWER_OFF_S = 0.5
UPDATE_INTERVAL_S = 0.1


class FaultInjector:
    """Injects faults into a deployment from outside its nodes."""

    def __init__(self, deployment: _deployment.SoakDeployment) -> None:
        self._deployment = deployment
        self._data_centres_out: set[int] = set()

    async def inject(self, planned: _plan.PlannedFault) -> None:
        """Wait until a fault is due, inject it and wait until it has ended."""
        await asyncio.sleep(planned.at_s)
        fault = planned.fault
        if isinstance(fault, _plan.ProcessFault):
            await self._inject_process_fault(fault)
        elif isinstance(fault, _plan.NetworkFault):
            await self._inject_network_fault(fault)
        elif isinstance(fault, _plan.ServerFault):
            await self._inject_server_fault(fault)
        elif isinstance(fault, _plan.OperatorChange):
            await self._apply_change(fault)
        elif isinstance(fault, _series.Series):
            await _series_injector.inject(self._deployment, fault)
        elif isinstance(fault, _busy_hosts.BusyHostFault):
            await _busy_hosts_injector.inject(self._deployment, fault)
        elif isinstance(fault, _restores.StoreRestored):
            await self._restore_store(fault)
        else:
            typing.assert_never(fault)

    async def _inject_process_fault(self, fault: _plan.ProcessFault) -> None:
        nodes = self._deployment.nodes
        match fault:
            case _plan.NodesKilled(hosts, with_servers):
                with self._deployment.record_disturbance(hosts):
                    for host in hosts:
                        nodes[host].send_signal(signal.SIGKILL)
                    if with_servers:
                        await self._restart_servers(hosts)
                    await asyncio.sleep(KILL_RECOVERY_S)
            case _plan.NodePaused(host, duration_s):
                with self._deployment.record_disturbance((host,)):
                    # A successor may be the newest process at the end.
                    paused = nodes[host].runs[-1:]
                    for run in paused:
                        run.pause()
                    await asyncio.sleep(duration_s)
                    for run in paused:
                        run.resume()
            case _plan.NodeTerminated(host):
                with self._deployment.record_disturbance(
                    (host,), planned=True
                ):
                    _series_injector.send_to_newest(
                        self._deployment, host, signal.SIGTERM
                    )
                    await asyncio.sleep(TERMINATION_RECOVERY_S)
            case _plan.SettingsChanged(host, retry_slack):
                self._deployment.write_settings(host, retry_slack)
                _series_injector.send_to_newest(
                    self._deployment, host, signal.SIGHUP
                )
            case _:
                typing.assert_never(fault)

    async def _inject_network_fault(self, fault: _plan.NetworkFault) -> None:
        deployment = self._deployment
        match fault:
            case _plan.LinksDegraded(hosts, condition, duration_s):
                group = set(hosts)
                affected = [
                    proxy
                    for pair, proxy in deployment.link_proxy_by_hosts.items()
                    if len(group.intersection(pair)) == 1
                ]
                # Calls pass through a second host: any caller may be affected.
                with deployment.record_disturbance(None):
                    await _apply_condition(affected, condition, duration_s)
            case _plan.StoreOutage(outage, duration_s):
                with deployment.record_disturbance(
                    None, excused=observed.Excused.NONE
                ):
                    deployment.store.outage = outage
                    await asyncio.sleep(duration_s)
                    deployment.store.outage = fleet.Outage.NONE
            case _plan.StoreLinksDegraded(hosts, condition, duration_s):
                proxies = [deployment.store_proxies[host] for host in hosts]
                with deployment.record_disturbance(hosts):
                    await _apply_condition(proxies, condition, duration_s)
            case _plan.StoreCompacted():
                await deployment.store.compact()
            case _:
                typing.assert_never(fault)

    async def _inject_server_fault(self, fault: _plan.ServerFault) -> None:
        match fault:
            case _plan.ServerCrashed(host, duration_s):
                await self._restart_servers((host,), duration_s)
            case _plan.ServerReplaced(host):
                await self._replace(host)
            case _plan.ServerMisbehaves(host, behaviour, duration_s):
                server = self._deployment.servers[host]
                server.default_behaviour = behaviour
                await asyncio.sleep(duration_s)
                server.default_behaviour = fleet.Behaviour.SERVE
            case _:
                typing.assert_never(fault)

    async def _restore_store(self, fault: _restores.StoreRestored) -> None:
        deployment = self._deployment
        rng = random.Random(f"written again {fault}")
        copy = deployment.store.copy()
        await asyncio.sleep(fault.copy_age_s)
        await deployment.restore_store(
            copy, fault.away_s, fault.again_after_s, rng
        )
        await deployment.add_route()

    async def _apply_change(self, change: _plan.OperatorChange) -> None:
        match change:
            case _plan.KeyWithdrawn(team):
                await self._withdraw_key(f"team-{team}")
            case _plan.TableUpdateBurst(versions):
                for _ in range(versions):
                    await self._deployment.publish()
                    await asyncio.sleep(UPDATE_INTERVAL_S)
            case _plan.DataCentreOut(number, duration_s):
                await self._take_out_data_centre(number, duration_s)
            case _:
                typing.assert_never(change)

    async def _restart_servers(
        self, hosts: Sequence[int], down_s: float = POWER_OFF_S
    ) -> None:
        restarting_hosts = self._deployment.restarting_hosts
        available = [host for host in hosts if host not in restarting_hosts]
        restarting_hosts.update(available)
        await asyncio.gather(
            *(
                self._deployment.restart_server(host, down_s)
                for host in available
            )
        )
        restarting_hosts.difference_update(available)

    async def _replace(self, host: int) -> None:
        deployment = self._deployment
        if host in deployment.restarting_hosts:
            return
        deployment.restarting_hosts.add(host)
        await deployment.register(host, "draining")
        period = observed.OutOfServicePeriod(
            host,
            deployment.now_s() + DRAIN_TIMEOUT_S + SCHEDULING_SLACK_S,
            limit_s=DRAIN_TIMEOUT_S + SCHEDULING_SLACK_S,
        )
        deployment.records.out_of_service_periods.append(period)
        await asyncio.sleep(DRAIN_TIMEOUT_S + 1.0)
        period.until_s = deployment.now_s()
        await deployment.restart_server(host, 0.2)
        deployment.restarting_hosts.discard(host)

    async def _withdraw_key(self, team: str) -> None:
        deployment = self._deployment
        deployment.issue_key(team)
        await deployment.publish()
        # Callers get the new key before the old one is withdrawn.
        await asyncio.sleep(checks.CONFIG_APPLY_S)
        key = deployment.keys_by_team[team].pop(0)
        await deployment.publish()
        deployment.records.withdrawn_s_by_key[key] = deployment.now_s()

    async def _take_out_data_centre(
        self, number: int, duration_s: float
    ) -> None:
        if number in self._data_centres_out:
            return
        self._data_centres_out.add(number)
        deployment = self._deployment
        key = f"op/evacuate/{_deployment.DATA_CENTRES[number]}"
        await deployment.write(key, {})
        periods = [
            observed.OutOfServicePeriod(
                host,
                deployment.now_s() + EVACUATION_TIMEOUT_S,
                limit_s=EVACUATION_TIMEOUT_S,
            )
            for host in deployment.hosts
            if host % 2 == number
        ]
        deployment.records.out_of_service_periods.extend(periods)
        await asyncio.sleep(duration_s)
        for period in periods:
            period.until_s = deployment.now_s()
        await deployment.remove(key)
        self._data_centres_out.discard(number)


async def _apply_condition(
    proxies: Sequence[_proxy.Proxy],
    condition: _proxy.LinkCondition,
    duration_s: float,
) -> None:
    for proxy in proxies:
        proxy.set_condition(condition)
    await asyncio.sleep(duration_s)
    for proxy in proxies:
        proxy.set_condition(_proxy.LinkCondition.NORMAL)
