"""The accepted documents and the rule by which newer ones replace them."""

from collections.abc import Mapping
from dataclasses import dataclass

from jasminecrank import const
from jasminecrank import exceptions
from jasminecrank.state import _documents
from jasminecrank.state import _invariants
from jasminecrank.state import _row_codec
from jasminecrank.state import _rows
from jasminecrank.state import _snapshot
from jasminecrank.state import _versions


@dataclass(slots=True, frozen=True)
class Accepted:
    """The document is in force; the delta leads from the former version."""

    delta: _documents.Delta
    snapshot: _snapshot.Snapshot


@dataclass(slots=True, frozen=True)
class Stale:
    """The document is not newer than the one in force."""

    in_force: _versions.Version


@dataclass(slots=True, frozen=True)
class Conflict:
    """The document has the number in force but another digest."""

    in_force: _versions.Version


@dataclass(slots=True, frozen=True)
class Invalid:
    """The document was refused whole."""

    reason: str


OfferResult = Accepted | Stale | Conflict | Invalid


def empty_document(name: _versions.DocumentName) -> _documents.Document:
    """Return the document that stands for nothing received yet."""
    return _documents.Document(name, _versions.NO_VERSION, {})


@dataclass(slots=True)
class ConfigState:
    """Owns the documents in force and the snapshot derived from them."""

    by_name: dict[_versions.DocumentName, _documents.Document]
    snapshot: _snapshot.Snapshot

    @classmethod
    def empty(cls) -> "ConfigState":
        """Return the state of a node that has received nothing yet."""
        by_name = {
            name: empty_document(name) for name in _versions.DocumentName
        }
        return cls(by_name, _snapshot.Snapshot.empty())

    def versions(self) -> _versions.VersionVector:
        """Return the versions in force."""
        return self.snapshot.versions

    def offer(self, document: _documents.Document) -> OfferResult:
        """Put a newer valid document in force as a whole."""
        current = self.by_name[document.name]
        if document.version == current.version:
            return Stale(current.version)
        if document.version.number < current.version.number:
            return Stale(current.version)
        if document.version.number == current.version.number:
            return Conflict(current.version)
        try:
            _check_digest(document)
            rows = decode_rows(document)
            _check_references(document.name, rows)
        except exceptions.DocumentError as error:
            return Invalid(str(error))
        return self._swap(current, document)

    def _swap(
        self, current: _documents.Document, document: _documents.Document
    ) -> Accepted:
        by_name = {**self.by_name, document.name: document}
        snapshot = derive_snapshot(by_name)
        _invariants.check(
            exceptions.ResultCode.INVARIANT_VERSION_DECREASED,
            document.version.number > current.version.number,
            "%s would go from %s to %s",
            document.name.value,
            current.version,
            document.version,
        )
        _invariants.check(
            exceptions.ResultCode.INVARIANT_PARTIAL_VERSION,
            snapshot.versions.get(document.name) == document.version
            and _documents.digest_rows(document.by_key)
            == document.version.digest,
            "%s %s differs from the rows put in force",
            document.name.value,
            document.version,
        )
        self.by_name = by_name
        self.snapshot = snapshot
        return Accepted(_documents.make_delta(current, document), snapshot)


def _check_digest(document: _documents.Document) -> None:
    size_bytes = sum(
        len(key) + len(text) for key, text in document.by_key.items()
    )
    if size_bytes > const.MAX_DOCUMENT_BYTES:
        raise exceptions.DocumentError(
            f"document {document.name.value!r} has {size_bytes} bytes of "
            f"rows; at most {const.MAX_DOCUMENT_BYTES} are allowed"
        )
    digest = _documents.digest_rows(document.by_key)
    if digest != document.version.digest:
        raise exceptions.DocumentError(
            f"document {document.name.value!r} {document.version.number} "
            f"has digest {document.version.digest!r} but its rows have "
            f"{digest!r}"
        )


def decode_rows(document: _documents.Document) -> tuple[_rows.Row, ...]:
    """Return all typed rows of a document, or raise DocumentError."""
    return tuple(
        _row_codec.decode_row(document.name, key, text)
        for key, text in document.by_key.items()
    )


def _check_references(
    name: _versions.DocumentName, rows: tuple[_rows.Row, ...]
) -> None:
    match name:
        case _versions.DocumentName.TABLE:
            _check_table(rows)
        case _versions.DocumentName.HOSTS:
            _check_hosts(rows)
        case _versions.DocumentName.KEYS | _versions.DocumentName.OUTAGES:
            return


def _check_table(rows: tuple[_rows.Row, ...]) -> None:
    services = {
        row.service for row in rows if isinstance(row, _rows.ServiceRow)
    }
    for row in rows:
        match row:
            case _rows.RouteRow() | _rows.LimitRow():
                if row.service not in services:
                    raise exceptions.DocumentError(
                        f"row {_row_codec.row_key(row)!r} names the service "
                        f"{row.service!r}, which the table does not have"
                    )
            case _rows.ServiceRow():
                if row.cold_slots > row.slots:
                    raise exceptions.DocumentError(
                        f"row 'service/{row.service}', field 'cold_slots': "
                        f"{row.cold_slots} is above slots, {row.slots}"
                    )
            case _:
                continue


def _check_hosts(rows: tuple[_rows.Row, ...]) -> None:
    host_by_slot: dict[tuple[str, int], str] = {}
    for row in rows:
        if not isinstance(row, _rows.HostRow):
            continue
        slot = (row.service, row.share_slot)
        other = host_by_slot.setdefault(slot, row.host)
        if other != row.host:
            raise exceptions.DocumentError(
                f"row 'host/{row.host}', field 'share_slot': "
                f"{row.share_slot} of {row.service!r} belongs to {other!r}"
            )


def derive_snapshot(
    by_name: Mapping[_versions.DocumentName, _documents.Document],
) -> _snapshot.Snapshot:
    """Return the one snapshot that four valid documents define."""
    versions = _versions.VersionVector(
        table=by_name[_versions.DocumentName.TABLE].version,
        keys=by_name[_versions.DocumentName.KEYS].version,
        hosts=by_name[_versions.DocumentName.HOSTS].version,
        outages=by_name[_versions.DocumentName.OUTAGES].version,
    )
    rows = [
        row
        for name in _versions.DocumentName
        for row in decode_rows(by_name[name])
    ]
    return _snapshot.Snapshot.from_rows(versions, rows)
