"""The decision on a call."""

from collections import Counter
from dataclasses import dataclass
from dataclasses import field

from jasminecrank import exceptions
from jasminecrank.state import _calls
from jasminecrank.state import _invariants
from jasminecrank.state import _quota
from jasminecrank.state import _readiness
from jasminecrank.state import _rows
from jasminecrank.state import _slots
from jasminecrank.state import _snapshot
from jasminecrank.state import _topology

_NOT_RUN = exceptions.RunState.NOT_RUN


@dataclass(slots=True)
class AdmissionState:
    """Owns what the decisions on calls of one node depend on."""

    host: str
    snapshot: _snapshot.Snapshot
    quota: _quota.QuotaState
    slots: _slots.SlotPool
    ready: bool = False
    ticked_s: float | None = None
    draining: bool = False
    by_result: Counter[exceptions.ResultCode] = field(default_factory=Counter)

    @classmethod
    def from_host(cls, host: str, now_s: float) -> "AdmissionState":
        """Return the state of a node that has just started."""
        return cls(
            host=host,
            snapshot=_snapshot.Snapshot.empty(),
            quota=_quota.QuotaState.from_host(host, now_s),
            slots=_slots.SlotPool(0),
        )

    def apply_snapshot(
        self, snapshot: _snapshot.Snapshot, now_s: float
    ) -> None:
        """Decide by a new snapshot from now on."""
        self.snapshot = snapshot
        self.quota.apply_snapshot(snapshot, now_s)
        own = snapshot.by_host.get(self.host)
        if own is None or own.service not in snapshot.by_service:
            self.slots.capacity = 0
            return
        self.slots.capacity = snapshot.by_service[own.service].slots

    def admit(self, call: _calls.CallRequest, now_s: float) -> _calls.Decision:
        """Return the one decision on a call, by one snapshot."""
        decision = self._decide(call, now_s)
        match decision:
            case _calls.Refused():
                self.by_result[decision.code] += 1
            case _calls.Admitted() | _calls.ForwardTo() | _calls.Replay():
                self.by_result[exceptions.ResultCode.OK] += 1
        return decision

    def finish(self, permit: _calls.Permit, outcome: _calls.Outcome) -> None:
        """Take back the permit of a call that has ended."""
        del permit, outcome
        self.slots.release()

    def _decide(
        self, call: _calls.CallRequest, now_s: float
    ) -> _calls.Decision:
        if not self.ready or (
            self.ticked_s is not None
            and not _readiness.is_current(self.ticked_s, now_s)
        ):
            return self._refuse(exceptions.ResultCode.NODE_NOT_READY)
        route = self.snapshot.find_route(call.method, call.path)
        if route is None:
            return self._refuse(exceptions.ResultCode.NO_ROUTE)
        team = self._authenticate(call, route)
        if isinstance(team, _calls.Refused):
            return team
        deadline_at_s = now_s + route.deadline_ms / 1000
        if call.deadline_at_s is not None:
            deadline_at_s = min(deadline_at_s, call.deadline_at_s)
        if deadline_at_s <= now_s:
            return self._refuse(
                exceptions.ResultCode.DEADLINE_EXCEEDED, team, route
            )
        own = self.snapshot.by_host.get(self.host)
        if (
            own is None
            or own.service != route.service
            or not self.snapshot.accepts_new_work(own)
            or self.draining
        ):
            return self._forward(call, route, team, deadline_at_s)
        return self._run_here(call, route, team, deadline_at_s, own, now_s)

    def _authenticate(
        self, call: _calls.CallRequest, route: _rows.RouteRow
    ) -> str | _calls.Refused:
        if call.key_digest is None:
            if route.open_to_all:
                return ""
            return self._refuse(exceptions.ResultCode.KEY_MISSING, "", route)
        team = self.snapshot.team_of(call.key_digest)
        if team is None and not route.open_to_all:
            return self._refuse(exceptions.ResultCode.KEY_UNKNOWN, "", route)
        return team or ""

    def _forward(
        self,
        call: _calls.CallRequest,
        route: _rows.RouteRow,
        team: str,
        deadline_at_s: float,
    ) -> _calls.Decision:
        if call.forwarded_by is not None:
            return self._refuse(
                exceptions.ResultCode.NO_HOST_AVAILABLE, team, route
            )
        candidates = [
            host
            for host in self.snapshot.hosts_by_service[route.service]
            if host.host != self.host and self.snapshot.accepts_new_work(host)
        ]
        if not candidates:
            return self._refuse(
                exceptions.ResultCode.NO_HOST_AVAILABLE, team, route
            )
        seed = call.idempotency_key or call.request_id
        target = _topology.rendezvous_rank(candidates, seed)[0]
        return _calls.ForwardTo(
            target, route, team, self.snapshot.versions.table, deadline_at_s
        )

    def _run_here(
        self,
        call: _calls.CallRequest,
        route: _rows.RouteRow,
        team: str,
        deadline_at_s: float,
        own: _rows.HostRow,
        now_s: float,
    ) -> _calls.Decision:
        if team:
            wait_s = self.quota.take(route.service, team, now_s)
            if wait_s is not None:
                return self._refuse(
                    exceptions.ResultCode.RATE_EXCEEDED, team, route, wait_s
                )
        if not self.slots.acquire(route.priority):
            return self._refuse(exceptions.ResultCode.QUEUE_FULL, team, route)
        self._check_target(own)
        permit = _calls.Permit(
            request_id=call.request_id,
            route=route,
            team=team,
            version=self.snapshot.versions.table,
            deadline_at_s=deadline_at_s,
            idempotency_key=call.idempotency_key,
        )
        return _calls.Admitted(permit)

    def _check_target(self, own: _rows.HostRow) -> None:
        _invariants.check(
            exceptions.ResultCode.INVARIANT_DATA_CENTRE_OUT,
            own.data_centre not in self.snapshot.data_centres_out,
            "call admitted in data centre %s, which is out",
            own.data_centre,
        )
        _invariants.check(
            exceptions.ResultCode.INVARIANT_HOST_LEAVING,
            own.state is _rows.HostState.LIVE and not self.draining,
            "call admitted on host %s, which is leaving",
            own.host,
        )

    def _refuse(
        self,
        code: exceptions.ResultCode,
        team: str = "",
        route: _rows.RouteRow | None = None,
        retry_after_s: float = 0.0,
    ) -> _calls.Refused:
        return _calls.Refused(
            code=code,
            run_state=_NOT_RUN,
            version=self.snapshot.versions.table,
            team=team,
            service=route.service if route else "",
            retry_after_s=retry_after_s,
        )
