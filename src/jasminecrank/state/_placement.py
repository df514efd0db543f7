"""Decides whether a call runs on this node, on another or on none."""

from dataclasses import dataclass

from jasminecrank import exceptions
from jasminecrank.state import _call_checks
from jasminecrank.state import _fair_queue
from jasminecrank.state import _host_choice
from jasminecrank.state import _invariants
from jasminecrank.state import _rows
from jasminecrank.state import _snapshot


@dataclass(slots=True, frozen=True)
class LocalPlacement:
    """The call runs on this node's backend server."""


@dataclass(slots=True, frozen=True)
class RemotePlacement:
    """The call is forwarded to another node."""

    host: _rows.HostRow


@dataclass(slots=True, frozen=True)
class NoPlacement:
    """The call cannot run, for the reason in the code."""

    code: exceptions.ResultCode


Placement = LocalPlacement | RemotePlacement | NoPlacement


@dataclass(slots=True)
class PlacementState:
    """Owns the state that determines where a call runs."""

    host: str
    snapshot: _snapshot.Snapshot
    host_chooser: _host_choice.HostChooser
    key_owners: _host_choice.KeyOwnerHistory
    own_host: _rows.HostRow | None = None
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
            _host_choice.KeyOwnerHistory.from_start(host, wall_ms),
        )

    def apply_snapshot(
        self, snapshot: _snapshot.Snapshot, wall_ms: int
    ) -> None:
        """Update the hosts and outages from a new snapshot."""
        self.snapshot = snapshot
        self.own_host = snapshot.by_host.get(self.host)
        self.host_chooser.drop_absent_hosts(snapshot)
        self.update_accepting(wall_ms)

    def update_accepting(self, wall_ms: int) -> None:
        """Recompute whether this node accepts new calls."""
        own_host = self.own_host
        self.accepting = (
            own_host is not None
            and self.snapshot.accepts_new_work(own_host)
            and not self.stopping
            and not self.server_draining
        )
        if own_host is not None:
            self.key_owners.update_hosts(
                self._accepting_hosts(own_host.service), wall_ms
            )

    def accepts_locally(self, route: _rows.RouteRow) -> bool:
        """Return whether this node accepts new calls of a route."""
        return (
            self.accepting
            and self.own_host is not None
            and self.own_host.service == route.service
        )

    def place(
        self,
        checked: _fair_queue.CheckedCall,
        server_down: bool,
        now_s: float,
    ) -> Placement:
        """Return where a call runs."""
        key = _call_checks.booking_key(checked)
        if key is not None:
            return self._place_keyed_booking(checked, key)
        call = checked.call
        accepted_here = (
            self.accepts_locally(checked.route)
            and self.host not in call.tried_hosts
        )
        if accepted_here and (
            not server_down or call.forwarded_by is not None
        ):
            return LocalPlacement()
        if call.forwarded_by is not None:
            return NoPlacement(self._refusal_code(checked.route))
        host = self.host_chooser.choose(
            self.snapshot, call, checked.route.service, now_s
        )
        if host is not None:
            return RemotePlacement(host)
        return (
            LocalPlacement()
            if accepted_here
            else NoPlacement(self._refusal_code(checked.route))
        )

    def check_start_invariants(self, checked: _fair_queue.CheckedCall) -> None:
        """Check the invariants of a call that is about to start."""
        own_host = self.own_host
        _invariants.check(
            exceptions.ResultCode.INVARIANT_DATA_CENTRE_OUT,
            own_host is not None
            and own_host.data_centre not in self.snapshot.data_centres_out,
            "call admitted on host %s, whose data centre is out of service",
            self.host,
        )
        _invariants.check(
            exceptions.ResultCode.INVARIANT_HOST_LEAVING,
            own_host is not None
            and own_host.state is _rows.HostState.LIVE
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
                and self.snapshot.find_team(digest) == checked.team
            ),
            "call admitted for team %s without a valid key",
            checked.team,
        )

    def _place_keyed_booking(
        self, checked: _fair_queue.CheckedCall, key: str
    ) -> Placement:
        """Return the placement of a booking with an idempotency key.

        Only the owner of the key may run it. An owner that forwards such a
        booking accepts no new calls and has not run it, so the next node in
        rank becomes the owner.
        """
        call = checked.call
        hosts = [
            host
            for host in self._accepting_hosts(checked.route.service)
            if host.host != call.forwarded_by
        ]
        owner = _host_choice.key_owner(hosts, key)
        if owner is None:
            return NoPlacement(self._refusal_code(checked.route))
        if owner.host in call.tried_hosts:
            return NoPlacement(
                exceptions.ResultCode.IDEMPOTENCY_HOST_UNREACHABLE
            )
        if owner.host == self.host:
            return LocalPlacement()
        if call.forwarded_by is not None:
            return NoPlacement(
                exceptions.ResultCode.IDEMPOTENCY_HOST_UNREACHABLE
            )
        return RemotePlacement(owner)

    def _accepting_hosts(self, service: str) -> tuple[_rows.HostRow, ...]:
        hosts = _host_choice.accepting_hosts(self.snapshot, service)
        if self.accepting:
            return hosts
        return tuple(host for host in hosts if host.host != self.host)

    def _refusal_code(self, route: _rows.RouteRow) -> exceptions.ResultCode:
        own_host = self.own_host
        if (
            own_host is None
            or own_host.service != route.service
            or self.accepting
        ):
            return exceptions.ResultCode.NO_HOST_AVAILABLE
        if own_host.data_centre in self.snapshot.data_centres_out:
            return exceptions.ResultCode.DATA_CENTRE_OUT
        return exceptions.ResultCode.HOST_LEAVING
