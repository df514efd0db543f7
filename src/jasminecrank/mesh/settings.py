"""Validated settings of a node."""

from collections.abc import Mapping
from dataclasses import dataclass
from dataclasses import field

from jasminecrank.mesh import state


@dataclass(slots=True, frozen=True)
class Endpoint:
    """An IP address and a port."""

    host: str
    port: int
    setting: str = field(default="", compare=False)
    """Name of the setting, for error messages."""


@dataclass(slots=True, frozen=True)
class NodeSettings:
    """Settings that a node reads at its start."""

    host: str
    """IP address, which identifies the node to other nodes."""
    name: str
    service: str
    """Service of the backend server on the same host."""
    data_centre: str
    region_by_data_centre: Mapping[str, str]
    callers: Endpoint
    """Listener for the callers and the backend server on this host."""
    links: Endpoint
    """Listener for other nodes; the port is the same on all hosts."""
    status: Endpoint
    metrics: Endpoint
    backend_server: Endpoint
    source: Endpoint
    link_mbit_per_s: float
    """Rate of the host's network link."""
    memory_limit_bytes: int
    """Memory above which the platform ends the process."""
    quota: state.QuotaBounds
    retry_budget: state.RetryBudgetBounds
    heartbeat_s: float
    """Interval at which backend servers renew their entries."""
    stop_grace_s: float
    """Time between SIGTERM and SIGKILL."""
    drain_s: float
    """Time in which a server that is leaving may still get requests."""
    cold_overshoot: float = 1.0
    """Factor by which the rate of a server's cold start may be exceeded."""
