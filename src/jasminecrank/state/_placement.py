"""Whether a call runs on this node, on another one or on none."""

from dataclasses import dataclass

from jasminecrank import exceptions
from jasminecrank.state import _call_checks
from jasminecrank.state import _fair_queue
from jasminecrank.state import _host_choice
from jasminecrank.state import _invariants
from jasminecrank.state import _rows
from jasminecrank.state import _snapshot


@dataclass(slots=True, frozen=True)
class Here:
    """The call runs on this node's backend server."""


@dataclass(slots=True, frozen=True)
class There:
    """The call is forwarded to another node."""

    host: _rows.HostRow


@dataclass(slots=True, frozen=True)
class Nowhere:
    """The call can't run; the code says why."""

    code: exceptions.ResultCode


Place = Here | There | Nowhere


@dataclass(slots=True)
class PlacementState:
    """Owns what decides where a call runs."""

    host: str
    snapshot: _snapshot.Snapshot
    chooser: _host_choice.HostChooser
    owners: _host_choice.KeyOwners
    own: _rows.HostRow | None = None
    stopping: bool = False
    server_draining: bool = False
    accepting: bool = False

    @classmethod
    def from_host(cls, host: str, wall_ms: int) -> "PlacementState":
        """Return the state of a node that has just started."""
        return cls(
            host,
            _snapshot.Snapshot.empty(),
            _host_choice.HostChooser(host),
            _host_choice.KeyOwners.from_start(host, wall_ms),
        )

    def apply_snapshot(
        self, snapshot: _snapshot.Snapshot, wall_ms: int
    ) -> None:
        """Follow the hosts and outages of a new snapshot."""
        self.snapshot = snapshot
        self.own = snapshot.by_host.get(self.host)
        self.chooser.keep_hosts(snapshot)
        self.update(wall_ms)

    def update(self, wall_ms: int) -> None:
        """Recompute whether this node accepts new work."""
        own = self.own
        self.accepting = (
            own is not None
            and self.snapshot.accepts_new_work(own)
            and not self.stopping
            and not self.server_draining
        )
        if own is not None:
            self.owners.apply_hosts(self._hosts(own.service), wall_ms)

    def runs_here(self, route: _rows.RouteRow) -> bool:
        """Return whether this node takes new calls of a route."""
        return (
            self.accepting
            and self.own is not None
            and self.own.service == route.service
        )

    def place(
        self,
        checked: _fair_queue.CheckedCall,
        server_down: bool,
        now_s: float,
    ) -> Place:
        """Return where a call runs."""
        key = _call_checks.booking_key(checked)
        if key is not None:
            return self._place_keyed(checked, key)
        call = checked.call
        here = (
            self.runs_here(checked.route) and self.host not in call.tried_hosts
        )
        if here and (not server_down or call.forwarded_by is not None):
            return Here()
        if call.forwarded_by is not None:
            return Nowhere(self._reason(checked.route))
        host = self.chooser.choose(
            self.snapshot, call, checked.route.service, now_s
        )
        if host is not None:
            return There(host)
        return Here() if here else Nowhere(self._reason(checked.route))

    def check_start(self, checked: _fair_queue.CheckedCall) -> None:
        """Assert that a call may start on this host for its team."""
        own = self.own
        _invariants.check(
            exceptions.ResultCode.INVARIANT_DATA_CENTRE_OUT,
            own is not None
            and own.data_centre not in self.snapshot.data_centres_out,
            "call admitted on host %s, whose data centre is out",
            self.host,
        )
        _invariants.check(
            exceptions.ResultCode.INVARIANT_HOST_LEAVING,
            own is not None
            and own.state is _rows.HostState.LIVE
            and not self.stopping
            and not self.server_draining,
            "call admitted on host %s, which is leaving",
            self.host,
        )
        digest = checked.call.key_digest
        _invariants.check(
            exceptions.ResultCode.INVARIANT_KEY,
            checked.route.open_to_all
            or (
                digest is not None
                and self.snapshot.team_of(digest) == checked.team
            ),
            "call admitted for team %s without a valid key",
            checked.team,
        )

    def _place_keyed(
        self, checked: _fair_queue.CheckedCall, key: str
    ) -> Place:
        """Return the place of a booking that only one node may run.

        A node that forwards a key of its own accepts no new work and has
        not run it, so the next node in the order takes the key over.
        """
        call = checked.call
        hosts = [
            host
            for host in self._hosts(checked.route.service)
            if host.host != call.forwarded_by
        ]
        owner = _host_choice.key_owner(hosts, key)
        if owner is None:
            return Nowhere(self._reason(checked.route))
        if owner.host in call.tried_hosts:
            return Nowhere(exceptions.ResultCode.IDEMPOTENCY_HOST_UNREACHABLE)
        if owner.host == self.host:
            return Here()
        if call.forwarded_by is not None:
            return Nowhere(exceptions.ResultCode.IDEMPOTENCY_HOST_UNREACHABLE)
        return There(owner)

    def _hosts(self, service: str) -> tuple[_rows.HostRow, ...]:
        hosts = _host_choice.accepting_hosts(self.snapshot, service)
        if self.accepting:
            return hosts
        return tuple(host for host in hosts if host.host != self.host)

    def _reason(self, route: _rows.RouteRow) -> exceptions.ResultCode:
        own = self.own
        if own is None or own.service != route.service or self.accepting:
            return exceptions.ResultCode.NO_HOST_AVAILABLE
        if own.data_centre in self.snapshot.data_centres_out:
            return exceptions.ResultCode.DATA_CENTRE_OUT
        return exceptions.ResultCode.HOST_LEAVING
