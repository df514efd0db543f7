"""Status of the fleet, read from the nodes' admin endpoints."""

from collections.abc import Iterable
from collections.abc import Iterator
from concurrent import futures
from dataclasses import dataclass
import json
import typing

import urllib3

from jasminecrank import state

_TIMEOUT_S = 2.0
_MAX_WORKERS = 16


@dataclass(slots=True, frozen=True)
class NodeStatus:
    """The status reply of a node; values is None if it did not answer."""

    host: str
    data_centre: str
    values: typing.Mapping[str, typing.Any] | None


def read_fleet_status(
    hosts: Iterable[state.HostRow],
) -> tuple[NodeStatus, ...]:
    """Return the status of every host, in the order given."""
    with (
        urllib3.PoolManager(num_pools=_MAX_WORKERS) as pool,
        futures.ThreadPoolExecutor(_MAX_WORKERS) as executor,
    ):
        return tuple(executor.map(lambda row: _read_status(pool, row), hosts))


def _read_status(pool: urllib3.PoolManager, row: state.HostRow) -> NodeStatus:
    url = f"http://{row.address}:{row.admin_port}/status"
    try:
        response = pool.request("GET", url, timeout=_TIMEOUT_S, retries=False)
        values = json.loads(response.data)
    except (urllib3.exceptions.HTTPError, ValueError):
        values = None
    return NodeStatus(row.host, row.data_centre, values)


def format_fleet_status(statuses: Iterable[NodeStatus]) -> Iterator[str]:
    """Yield a header, a line for each host and a summary."""
    ordered = tuple(statuses)
    answered = [
        status.values for status in ordered if status.values is not None
    ]
    newest = max(
        (values["versions"]["table"] for values in answered),
        key=_version_number,
        default="0-",
    )
    yield (
        f"{'host':<20} {'data centre':<14} {'ready':<6} {'table':<18} "
        f"{'peers':>5} {'slots':>9} {'queued':>6} note"
    )
    for status in ordered:
        yield _format_status(status, newest)
    yield f"{len(answered)} of {len(ordered)} nodes answered; newest {newest}"


def _format_status(status: NodeStatus, newest: str) -> str:
    if status.values is None:
        return f"{status.host:<20} {status.data_centre:<14} no answer"
    values = status.values
    table = values["versions"]["table"]
    notes = ["lags"] if table != newest else []
    if values["source_error"]:
        notes.append("source failing")
    if values["invariant_violations"]:
        notes.append("INVARIANT VIOLATED")
    slots = f"{values['slots_in_use']}/{values['capacity']}"
    return (
        f"{status.host:<20} {status.data_centre:<14} "
        f"{'yes' if values['ready'] else 'no':<6} {table:<18} "
        f"{len(values['peers']):>5} {slots:>9} {values['queued']:>6} "
        f"{', '.join(notes)}"
    ).rstrip()


def _version_number(version: str) -> int:
    return int(version.partition("-")[0])
