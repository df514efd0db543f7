"""Waiting, running and ended bookings, each run at most once."""

from dataclasses import dataclass
from dataclasses import field
import typing

from jasminecrank import exceptions
from jasminecrank.state import _call_checks
from jasminecrank.state import _calls
from jasminecrank.state import _fair_queue
from jasminecrank.state import _host_choice
from jasminecrank.state import _idempotency
from jasminecrank.state import _invariants
from jasminecrank.state import _rows

_MAY_HAVE_RUN = exceptions.RunState.MAY_HAVE_RUN


@dataclass(slots=True, frozen=True)
class StoredAnswer:
    """The booking has already run and its answer is stored."""

    answer: _calls.Answer


@dataclass(slots=True, frozen=True)
class Rejected:
    """The booking can't run now."""

    code: exceptions.ResultCode
    run_state: exceptions.RunState
    retry_after_s: float = 0.0


@dataclass(slots=True)
class Bookings:
    """Owns the stored keyed bookings and the open ones without a key."""

    store: _idempotency.IdempotencyStore = field(
        default_factory=_idempotency.IdempotencyStore
    )
    permitted_by_request_id: dict[str, bool] = field(default_factory=dict)

    def find(
        self, checked: _fair_queue.CheckedCall, now_s: float
    ) -> StoredAnswer | Rejected | None:
        """Return the result of a repeated booking, None for other calls."""
        if checked.route.kind is _rows.RouteKind.LOOKUP:
            return None
        key = _call_checks.booking_key(checked)
        if key is None:
            if checked.call.request_id in self.permitted_by_request_id:
                return _in_progress()
            return None
        entry = self.store.find(key, now_s)
        if entry is None:
            return None
        if entry.fingerprint != _fingerprint(checked):
            return Rejected(
                exceptions.ResultCode.IDEMPOTENCY_KEY_MISMATCH,
                exceptions.RunState.NOT_RUN,
            )
        return _repeat_result(entry)

    def check_new(
        self,
        checked: _fair_queue.CheckedCall,
        owners: _host_choice.KeyOwnerHistory,
        now_s: float,
        wall_ms: int,
    ) -> Rejected | None:
        """Return why a booking that is not stored can't run, if so."""
        key = _call_checks.booking_key(checked)
        if key is None:
            return None
        key_ms = _idempotency.uuid7_ms(key)
        if key_ms is not None and owners.may_have_run_elsewhere(
            key, key_ms, checked.call.forwarded_by
        ):
            return _outcome_unknown(_MAY_HAVE_RUN)
        match self.store.check_new(key_ms, wall_ms):
            case _idempotency.KeyAvailability.FREE:
                return None
            case _idempotency.KeyAvailability.EVICTED:
                return _outcome_unknown(_MAY_HAVE_RUN)
            case _idempotency.KeyAvailability.FULL:
                return Rejected(
                    exceptions.ResultCode.IDEMPOTENCY_MEMORY_FULL,
                    exceptions.RunState.NOT_RUN,
                    self.store.retry_after_s(now_s),
                )

    def reserve(self, checked: _fair_queue.CheckedCall) -> None:
        """Record a booking that waits or is about to run."""
        if checked.route.kind is _rows.RouteKind.LOOKUP:
            return
        key = _call_checks.booking_key(checked)
        if key is None:
            self.permitted_by_request_id[checked.call.request_id] = False
        else:
            self.store.reserve(key, _fingerprint(checked))

    def mark_permitted(self, checked: _fair_queue.CheckedCall) -> None:
        """Record that a booking gets its permit."""
        if checked.route.kind is _rows.RouteKind.LOOKUP:
            return
        key = _call_checks.booking_key(checked)
        if key is not None:
            self.store.mark_permitted(key)
            return
        request_id = checked.call.request_id
        _invariants.check(
            exceptions.ResultCode.INVARIANT_AT_MOST_ONCE,
            self.permitted_by_request_id.get(request_id) is False,
            "booking %s was given a second permit",
            request_id,
        )
        self.permitted_by_request_id[request_id] = True

    def cancel(self, checked: _fair_queue.CheckedCall) -> None:
        """Remove a booking that got no permit."""
        if checked.route.kind is _rows.RouteKind.BOOKING:
            self._remove(
                checked.call.request_id, _call_checks.booking_key(checked)
            )

    def complete(
        self, permit: _calls.Permit, outcome: _calls.Outcome, now_s: float
    ) -> None:
        """Record the outcome of a booking with a permit."""
        if permit.route.kind is _rows.RouteKind.LOOKUP:
            return
        key = permit.idempotency_key or None
        if outcome.did_not_run or key is None:
            self._remove(permit.request_id, key)
            return
        answered = outcome.kind is _calls.OutcomeKind.ANSWERED
        self.store.complete(key, outcome.answer if answered else None, now_s)

    def _remove(self, request_id: str, key: str | None) -> None:
        if key is None:
            self.permitted_by_request_id.pop(request_id, None)
        else:
            self.store.cancel(key)


def _fingerprint(
    checked: _fair_queue.CheckedCall,
) -> _idempotency.Fingerprint:
    call = checked.call
    return _idempotency.Fingerprint(
        checked.team, call.method, call.path, call.body_digest
    )


def _repeat_result(entry: _idempotency.Entry) -> StoredAnswer | Rejected:
    match entry.state:
        case _idempotency.EntryState.IN_PROGRESS:
            return _in_progress()
        case _idempotency.EntryState.UNKNOWN:
            return _outcome_unknown(_MAY_HAVE_RUN)
        case _idempotency.EntryState.ANSWERED:
            if entry.answer is None:
                return _outcome_unknown(exceptions.RunState.RAN)
            return StoredAnswer(entry.answer)
        case _:
            typing.assert_never(entry.state)


def _in_progress() -> Rejected:
    # The first of the duplicate requests may be running.
    return Rejected(
        exceptions.ResultCode.REPEAT_IN_PROGRESS, _MAY_HAVE_RUN, 1.0
    )


def _outcome_unknown(run_state: exceptions.RunState) -> Rejected:
    return Rejected(exceptions.ResultCode.REPEAT_OUTCOME_UNKNOWN, run_state)
