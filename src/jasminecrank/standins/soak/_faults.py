"""Brings the planned faults about."""

import asyncio
from collections.abc import Sequence
import signal
import typing

from jasminecrank.standins import fleet
from jasminecrank.standins.soak import _deployment
from jasminecrank.standins.soak import _plan
from jasminecrank.standins.soak import _proxy
from jasminecrank.standins.soak import checks
from jasminecrank.standins.soak import observed

DRAIN_S = 2.0
EVACUATE_S = 5.0
"""Bounds of the platform on servers that leave and on data centres."""
APPLIED_S = 0.3
"""Delays of this machine on top of a bound."""
KILLED_S = 2.0
TERMINATED_S = 8.0
"""Time in which a node is back that was killed or asked to stop."""
POWER_OFF_S = 0.5
STORM_GAP_S = 0.1


class FaultPlayer:
    """Acts on a deployment from outside its nodes."""

    def __init__(self, site: _deployment.SoakDeployment) -> None:
        self._site = site
        self._data_centres_out: set[int] = set()

    async def play(self, planned: _plan.Planned) -> None:
        """Wait for the time of a fault, and play it to its end."""
        await asyncio.sleep(planned.at_s)
        fault = planned.fault
        match fault:
            case (
                _plan.NodesKilled()
                | _plan.NodePaused()
                | _plan.NodeTerminated()
                | _plan.SettingsChanged()
            ):
                await self._harm_process(fault)
            case (
                _plan.LinksHarmed()
                | _plan.StoreHarmed()
                | _plan.StoreCut()
                | _plan.StoreCompacted()
            ):
                await self._harm_network(fault)
            case (
                _plan.ServerCrashed()
                | _plan.ServerReplaced()
                | _plan.ServerMisbehaves()
            ):
                await self._harm_server(fault)
            case (
                _plan.KeyWithdrawn()
                | _plan.TableStorm()
                | _plan.DataCentreOut()
            ):
                await self._change(fault)
            case _:
                typing.assert_never(fault)

    async def _harm_process(self, fault: _plan.ProcessFault) -> None:
        nodes = self._site.nodes
        match fault:
            case _plan.NodesKilled(hosts, with_servers):
                with self._site.disturbed(hosts):
                    for host in hosts:
                        nodes[host].send(signal.SIGKILL)
                    if with_servers:
                        await self._restart_servers(hosts)
                    await asyncio.sleep(KILLED_S)
            case _plan.NodePaused(host, for_s):
                with self._site.disturbed((host,)):
                    nodes[host].send(signal.SIGSTOP)
                    await asyncio.sleep(for_s)
                    nodes[host].send(signal.SIGCONT)
            case _plan.NodeTerminated(host):
                with self._site.disturbed((host,), planned=True):
                    now_s = self._site.now_s()
                    self._site.records.terminated.append((host, now_s))
                    nodes[host].send(signal.SIGTERM)
                    await asyncio.sleep(TERMINATED_S)
            case _plan.SettingsChanged(host, retry_slack):
                self._site.write_settings(host, retry_slack)
                nodes[host].send(signal.SIGHUP)
            case _:
                typing.assert_never(fault)

    async def _harm_network(self, fault: _plan.NetworkFault) -> None:
        site = self._site
        match fault:
            case _plan.LinksHarmed(hosts, condition, for_s):
                inside = set(hosts)
                harmed = [
                    proxy
                    for pair, proxy in site.link_proxies.items()
                    if len(inside.intersection(pair)) == 1
                ]
                # A call takes a second host, so all callers may notice.
                with site.disturbed(None):
                    await _harm(harmed, condition, for_s)
            case _plan.StoreHarmed(outage, for_s):
                with site.disturbed(None):
                    site.store.outage = outage
                    await asyncio.sleep(for_s)
                    site.store.outage = fleet.Outage.NONE
            case _plan.StoreCut(hosts, condition, for_s):
                proxies = [site.store_proxies[host] for host in hosts]
                with site.disturbed(hosts):
                    await _harm(proxies, condition, for_s)
            case _plan.StoreCompacted():
                await site.store.compact()
            case _:
                typing.assert_never(fault)

    async def _harm_server(self, fault: _plan.ServerFault) -> None:
        match fault:
            case _plan.ServerCrashed(host, for_s):
                await self._restart_servers((host,), for_s)
            case _plan.ServerReplaced(host):
                await self._replace(host)
            case _plan.ServerMisbehaves(host, behaviour, for_s):
                server = self._site.servers[host]
                server.always = behaviour
                await asyncio.sleep(for_s)
                server.always = fleet.Behaviour.SERVE
            case _:
                typing.assert_never(fault)

    async def _change(self, change: _plan.OperatorChange) -> None:
        match change:
            case _plan.KeyWithdrawn(team):
                await self._withdraw_key(f"team-{team}")
            case _plan.TableStorm(versions):
                for _ in range(versions):
                    await self._site.publish()
                    await asyncio.sleep(STORM_GAP_S)
            case _plan.DataCentreOut(number, for_s):
                await self._evacuate(number, for_s)
            case _:
                typing.assert_never(change)

    async def _restart_servers(
        self, hosts: Sequence[int], down_s: float = POWER_OFF_S
    ) -> None:
        leaving = self._site.leaving
        free = [host for host in hosts if host not in leaving]
        leaving.update(free)
        await asyncio.gather(
            *(self._site.restart_server(host, down_s) for host in free)
        )
        leaving.difference_update(free)

    async def _replace(self, host: int) -> None:
        site = self._site
        if host in site.leaving:
            return
        site.leaving.add(host)
        await site.register(host, "draining")
        promise = observed.Promise(host, site.now_s() + DRAIN_S + APPLIED_S)
        site.records.no_new_work.append(promise)
        await asyncio.sleep(DRAIN_S + 1.0)
        promise.until_s = site.now_s()
        await site.restart_server(host, 0.2)
        site.leaving.discard(host)

    async def _withdraw_key(self, team: str) -> None:
        site = self._site
        site.issue_key(team)
        await site.publish()
        # Callers learn of a new key before the old one goes.
        await asyncio.sleep(checks.APPLY_S)
        key = site.keys_by_team[team].pop(0)
        await site.publish()
        site.records.withdrawn_s_by_key[key] = site.now_s()

    async def _evacuate(self, number: int, for_s: float) -> None:
        if number in self._data_centres_out:
            return
        self._data_centres_out.add(number)
        site = self._site
        key = f"op/evacuate/{_deployment.DATA_CENTRES[number]}"
        await site.store.put(key, {})
        promises = [
            observed.Promise(host, site.now_s() + EVACUATE_S)
            for host in site.hosts
            if host % 2 == number
        ]
        site.records.no_new_work.extend(promises)
        await asyncio.sleep(for_s)
        for promise in promises:
            promise.until_s = site.now_s()
        await site.store.delete(key)
        self._data_centres_out.discard(number)


async def _harm(
    proxies: Sequence[_proxy.Proxy],
    condition: _proxy.Condition,
    for_s: float,
) -> None:
    for proxy in proxies:
        proxy.set(condition)
    await asyncio.sleep(for_s)
    for proxy in proxies:
        proxy.set(_proxy.Condition.WELL)
