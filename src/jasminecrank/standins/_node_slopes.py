"""Resource usage of node processes by peers, calls and changes."""

from collections.abc import Iterator
import pathlib
import statistics
import tempfile
import threading

from jasminecrank import state
from jasminecrank.standins import _deployment
from jasminecrank.standins import _readings
from jasminecrank.standins import _run
from jasminecrank.standins import _slopes
from jasminecrank.standins import _synthetic
from jasminecrank.standins import _traffic

_NODES = (3, 7, 13)
_CALLS_PER_S = (30.0, 60.0, 118.0)
_CHANGES_PER_S = (0.0, 0.5, 1.0, 2.0)
_CHANGE_NODES = 7
_IDLE_S = 12.0
_TRAFFIC_S = 8.0
_CHANGES_S = 10.0
_SETTLE_S = 4.0
_READY_S = 30.0
_TEAM_RATE = 200.0


def measure() -> Iterator[_slopes.Slope]:
    """Yield the slopes of peers, calls and changes."""
    yield from _peer_slopes()
    yield _call_slope()
    yield from _change_slopes()


class _Fleet:
    """Context manager of a synthetic deployment in a steady state."""

    def __init__(self, nodes: int, data_centres: int) -> None:
        self._work = tempfile.TemporaryDirectory()
        self._size = _synthetic.FleetSize(
            hosts=nodes,
            services=1,
            teams=8,
            data_centres=data_centres,
            regions=1,
        )
        self._context = _deployment.Deployment.from_files(
            _synthetic.build_files(self._size),
            "synthetic",
            pathlib.Path(self._work.name),
        )

    def __enter__(self) -> _deployment.Deployment:
        deployment = self._context.__enter__()
        hosts = deployment.publish_hosts(deployment.hosts())
        deployment.await_versions(hosts, _READY_S)
        _wait(_SETTLE_S)
        return deployment

    def __exit__(self, *details: object) -> None:
        self._context.__exit__(None, None, None)
        self._work.cleanup()


def _peer_slopes() -> Iterator[_slopes.Slope]:
    by_peers = {}
    for nodes in _NODES:
        with _Fleet(nodes, 1) as deployment:
            before = _readings.read_nodes(deployment)
            _wait(_IDLE_S)
            after = _readings.read_nodes(deployment)
            by_peers[_mean_peers(deployment)] = _readings.usage(before, after)
    use = by_peers.items()
    yield _peer_slope(
        "threads", "threads", [(x, y.threads_max) for x, y in use]
    )
    yield _peer_slope(
        "peak memory", "MB", [(x, y.peak_memory_mb_max) for x, y in use]
    )
    yield _peer_slope(
        "heartbeat bytes, both ways",
        "bytes/s",
        [(x, y.control_bytes_per_s_median or 0.0) for x, y in use],
    )
    yield _peer_slope(
        "processor time, idle",
        "% of core",
        [(x, y.processor_percent_median) for x, y in use],
    )


def _peer_slope(
    figure: str, unit: str, points: list[tuple[float, float]]
) -> _slopes.Slope:
    return _slopes.Slope.from_points("peers", figure, unit, points)


def _call_slope() -> _slopes.Slope:
    points = []
    with _Fleet(2, 1) as deployment:
        host = deployment.hosts()[0].host
        for calls_per_s in _CALLS_PER_S:
            load = _traffic.Load(
                calls_per_s / (8 * _TEAM_RATE), _traffic.SingleHostSpread()
            )
            traffic = _traffic.Traffic.start(
                deployment, load, _TRAFFIC_S, None
            )
            try:
                before = _readings.read_nodes(deployment)[host]
                samples = traffic.finish()
                after = _readings.read_nodes(deployment)[host]
            finally:
                traffic.stop()
            span_s = after.at_s - before.at_s
            used_s = after.processor_s - before.processor_s
            points.append((len(samples) / span_s, 100 * used_s / span_s))
    return _slopes.Slope.from_points(
        "calls/s", "processor time", "% of core", points
    )


def _change_slopes() -> Iterator[_slopes.Slope]:
    median_points, highest_points, processor_points = [], [], []
    peers = 0.0
    with _Fleet(_CHANGE_NODES, 1) as deployment:
        peers = _mean_peers(deployment)
        for changes_per_s in _CHANGES_PER_S:
            before = _readings.read_nodes(deployment)
            _publish_changes(deployment, changes_per_s)
            use = _readings.usage(before, _readings.read_nodes(deployment))
            median_points.append(
                (changes_per_s, use.control_bytes_per_s_median or 0.0)
            )
            highest_points.append(
                (changes_per_s, use.control_bytes_per_s_max or 0.0)
            )
            processor_points.append(
                (changes_per_s, use.processor_percent_median)
            )
    size = f"changes/s, {peers:.0f} peers"
    yield _slopes.Slope.from_points(
        size, "control bytes, median node", "bytes/s", median_points
    )
    yield _slopes.Slope.from_points(
        size, "control bytes, highest node", "bytes/s", highest_points
    )
    yield _slopes.Slope.from_points(
        size, "processor time", "% of core", processor_points
    )


def _publish_changes(
    deployment: _deployment.Deployment, changes_per_s: float
) -> None:
    if changes_per_s <= 0:
        _wait(_CHANGES_S)
        return
    name = state.DocumentName.TABLE
    for number in range(int(_CHANGES_S * changes_per_s)):
        rows = deployment.rows_by_name[name]
        deployment.publish(name, _run.change_weight(rows, number % 9 + 1))
        _wait(1 / changes_per_s)


def _mean_peers(deployment: _deployment.Deployment) -> float:
    statuses = (deployment.status(host) for host in deployment.node_by_host)
    return statistics.mean(
        len(status["peers"]) for status in statuses if status is not None
    )


def _wait(delay_s: float) -> None:
    threading.Event().wait(delay_s)
