"""Admin HTTP server: status, events, readiness and metrics."""

from collections.abc import Callable
from collections.abc import Iterable
from dataclasses import dataclass
import json
import threading
import typing

from cheroot import wsgi
import prometheus_client
import pykka

from jasminecrank import coordination
from jasminecrank import state

StartResponse = Callable[[str, list[tuple[str, str]]], object]


@dataclass(slots=True, frozen=True)
class AdminSettings:
    """Identity of the node and listen address of the admin server."""

    host: str
    data_centre: str
    address: str
    port: int


@dataclass(slots=True, frozen=True)
class NodeActors:
    """Actors that the admin server queries for their status."""

    config: pykka.ActorRef[coordination.ConfigActor]
    admission: pykka.ActorRef[coordination.AdmissionActor]
    membership: pykka.ActorRef[coordination.MembershipActor]


class AdminApplication:
    """WSGI application of the admin endpoints."""

    __slots__ = ("_actors", "_settings")

    def __init__(self, settings: AdminSettings, actors: NodeActors) -> None:
        self._settings = settings
        self._actors = actors

    def __call__(
        self, environ: dict[str, typing.Any], start_response: StartResponse
    ) -> Iterable[bytes]:
        """Handle one admin request."""
        status, content_type, body = self._route(environ["PATH_INFO"])
        headers = [
            ("Content-Type", content_type),
            ("Content-Length", str(len(body))),
        ]
        start_response(status, headers)
        return [body]

    def _route(self, path: str) -> tuple[str, str, bytes]:
        match path:
            case "/metrics":
                return (
                    "200 OK",
                    prometheus_client.CONTENT_TYPE_LATEST,
                    prometheus_client.generate_latest(),
                )
            case "/status":
                return "200 OK", "application/json", self._status()
            case "/events":
                return "200 OK", "application/json", self._events()
            case "/ready":
                ready = self._config_status().ready
                status = "200 OK" if ready else "503 Service Unavailable"
                return status, "text/plain", b"ready\n" if ready else b"no\n"
            case _:
                return "404 Not Found", "text/plain", b"not found\n"

    def _config_status(self) -> coordination.ConfigStatus:
        status: coordination.ConfigStatus = coordination.ask(
            self._actors.config, coordination.GetStatus()
        )
        return status

    def _status(self) -> bytes:
        config = self._config_status()
        admission: coordination.AdmissionStatus = coordination.ask(
            self._actors.admission, coordination.GetStatus()
        )
        peers: tuple[coordination.PeerStatus, ...] = coordination.ask(
            self._actors.membership, coordination.GetStatus()
        )
        values = {
            "host": self._settings.host,
            "data_centre": self._settings.data_centre,
            "ready": config.ready,
            "reason": config.reason,
            "watching": config.watching,
            "source_error": config.source_error,
            "confirmed_age_s": config.confirmed_age_s,
            "versions": _version_text_by_name(config.versions),
            "slots_in_use": admission.slots_in_use,
            "capacity": admission.capacity,
            "queued": admission.queued,
            "quota_usable": admission.quota_usable,
            "results": {
                code.name: count
                for code, count in sorted(admission.by_result.items())
            },
            "peers": {
                peer.host: {
                    "silence_s": round(peer.silence_s, 3),
                    "versions": _version_text_by_name(peer.versions),
                }
                for peer in peers
            },
            "invariant_violations": {
                code.name: count
                for code, count in sorted(state.violations_by_code.items())
            },
        }
        return json.dumps(values, sort_keys=True).encode()

    def _events(self) -> bytes:
        events: tuple[state.Event, ...] = coordination.ask(
            self._actors.membership, coordination.GetEvents()
        )
        values = [
            {
                "stamp": [event.stamp.wall_ms, event.stamp.counter],
                "host": event.stamp.host,
                "event": event.name,
                **event.fields,
            }
            for event in events
        ]
        return json.dumps(values).encode()


class AdminServer:
    """Owns the listening socket of the admin endpoints."""

    __slots__ = ("_server",)

    def __init__(
        self, settings: AdminSettings, application: AdminApplication
    ) -> None:
        self._server = wsgi.Server(
            (settings.address, settings.port), application, numthreads=2
        )

    def start(self) -> int:
        """Start serving and return the bound port."""
        self._server.prepare()
        threading.Thread(
            target=self._server.serve, name="admin-accept", daemon=True
        ).start()
        port: int = self._server.bind_addr[1]
        return port

    def stop(self) -> None:
        """Close the listening socket and stop the worker threads."""
        self._server.stop()


def _version_text_by_name(versions: state.VersionVector) -> dict[str, str]:
    return {name.value: str(versions.get(name)) for name in state.DocumentName}
