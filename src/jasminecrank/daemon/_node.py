"""Setup and shutdown of the node process."""

import contextlib
from dataclasses import dataclass
import gc
import os
import random
import signal
import socket
import sys
import threading
import time
import types

import pykka

from jasminecrank import coordination
from jasminecrank import exceptions
from jasminecrank import state
from jasminecrank import transport
from jasminecrank.daemon import _settings

_SWITCH_INTERVAL_S = 0.0005  # the default of 0.005 adds up to 5 ms to a call
_LISTEN_BACKLOG = 128
_DRAIN_TIMEOUT_S = 20.0  # exceeds the 5 s deadlines of the example routes


@dataclass(slots=True)
class Node:
    """The actors and sockets of one running node."""

    timers: coordination.Timers
    config: pykka.ActorRef[coordination.ConfigActor]
    admission: pykka.ActorRef[coordination.AdmissionActor]
    membership: pykka.ActorRef[coordination.MembershipActor]
    call_server: transport.CallServer
    peer_server: transport.PeerServer
    admin_server: transport.AdminServer

    @classmethod
    def from_config(cls, settings: _settings.NodeSettings) -> "Node":
        """Start the actors and servers of a node."""
        clock = state.SystemClock()
        timers = coordination.Timers.start(clock)
        rng = random.Random(f"{settings.host}/{os.getpid()}/{time.time_ns()}")
        config = coordination.ConfigActor.start(
            coordination.ConfigSettings(
                settings.host,
                settings.data_centre,
                asks_peers_first=bool(settings.seed_peers),
                fleet_hosts=settings.fleet_hosts,
            ),
            clock,
            timers,
            rng,
        )
        admission = coordination.AdmissionActor.start(
            coordination.AdmissionSettings(
                settings.host, settings.threads, settings.quota_policy
            ),
            clock,
            timers,
        )
        membership = _start_membership(settings, clock, timers, rng)
        source = transport.SourceReader.start(settings.source_url, config)
        backend_server = transport.Target(
            settings.server_address, settings.server_port
        )
        transport.HealthProbe.start(backend_server, timers, admission)
        node = cls(
            timers=timers,
            config=config,
            admission=admission,
            membership=membership,
            call_server=_start_call_server(settings, admission, clock),
            peer_server=transport.PeerServer.start(
                settings.host, membership, _listen_for_peers(settings)
            ),
            admin_server=_start_admin_server(
                settings,
                transport.NodeActors(config, admission, membership),
            ),
        )
        config.proxy().connect(membership, source, (admission, membership))
        admission.proxy().connect(membership)
        membership.proxy().connect(config, admission)
        return node

    def stop(self) -> None:
        """Shut down gracefully: finish calls in progress, then close."""
        self.admission.tell(coordination.StopRequested())
        self.membership.tell(coordination.StopRequested())
        self.call_server.drain()
        drained: pykka.ThreadingFuture[None] = pykka.ThreadingFuture()
        self.admission.tell(coordination.AwaitDrained(drained))
        with contextlib.suppress(pykka.Timeout):
            drained.get(timeout=_DRAIN_TIMEOUT_S)
        self.call_server.stop()
        self.admin_server.stop()
        self.peer_server.stop()
        self.timers.stop()


def _start_membership(
    settings: _settings.NodeSettings,
    clock: state.Clock,
    timers: coordination.Timers,
    rng: random.Random,
) -> pykka.ActorRef[coordination.MembershipActor]:
    def dial(
        address: str,
        hello: coordination.Hello,
        mailbox: coordination.Mailbox,
    ) -> None:
        transport.start_dial(hello, address, mailbox)

    membership_settings = coordination.MembershipSettings(
        host=settings.host,
        data_centre=settings.data_centre,
        incarnation=time.time_ns(),
        seed_peers=settings.seed_peers,
    )
    return coordination.MembershipActor.start(
        membership_settings, clock, timers, rng, dial, transport.log_event
    )


def _start_call_server(
    settings: _settings.NodeSettings,
    admission: pykka.ActorRef[coordination.AdmissionActor],
    clock: state.Clock,
) -> transport.CallServer:
    call_settings = transport.CallServerSettings(
        host=settings.host,
        address=settings.address,
        port=settings.call_port,
        backend_server=transport.Target(
            settings.server_address, settings.server_port
        ),
        threads=settings.threads,
    )
    application = transport.CallApplication.from_settings(
        call_settings, admission, coordination.RetryActor.start(), clock
    )
    server = transport.CallServer(call_settings, application)
    port = server.start()
    transport.log_fields("listening", {"socket": "calls", "port": port})
    return server


def _start_admin_server(
    settings: _settings.NodeSettings, actors: transport.NodeActors
) -> transport.AdminServer:
    admin_settings = transport.AdminSettings(
        settings.host,
        settings.data_centre,
        settings.address,
        settings.admin_port,
    )
    application = transport.AdminApplication(admin_settings, actors)
    server = transport.AdminServer(admin_settings, application)
    port = server.start()
    transport.log_fields("listening", {"socket": "admin", "port": port})
    return server


def _listen_for_peers(settings: _settings.NodeSettings) -> socket.socket:
    listener = socket.create_server(
        (settings.address, settings.peer_port), backlog=_LISTEN_BACKLOG
    )
    port = listener.getsockname()[1]
    transport.log_fields("listening", {"socket": "peers", "port": port})
    return listener


def _check_sockets(settings: _settings.NodeSettings) -> None:
    """Raise SettingError for an address or port that cannot be bound.

    Runs before any thread is started, because the threads of a partially
    started node would keep the process alive.
    """
    _check_socket("address", settings.address, 0)
    _check_socket("call-port", settings.address, settings.call_port)
    _check_socket("peer-port", settings.address, settings.peer_port)
    _check_socket("admin-port", settings.address, settings.admin_port)


def _check_socket(setting: str, address: str, port: int) -> None:
    try:
        socket.create_server((address, port)).close()
    except OSError as error:
        raise exceptions.SettingError(
            f"--{setting}: port {port} of {address} cannot be bound: "
            f"{error.strerror}"
        ) from None


def run_node(settings: _settings.NodeSettings) -> None:
    """Run a node until SIGTERM or SIGINT."""
    _check_sockets(settings)
    transport.install_json_logging(settings.host, settings.data_centre)
    sys.setswitchinterval(_SWITCH_INTERVAL_S)
    stopping = threading.Event()

    def request_stop(signum: int, frame: types.FrameType | None) -> None:
        del signum, frame
        stopping.set()

    signal.signal(signal.SIGTERM, request_stop)
    signal.signal(signal.SIGINT, request_stop)
    node = Node.from_config(settings)
    # Excludes objects that live as long as the process from collection.
    gc.freeze()
    stopping.wait()
    node.stop()
    transport.log_fields("stopped", {})
