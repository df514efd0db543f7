"""Checked settings of a node."""

from collections.abc import Mapping
from dataclasses import dataclass

from jasminecrank.mesh import state


@dataclass(slots=True, frozen=True)
class Endpoint:
    """An IP address and a port."""

    host: str
    port: int


@dataclass(slots=True, frozen=True)
class NodeSettings:
    """What a node learns about itself and its surroundings at the start."""

    host: str
    """IP address, by which other nodes know this one."""
    name: str
    service: str
    """Service of the backend server on the same host."""
    data_centre: str
    region_by_data_centre: Mapping[str, str]
    callers: Endpoint
    """Where this host's callers and its backend server send requests."""
    links: Endpoint
    """Where other nodes connect; the port is the same on all hosts."""
    status: Endpoint
    metrics: Endpoint
    backend_server: Endpoint
    source: Endpoint
    quota: state.QuotaBounds
    retry_budget: state.RetryBudgetBounds
    stop_grace_s: float
    """Time between SIGTERM and SIGKILL."""
    drain_s: float
    """Time in which a leaving server may still get requests."""
