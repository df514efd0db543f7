"""Checks of a call that need only the snapshot."""

from jasminecrank import exceptions
from jasminecrank.state import _calls
from jasminecrank.state import _fair_queue
from jasminecrank.state import _rows
from jasminecrank.state import _snapshot

_MAX_KEY_CHARS = 255
"""Longest idempotency key; up to 4,096 of them are stored."""


def refuse(
    snapshot: _snapshot.Snapshot,
    code: exceptions.ResultCode,
    team: str = "",
    route: _rows.RouteRow | None = None,
    retry_after_s: float = 0.0,
    run_state: exceptions.RunState = exceptions.RunState.NOT_RUN,
) -> _calls.Refused:
    """Return a refusal that carries a snapshot's table version."""
    return _calls.Refused(
        code=code,
        run_state=run_state,
        version=snapshot.versions.table,
        team=team,
        service=route.service if route else "",
        retry_after_s=retry_after_s,
    )


def check_call(
    snapshot: _snapshot.Snapshot, call: _calls.CallRequest, now_s: float
) -> _fair_queue.CheckedCall | _calls.Refused:
    """Resolve the route, team and deadline of a call, or refuse it."""
    route = snapshot.find_route(call.method, call.path)
    if route is None:
        return refuse(snapshot, exceptions.ResultCode.NO_ROUTE)
    team = _authenticate(snapshot, call, route)
    if isinstance(team, _calls.Refused):
        return team
    if not route.open_to_all and (
        (route.service, team) not in snapshot.by_limit
    ):
        return refuse(
            snapshot, exceptions.ResultCode.TEAM_NOT_ALLOWED, team, route
        )
    deadline_at_s = now_s + route.deadline_ms / 1000
    if call.deadline_at_s is not None:
        deadline_at_s = min(deadline_at_s, call.deadline_at_s)
    if deadline_at_s <= now_s:
        return refuse(
            snapshot, exceptions.ResultCode.DEADLINE_EXCEEDED, team, route
        )
    if len(call.idempotency_key or "") > _MAX_KEY_CHARS:
        return refuse(
            snapshot, exceptions.ResultCode.REQUEST_INVALID, team, route
        )
    return _fair_queue.CheckedCall(call, route, team, deadline_at_s)


def booking_key(checked: _fair_queue.CheckedCall) -> str | None:
    """Return the idempotency key of a booking, None for lookups."""
    if checked.route.kind is _rows.RouteKind.BOOKING:
        return checked.call.idempotency_key or None
    return None


def _authenticate(
    snapshot: _snapshot.Snapshot,
    call: _calls.CallRequest,
    route: _rows.RouteRow,
) -> str | _calls.Refused:
    if call.key_digest is None:
        if route.open_to_all:
            return ""
        return refuse(snapshot, exceptions.ResultCode.KEY_MISSING, "", route)
    team = snapshot.find_team(call.key_digest)
    if team is None and not route.open_to_all:
        return refuse(snapshot, exceptions.ResultCode.KEY_UNKNOWN, "", route)
    return team or ""
