"""Cost of documents and decisions by size, measured in this process."""

from collections.abc import Iterator
import dataclasses
import tracemalloc

from jasminecrank import coordination
from jasminecrank import protocol
from jasminecrank import state
from jasminecrank.standins import _run
from jasminecrank.standins import _slopes
from jasminecrank.standins import _synthetic

_FLEET_FRACTIONS = (0.1, 0.5, 1.0)
_TEAMS = (8, 64, 512)
_CALLS = 200
_ROUNDS = 5
_NOW_S = 100.0
_TABLE = state.DocumentName.TABLE
_HOSTS = state.DocumentName.HOSTS


def measure() -> Iterator[_slopes.Slope]:
    """Yield the slopes by document rows, by total rows and by teams."""
    sizes = [_scale_fleet(fraction) for fraction in _FLEET_FRACTIONS]
    for name in (_TABLE, _HOSTS):
        documents = [_synthetic.build_documents(size)[name] for size in sizes]
        yield from _slopes.fit_figures(
            f"{name.value} rows", _ROUNDS, documents, _document_figures
        )
    yield from _slopes.fit_figures(
        "rows of all documents", _ROUNDS, sizes, _change_figures
    )
    yield from _slopes.fit_figures("teams", _ROUNDS, _TEAMS, _team_figures)


def _scale_fleet(fraction: float) -> _synthetic.FleetSize:
    size = _synthetic.DESIGN_SIZE
    return dataclasses.replace(
        size,
        hosts=int(size.hosts * fraction),
        services=int(size.services * fraction),
    )


def _document_figures(
    document: state.Document,
) -> Iterator[_slopes.Figure]:
    published = protocol.encode_published(document)
    snapshot = coordination.Envelope(
        "host",
        state.Stamp(0, 0, "host"),
        coordination.DocumentSnapshot(document),
    )
    frame = protocol.encode_envelope(snapshot)
    yield _slopes.Figure(
        "published form", "bytes", len(document.by_key), len(published)
    )
    yield _slopes.Figure(
        "snapshot message", "bytes", len(document.by_key), len(frame)
    )
    yield _slopes.Figure(
        "digest",
        "ms",
        len(document.by_key),
        _slopes.processor_ms(lambda: state.digest_rows(document.by_key)),
    )
    yield _slopes.Figure(
        "published decode",
        "ms",
        len(document.by_key),
        _slopes.processor_ms(
            lambda: protocol.decode_published(document.name, published)
        ),
    )
    yield _slopes.Figure(
        "snapshot encode",
        "ms",
        len(document.by_key),
        _slopes.processor_ms(lambda: protocol.encode_envelope(snapshot)),
    )
    yield _slopes.Figure(
        "snapshot decode",
        "ms",
        len(document.by_key),
        _slopes.processor_ms(lambda: protocol.decode_envelope(frame)),
    )
    yield _slopes.Figure(
        "offer of a first version",
        "ms",
        len(document.by_key),
        _slopes.processor_ms(
            lambda: state.ConfigState.empty().offer(document)
        ),
    )


def _change_figures(
    size: _synthetic.FleetSize,
) -> Iterator[_slopes.Figure]:
    tracemalloc.start()
    documents = _synthetic.build_documents(size)
    config = state.ConfigState.empty()
    for document in documents.values():
        config.offer(document)
    rows_held = sum(len(one.by_key) for one in documents.values())
    held_bytes, _ = tracemalloc.get_traced_memory()
    tracemalloc.stop()
    yield _slopes.Figure(
        "memory of documents and snapshot", "MB", rows_held, held_bytes / 1e6
    )
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
    yield _slopes.Figure(
        "delta message of one row", "bytes", rows_held, len(frame)
    )
    yield _slopes.Figure(
        "delta encode and decode",
        "ms",
        rows_held,
        _slopes.processor_ms(
            lambda: protocol.decode_envelope(
                protocol.encode_envelope(envelope)
            )
        ),
    )
    yield _slopes.Figure(
        "delta make and apply",
        "ms",
        rows_held,
        _slopes.processor_ms(
            lambda: state.apply_delta(table, state.make_delta(table, changed))
        ),
    )
    yield _slopes.Figure(
        "offer of one changed row",
        "ms",
        rows_held,
        _slopes.processor_ms(offer_next),
    )


def _team_figures(teams: int) -> Iterator[_slopes.Figure]:
    size = _synthetic.FleetSize(
        hosts=12, services=1, teams=teams, data_centres=3, regions=1
    )
    config = state.ConfigState.empty()
    for document in _synthetic.build_documents(size).values():
        config.offer(document)
    host = next(iter(config.snapshot.by_host))
    admission = state.AdmissionState.from_host(host, 0.0)
    admission.set_ready(True, 0.0)
    admission.apply_snapshot(config.snapshot, 0.0)
    key = protocol.digest_key(_synthetic.key_of(f"team-{teams - 1:03}"))
    call = state.CallRequest(
        "id", "GET", "/service-000/0", key, None, None, None
    )
    yield _slopes.Figure(
        "quota follows a new table",
        "ms",
        teams,
        _slopes.processor_ms(
            lambda: admission.quota.apply_snapshot(config.snapshot, _NOW_S)
        ),
    )

    def admit_calls() -> None:
        for _ in range(_CALLS):
            admission.admit(call, _NOW_S)

    yield _slopes.Figure(
        "decision on a call",
        "us",
        teams,
        1000 * _slopes.processor_ms(admit_calls) / _CALLS,
    )
