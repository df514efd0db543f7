"""What documents and decisions cost by their size, in this process."""

from collections.abc import Iterable
from collections.abc import Iterator
import dataclasses
import tracemalloc

from jasminecrank import coordination
from jasminecrank import protocol
from jasminecrank import state
from jasminecrank.standins import _run
from jasminecrank.standins import _slopes
from jasminecrank.standins import _synthetic

_PARTS = (0.1, 0.5, 1.0)
_TEAMS = (8, 64, 512)
_CALLS = 200
_RATE_PROOF_S = 100.0
_TABLE = state.DocumentName.TABLE
_HOSTS = state.DocumentName.HOSTS


def measure() -> Iterator[_slopes.Slope]:
    """Yield the slopes of documents, of a change and of teams."""
    sizes = [_part_of_fleet(part) for part in _PARTS]
    yield from _document_slopes(_TABLE, sizes)
    yield from _document_slopes(_HOSTS, sizes)
    yield from _change_slopes(sizes)
    yield from _team_slopes()


def _part_of_fleet(part: float) -> _synthetic.FleetSize:
    size = _synthetic.DESIGN_SIZE
    return dataclasses.replace(
        size,
        hosts=int(size.hosts * part),
        services=int(size.services * part),
    )


def _document_slopes(
    name: state.DocumentName, sizes: Iterable[_synthetic.FleetSize]
) -> Iterator[_slopes.Slope]:
    points: dict[tuple[str, str], list[tuple[float, float]]] = {}
    for size in sizes:
        document = _synthetic.build_documents(size)[name]
        for figure, unit, value in _document_figures(document):
            points.setdefault((figure, unit), []).append(
                (len(document.by_key), value)
            )
    for (figure, unit), found in points.items():
        yield _slopes.Slope.from_points(
            f"{name.value} rows", figure, unit, found
        )


def _document_figures(
    document: state.Document,
) -> Iterator[tuple[str, str, float]]:
    published = protocol.encode_published(document)
    snapshot = coordination.Envelope(
        "host",
        state.Stamp(0, 0, "host"),
        coordination.DocumentSnapshot(document),
    )
    frame = protocol.encode_envelope(snapshot)
    yield "published form", "bytes", len(published)
    yield "snapshot message", "bytes", len(frame)
    yield (
        "digest",
        "ms",
        _slopes.processor_ms(lambda: state.digest_rows(document.by_key)),
    )
    yield (
        "published decode",
        "ms",
        _slopes.processor_ms(
            lambda: protocol.decode_published(document.name, published)
        ),
    )
    yield (
        "snapshot encode",
        "ms",
        _slopes.processor_ms(lambda: protocol.encode_envelope(snapshot)),
    )
    yield (
        "snapshot decode",
        "ms",
        _slopes.processor_ms(lambda: protocol.decode_envelope(frame)),
    )
    yield (
        "offer of a first version",
        "ms",
        _slopes.processor_ms(
            lambda: state.ConfigState.empty().offer(document)
        ),
    )


def _change_slopes(
    sizes: Iterable[_synthetic.FleetSize],
) -> Iterator[_slopes.Slope]:
    """Yield what one changed row costs a node that holds all documents."""
    points: dict[tuple[str, str], list[tuple[float, float]]] = {}
    for size in sizes:
        rows = sum(len(one) for one in _synthetic.build_rows(size).values())
        for figure, unit, value in _change_figures(size):
            points.setdefault((figure, unit), []).append((rows, value))
    for (figure, unit), found in points.items():
        yield _slopes.Slope.from_points(
            "rows of all documents", figure, unit, found
        )


def _change_figures(
    size: _synthetic.FleetSize,
) -> Iterator[tuple[str, str, float]]:
    tracemalloc.start()
    documents = _synthetic.build_documents(size)
    config = state.ConfigState.empty()
    for document in documents.values():
        config.offer(document)
    held_bytes, _ = tracemalloc.get_traced_memory()
    tracemalloc.stop()
    yield "memory of documents and snapshot", "MB", held_bytes / 1e6
    table = documents[_TABLE]
    rows = _run.change_weight(_synthetic.build_rows(size)[_TABLE], 7)
    numbers = iter(range(2, 1000))

    def offer_next() -> None:
        number = next(numbers)
        by_key = dict(changed.by_key)
        config.offer(
            state.Document(
                _TABLE, state.Version(number, changed.version.digest), by_key
            )
        )

    changed = _synthetic.encode_document(_TABLE, 2, rows)
    delta = state.make_delta(table, changed)
    envelope = coordination.Envelope(
        "host", state.Stamp(0, 0, "host"), coordination.DocumentDelta(delta)
    )
    frame = protocol.encode_envelope(envelope)
    yield "delta message of one row", "bytes", len(frame)
    yield (
        "delta encode and decode",
        "ms",
        _slopes.processor_ms(
            lambda: protocol.decode_envelope(
                protocol.encode_envelope(envelope)
            )
        ),
    )
    yield (
        "delta make and apply",
        "ms",
        _slopes.processor_ms(
            lambda: state.apply_delta(table, state.make_delta(table, changed))
        ),
    )
    yield "offer of one changed row", "ms", _slopes.processor_ms(offer_next)


def _team_slopes() -> Iterator[_slopes.Slope]:
    points: dict[tuple[str, str], list[tuple[float, float]]] = {}
    for teams in _TEAMS:
        for figure, unit, value in _team_figures(teams):
            points.setdefault((figure, unit), []).append((teams, value))
    for (figure, unit), found in points.items():
        yield _slopes.Slope.from_points("teams", figure, unit, found)


def _team_figures(teams: int) -> Iterator[tuple[str, str, float]]:
    size = _synthetic.FleetSize(
        hosts=12, services=1, teams=teams, data_centres=3, regions=1
    )
    config = state.ConfigState.empty()
    for document in _synthetic.build_documents(size).values():
        config.offer(document)
    host = next(iter(config.snapshot.by_host))
    admission = state.AdmissionState.from_host(host, 0.0)
    admission.ready = True
    admission.apply_snapshot(config.snapshot, 0.0)
    key = protocol.digest_key(_synthetic.key_of(f"team-{teams - 1:03}"))
    call = state.CallRequest(
        "id", "GET", "/service-000/0", key, None, None, None
    )
    yield (
        "quota follows a new table",
        "ms",
        _slopes.processor_ms(
            lambda: admission.quota.apply_snapshot(
                config.snapshot, _RATE_PROOF_S
            )
        ),
    )

    def admit_calls() -> None:
        for _ in range(_CALLS):
            admission.admit(call, _RATE_PROOF_S)

    yield (
        "decision on a call",
        "us",
        1000 * _slopes.processor_ms(admit_calls) / _CALLS,
    )
