"""Validates published documents and activates newer versions."""

from collections.abc import Iterable
from collections.abc import Mapping
from dataclasses import dataclass
import hashlib

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
    """The document is active; the delta is against the previous version."""

    delta: _documents.Delta
    snapshot: _snapshot.Snapshot


@dataclass(slots=True, frozen=True)
class Stale:
    """The document is not newer than the active version."""

    current: _versions.Version


@dataclass(slots=True, frozen=True)
class Conflict:
    """The document has the active number but a different digest."""

    current: _versions.Version


@dataclass(slots=True, frozen=True)
class Invalid:
    """The document failed validation; no part of it was applied."""

    reason: str


OfferResult = Accepted | Stale | Conflict | Invalid


def empty_document(name: _versions.DocumentName) -> _documents.Document:
    """Return the placeholder for a document not yet received."""
    return _documents.Document(name, _versions.NO_VERSION, {})


@dataclass(slots=True)
class ConfigState:
    """Owns the active documents and the snapshot derived from them."""

    by_name: dict[_versions.DocumentName, _documents.Document]
    rows_by_name: dict[_versions.DocumentName, Mapping[str, _rows.Row]]
    snapshot: _snapshot.Snapshot

    @classmethod
    def empty(cls) -> "ConfigState":
        """Return the state of a node without any documents."""
        return cls(
            {name: empty_document(name) for name in _versions.DocumentName},
            {name: {} for name in _versions.DocumentName},
            _snapshot.Snapshot.empty(),
        )

    def versions(self) -> _versions.VersionVector:
        """Return the active versions."""
        return self.snapshot.versions

    def offer(self, document: _documents.Document) -> OfferResult:
        """Activate a document as a whole if it is newer and valid."""
        current = self.by_name[document.name]
        if document.version == current.version:
            return Stale(current.version)
        if document.version.number < current.version.number:
            return Stale(current.version)
        if document.version.number == current.version.number:
            return Conflict(current.version)
        delta = _documents.make_delta(current, document)
        try:
            _check_digest(document)
            rows = _decode_changes(self.rows_by_name[document.name], delta)
            _check_references(delta, rows)
        except exceptions.DocumentError as error:
            return Invalid(str(error))
        return self._activate(document, delta, rows)

    def _activate(
        self,
        document: _documents.Document,
        delta: _documents.Delta,
        rows: Mapping[str, _rows.Row],
    ) -> Accepted:
        current = self.by_name[document.name]
        snapshot = self.snapshot.with_rows(
            document.name, document.version, rows.values()
        )
        _invariants.check(
            exceptions.ResultCode.INVARIANT_VERSION_DECREASED,
            document.version.number > current.version.number,
            "version of %s would decrease from %s to %s",
            document.name.value,
            current.version,
            document.version,
        )
        applied = _documents.apply_delta(current, delta)
        _invariants.check(
            exceptions.ResultCode.INVARIANT_PARTIAL_VERSION,
            applied == document
            and rows.keys() == document.by_key.keys()
            and snapshot.versions.get(document.name) == document.version
            and snapshot.row_count(document.name) == len(document.by_key),
            "%s %s differs from the rows being activated",
            document.name.value,
            document.version,
        )
        # The applied copy shares the strings of unchanged rows with the
        # previous version, which stays in memory as a base for deltas.
        self.by_name = {**self.by_name, document.name: applied or document}
        self.rows_by_name = {**self.rows_by_name, document.name: rows}
        self.snapshot = snapshot
        return Accepted(delta, snapshot)


def _check_digest(document: _documents.Document) -> None:
    joined = _documents.serialize_rows(document.by_key)
    if len(joined) > const.MAX_DOCUMENT_BYTES:
        raise exceptions.DocumentError(
            f"document {document.name.value!r} has {len(joined)} bytes of "
            f"rows; the limit is {const.MAX_DOCUMENT_BYTES}"
        )
    digest = hashlib.sha256(joined).hexdigest()
    if digest != document.version.digest:
        raise exceptions.DocumentError(
            f"document {document.name.value!r} {document.version.number} "
            f"has digest {document.version.digest!r}, but the digest of its "
            f"rows is {digest!r}"
        )


def _decode_changes(
    rows: Mapping[str, _rows.Row], delta: _documents.Delta
) -> dict[str, _rows.Row]:
    """Return the typed rows of a newer version.

    Decodes only the changed rows because most updates change one row.
    Raises DocumentError if a row is invalid.
    """
    changed = dict(rows)
    for key in delta.removed:
        del changed[key]
    for key, text in delta.upserts.items():
        changed[key] = _row_codec.decode_row(delta.name, key, text)
    return changed


def _check_references(
    delta: _documents.Delta, rows: Mapping[str, _rows.Row]
) -> None:
    match delta.name:
        case _versions.DocumentName.TABLE:
            if any(key.startswith("service/") for key in delta.removed):
                _check_table(rows, rows.values())
                return
            _check_table(rows, (rows[key] for key in delta.upserts))
        case _versions.DocumentName.HOSTS:
            _check_hosts(rows.values())
        case _versions.DocumentName.KEYS | _versions.DocumentName.OUTAGES:
            return


def _check_table(
    rows: Mapping[str, _rows.Row], changed: Iterable[_rows.Row]
) -> None:
    for row in changed:
        match row:
            case _rows.RouteRow() | _rows.LimitRow():
                if f"service/{row.service}" not in rows:
                    raise exceptions.DocumentError(
                        f"row {_row_codec.row_key(row)!r} refers to service "
                        f"{row.service!r}, which is not in the table"
                    )
            case _rows.ServiceRow():
                if row.cold_slots > row.slots:
                    raise exceptions.DocumentError(
                        f"row 'service/{row.service}', field 'cold_slots': "
                        f"{row.cold_slots} exceeds slots ({row.slots})"
                    )
            case _:
                continue


def _check_hosts(rows: Iterable[_rows.Row]) -> None:
    host_by_slot: dict[tuple[str, int], str] = {}
    for row in rows:
        if not isinstance(row, _rows.HostRow):
            continue
        slot = (row.service, row.share_slot)
        other = host_by_slot.setdefault(slot, row.host)
        if other != row.host:
            raise exceptions.DocumentError(
                f"row 'host/{row.host}', field 'share_slot': "
                f"{row.share_slot} of {row.service!r} is already used by "
                f"{other!r}"
            )
