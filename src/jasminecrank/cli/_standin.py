"""Commands that run stand-ins for the platform and backend servers."""

import json
import pathlib
import signal
import sys
import threading
import types

import cyclopts

from jasminecrank import standins

app = cyclopts.App(
    name="standin", help="Run stand-ins for the platform and backend servers."
)


@app.command
def platform(
    directory: pathlib.Path,
    *,
    address: str = "127.0.0.1",
    port: int = 0,
    threads: int = 64,
) -> None:
    """Serve compiled documents; SIGHUP reloads the directory.

    Example: jasminecrank standin platform compiled --port 8500
    """
    stand_in = standins.PlatformStandIn(address, port, threads)
    stand_in.publish_directory(directory)

    def republish(signum: int, frame: types.FrameType | None) -> None:
        del signum, frame
        stand_in.publish_directory(directory)

    signal.signal(signal.SIGHUP, republish)
    _print_port(stand_in.start())
    _wait_for_stop()
    stand_in.stop()


@app.command
def backend_server(
    *,
    address: str = "127.0.0.1",
    port: int = 0,
    slots: int = 12,
    cold_slots: int = 3,
    ramp_s: float = 0.0,
    service_time_ms: float = 5.0,
    threads: int = 64,
) -> None:
    """Answer calls like a backend server with slots and a cold start.

    Example: jasminecrank standin backend-server --slots 12 --cold-slots 3
    """
    stand_in = standins.BackendServerStandIn(
        standins.BackendServerSettings(
            address=address,
            port=port,
            slots=slots,
            cold_slots=cold_slots,
            ramp_s=ramp_s,
            service_time_s=service_time_ms / 1000,
            threads=threads,
        )
    )
    _print_port(stand_in.start())
    _wait_for_stop()
    stand_in.stop()


def _print_port(port: int) -> None:
    sys.stdout.write(json.dumps({"port": port}) + "\n")
    sys.stdout.flush()


def _wait_for_stop() -> None:
    stop_requested = threading.Event()

    def request_stop(signum: int, frame: types.FrameType | None) -> None:
        del signum, frame
        stop_requested.set()

    signal.signal(signal.SIGTERM, request_stop)
    signal.signal(signal.SIGINT, request_stop)
    stop_requested.wait()
