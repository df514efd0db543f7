"""Measurement scenarios: traffic and scheduled faults and changes."""

from collections.abc import Iterable
from dataclasses import dataclass

from jasminecrank import state
from jasminecrank.standins import _deployment
from jasminecrank.standins import _traffic

_LOAD_FRACTION = 0.5
_SINGLE_HOST_LOAD_FRACTION = 0.25
_DURATION_S = 14.0
_EXCESS_FACTOR = 5.0
_NODE_CALLS_PER_S = 118.0
"""Calls/s on one node at the design size."""


@dataclass(slots=True, frozen=True)
class PublishChange:
    """Publish a valid table in which one weight differs."""

    at_s: float


@dataclass(slots=True, frozen=True)
class PublishInvalid:
    """Publish a table that every node must reject."""

    at_s: float


@dataclass(slots=True, frozen=True)
class SetOutage:
    """Take a data centre out of service or return it to service."""

    at_s: float
    data_centre: str
    state: state.OutageState


@dataclass(slots=True, frozen=True)
class KillNode:
    """Kill a node process with SIGKILL."""

    at_s: float
    host: str


@dataclass(slots=True, frozen=True)
class StartNode:
    """Restart a killed node on the same ports."""

    at_s: float
    host: str


@dataclass(slots=True, frozen=True)
class PauseNodes:
    """Suspend the nodes of a data centre with SIGSTOP, like a long pause."""

    at_s: float
    data_centre: str


@dataclass(slots=True, frozen=True)
class ResumeNodes:
    """Resume the suspended nodes of a data centre with SIGCONT."""

    at_s: float
    data_centre: str


@dataclass(slots=True, frozen=True)
class SetSource:
    """Start or end an outage of the configuration service."""

    at_s: float
    available: bool


Action = (
    PublishChange
    | PublishInvalid
    | SetOutage
    | KillNode
    | StartNode
    | PauseNodes
    | ResumeNodes
    | SetSource
)


@dataclass(slots=True, frozen=True)
class Scenario:
    """Traffic of a given duration and actions at offsets from its start.

    Actions later than the duration run after the traffic has ended and the
    resource usage of the nodes has been read.
    """

    name: str
    load: _traffic.Load | None
    duration_s: float
    actions: tuple[Action, ...]


def build_scenarios(
    deployment: _deployment.Deployment,
) -> tuple[Scenario, ...]:
    """Build all scenarios for the hosts and teams of a deployment."""
    hosts = deployment.hosts()
    data_centre = hosts[0].data_centre
    killed_hosts = (hosts[0].host, hosts[-1].host)
    even = _traffic.Load(_LOAD_FRACTION)
    out = state.OutageState.OUT_OF_SERVICE
    back = state.OutageState.IN_SERVICE
    return (
        _scenario("idle", None, _changes(15.0, 15.5, 16.0, 16.5)),
        _scenario("even", even, _changes(3, 5, 7, 9)),
        _scenario(
            "data-centre-departure",
            even,
            (SetOutage(4, data_centre, out), *_changes(3, 6, 8)),
        ),
        _scenario(
            "data-centre-return",
            even,
            (
                SetOutage(-4, data_centre, out),
                SetOutage(4, data_centre, back),
                *_changes(3, 6, 8),
            ),
        ),
        _scenario(
            "one-team-five-times",
            _traffic.Load(
                _LOAD_FRACTION,
                excess_team=_median_team(deployment),
                excess_factor=_EXCESS_FACTOR,
            ),
            _changes(3, 6, 8),
        ),
        _scenario(
            "one-host-callers",
            _traffic.Load(
                _SINGLE_HOST_LOAD_FRACTION, _traffic.SingleHostSpread()
            ),
            _changes(3, 6, 8),
        ),
        _scenario(
            "one-node-latency",
            _traffic.Load(
                _NODE_CALLS_PER_S / _service_rate(deployment),
                _traffic.SingleHostSpread(),
            ),
            _changes(3, 6, 8),
        ),
        _scenario(
            "source-outage",
            even,
            (
                SetSource(2, False),
                KillNode(4, killed_hosts[0]),
                StartNode(5, killed_hosts[0]),
                SetSource(9, True),
                *_changes(9.1, 10, 11),
            ),
        ),
        _scenario("bad-version", even, (PublishInvalid(3), *_changes(8, 10))),
        _scenario(
            "node-kills",
            even,
            (
                KillNode(3, killed_hosts[0]),
                KillNode(5, killed_hosts[1]),
                StartNode(6, killed_hosts[0]),
                StartNode(8, killed_hosts[1]),
                *_changes(4, 7, 9),
            ),
        ),
        _scenario(
            "partition",
            even,
            (
                PauseNodes(3, data_centre),
                ResumeNodes(8, data_centre),
                *_changes(5, 9, 10),
            ),
        ),
    )


def _scenario(
    name: str, load: _traffic.Load | None, actions: Iterable[Action]
) -> Scenario:
    ordered = tuple(sorted(actions, key=lambda action: action.at_s))
    return Scenario(name, load, _DURATION_S, ordered)


def _changes(*times_s: float) -> tuple[Action, ...]:
    return tuple(PublishChange(at_s) for at_s in times_s)


def _service_rate(deployment: _deployment.Deployment) -> float:
    """Return the sum of the team rates of the first service."""
    service = deployment.hosts()[0].service
    return sum(
        row.rate
        for row in deployment.rows_by_name[state.DocumentName.TABLE]
        if isinstance(row, state.LimitRow) and row.service == service
    )


def _median_team(deployment: _deployment.Deployment) -> str:
    limits = [
        row
        for row in deployment.rows_by_name[state.DocumentName.TABLE]
        if isinstance(row, state.LimitRow)
    ]
    by_rate = sorted(limits, key=lambda row: (row.rate, row.team))
    return by_rate[len(by_rate) // 2].team
