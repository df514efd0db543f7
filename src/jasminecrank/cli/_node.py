"""The node command."""

import typing

import cyclopts

from jasminecrank import const
from jasminecrank import daemon
from jasminecrank import state

SeedPeers = typing.Annotated[
    tuple[str, ...],
    cyclopts.Parameter(name="--seed-peer", negative=""),
]


def node(
    *,
    host: str,
    data_centre: str,
    source_url: str,
    address: str = "127.0.0.1",
    call_port: int = 0,
    peer_port: int = 0,
    admin_port: int = 0,
    server_address: str = "127.0.0.1",
    server_port: int,
    seed_peers: SeedPeers = (),
    threads: int = 48,
    quota_policy: state.QuotaPolicy = state.QuotaPolicy.LOANS,
    fleet_hosts: int = const.FLEET_HOSTS_MAX,
) -> None:
    """Run the node beside one backend server until SIGTERM.

    Each setting is also read from JASMINECRANK_ plus its name in capitals.

    Example: jasminecrank node --host silo-control-1 --data-centre belt-a
    --source-url http://127.0.0.1:8500 --server-port 8080

    Parameters
    ----------
    host
        ID of this host in the published host list.
    data_centre
        Data centre of this host.
    source_url
        URL of the platform's configuration service.
    address
        IP address to listen on.
    call_port
        Port for callers; 0 selects a free one.
    peer_port
        Port for other nodes; 0 selects a free one.
    admin_port
        Port for operators; 0 selects a free one.
    server_address
        IP address of the backend server.
    server_port
        Port of the backend server.
    seed_peers
        ADDRESS:PORT of nodes to contact before the host list is known.
    threads
        Worker threads for calls; more than slots and queue together.
    quota_policy
        Whether nodes lend each other shares of the teams' rates.
    fleet_hosts
        Largest number of hosts that may start at once; spreads the first
        calls to the configuration service until the host list is known.
    """
    settings = daemon.NodeSettings(
        host=host,
        data_centre=data_centre,
        address=address,
        call_port=call_port,
        peer_port=peer_port,
        admin_port=admin_port,
        server_address=server_address,
        server_port=server_port,
        source_url=source_url,
        seed_peers=seed_peers,
        threads=threads,
        quota_policy=quota_policy,
        fleet_hosts=fleet_hosts,
    )
    settings.check()
    daemon.run_node(settings)
