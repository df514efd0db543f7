"""Synthetic documents of any size, in proportion to the design size."""

from collections.abc import Mapping
from dataclasses import dataclass
import hashlib

from jasminecrank import operators
from jasminecrank import state

_ROUTES = 4
_FIRST_PORT = 20_000


@dataclass(slots=True, frozen=True)
class FleetSize:
    """Number of hosts, services, teams, data centres and regions."""

    hosts: int
    services: int
    teams: int
    data_centres: int
    regions: int


DESIGN_SIZE = FleetSize(
    hosts=2_200, services=180, teams=8, data_centres=10, regions=3
)


def build_rows(
    size: FleetSize,
) -> Mapping[state.DocumentName, tuple[state.Row, ...]]:
    """Build the rows of all documents of a synthetic fleet."""
    services = [f"service-{number:03}" for number in range(size.services)]
    teams = [f"team-{number:03}" for number in range(size.teams)]
    table: list[state.Row] = []
    for service in services:
        table.append(state.ServiceRow(service, 12, 3, 10.0, 110))
        table += [_route(service, index) for index in range(_ROUTES)]
        table += [
            state.LimitRow(service, team, 1, 200.0, 200, 24) for team in teams
        ]
    keys = tuple(
        state.KeyRow(hashlib.sha256(key_of(team).encode()).hexdigest(), team)
        for team in teams
    )
    hosts = tuple(
        _host(size, services[index % size.services], index)
        for index in range(size.hosts)
    )
    outages = tuple(
        state.OutageRow(f"data-centre-{index}", state.OutageState.IN_SERVICE)
        for index in range(size.data_centres)
    )
    return {
        state.DocumentName.TABLE: tuple(table),
        state.DocumentName.KEYS: keys,
        state.DocumentName.HOSTS: hosts,
        state.DocumentName.OUTAGES: outages,
    }


def key_of(team: str) -> str:
    """Return the key of a team of a synthetic fleet."""
    return f"synthetic-key-{team}"


def build_files(size: FleetSize) -> operators.TableFiles:
    """Build table files without problems, as a deployment expects them."""
    return operators.TableFiles(build_rows(size), ())


def build_documents(
    size: FleetSize,
) -> Mapping[state.DocumentName, state.Document]:
    """Build version 1 of all documents of a synthetic fleet."""
    return {
        name: encode_document(name, 1, rows)
        for name, rows in build_rows(size).items()
    }


def encode_document(
    name: state.DocumentName, number: int, rows: tuple[state.Row, ...]
) -> state.Document:
    """Build a version of a document from its rows."""
    by_key = {state.row_key(row): state.encode_row(row) for row in rows}
    return state.build_document(name, number, by_key)


def _route(service: str, index: int) -> state.RouteRow:
    booking = index == 1
    return state.RouteRow(
        route=f"{service}-route-{index}",
        service=service,
        method="POST" if booking else "GET",
        path_prefix=f"/{service}/{index}",
        kind=state.RouteKind.BOOKING if booking else state.RouteKind.LOOKUP,
        priority=state.Priority.ORDINARY,
        open_to_all=False,
        deadline_ms=2_000,
    )


def _host(size: FleetSize, service: str, index: int) -> state.HostRow:
    data_centre = index % size.data_centres
    port = _FIRST_PORT + index
    return state.HostRow(
        host=f"host-{index:04}",
        service=service,
        data_centre=f"data-centre-{data_centre}",
        region=f"region-{data_centre % size.regions}",
        address="127.0.0.1",
        call_port=port,
        peer_port=port,
        admin_port=port,
        server_port=port,
        share_slot=index // size.services,
        state=state.HostState.LIVE,
    )
