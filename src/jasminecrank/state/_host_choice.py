"""Selects the node that a call is forwarded to."""

from collections import deque
from collections.abc import Sequence
from dataclasses import dataclass
from dataclasses import field

from jasminecrank import const
from jasminecrank.state import _calls
from jasminecrank.state import _rows
from jasminecrank.state import _snapshot
from jasminecrank.state import _topology

_REMOTE_PENALTY_CALLS = 2
"""Extra open calls up to which a local host is preferred."""

_FAILURE_PENALTY_CALLS = 8
_FAILURE_PENALTY_S = 1.0
_MAX_OWNER_CHANGES = 32


@dataclass(slots=True)
class ObservedLoad:
    """The load of another node as observed by this node."""

    deadline_at_s_by_request: dict[str, float] = field(default_factory=dict)
    failed_until_s: float = 0.0

    def cost(self, now_s: float) -> int:
        """Return the open calls, plus a penalty after a failure."""
        cost = len(self.deadline_at_s_by_request)
        return cost + (
            _FAILURE_PENALTY_CALLS if now_s < self.failed_until_s else 0
        )


@dataclass(slots=True)
class HostChooser:
    """Selects among the hosts of a service that accept new calls."""

    host: str
    load_by_host: dict[str, ObservedLoad] = field(default_factory=dict)

    def choose(
        self,
        snapshot: _snapshot.Snapshot,
        call: _calls.CallRequest,
        service: str,
        now_s: float,
    ) -> _rows.HostRow | None:
        """Return the least loaded of a few candidates.

        Hosts in the data centre of this node are preferred. Returns None if
        no other host accepts new calls.
        """
        excluded = {self.host, *call.tried_hosts}
        hosts = [
            host
            for host in accepting_hosts(snapshot, service)
            if host.host not in excluded
        ]
        if not hosts:
            return None
        own_host = snapshot.by_host.get(self.host)
        own_data_centre = own_host.data_centre if own_host else None
        ranked = _topology.rendezvous_rank(hosts, call.request_id)
        local = [
            host for host in ranked if host.data_centre == own_data_centre
        ]
        remote = [
            host for host in ranked if host.data_centre != own_data_centre
        ]
        candidates = [*local[:2], *remote[: 1 if local else 2]]
        return min(
            candidates,
            key=lambda host: (
                self._cost(host.host, now_s)
                + (
                    _REMOTE_PENALTY_CALLS
                    if local and host.data_centre != own_data_centre
                    else 0
                )
            ),
        )

    def record_start(
        self, request_id: str, host: str, deadline_at_s: float
    ) -> None:
        """Record a call forwarded to a host."""
        load = self.load_by_host.setdefault(host, ObservedLoad())
        load.deadline_at_s_by_request[request_id] = deadline_at_s

    def record_end(
        self, request_id: str, host: str, failed: bool, now_s: float
    ) -> None:
        """Record the end of a forwarded call."""
        load = self.load_by_host.get(host)
        if load is None:
            return
        load.deadline_at_s_by_request.pop(request_id, None)
        if failed:
            load.failed_until_s = now_s + _FAILURE_PENALTY_S

    def forwarded_count(self, now_s: float) -> int:
        """Return the number of forwarded calls that are still open."""
        return sum(
            self._drop_expired(load, now_s)
            for load in self.load_by_host.values()
        )

    def drop_absent_hosts(self, snapshot: _snapshot.Snapshot) -> None:
        """Remove hosts that are not in a snapshot."""
        for host in self.load_by_host.keys() - snapshot.by_host.keys():
            del self.load_by_host[host]

    def _cost(self, host: str, now_s: float) -> int:
        load = self.load_by_host.get(host)
        if load is None:
            return 0
        self._drop_expired(load, now_s)
        return load.cost(now_s)

    def _drop_expired(self, load: ObservedLoad, now_s: float) -> int:
        """Remove calls past their deadline and return the number left.

        Their end was never reported.
        """
        pending = load.deadline_at_s_by_request
        for request_id in [
            request_id
            for request_id, deadline_at_s in pending.items()
            if deadline_at_s <= now_s
        ]:
            del pending[request_id]
        return len(pending)


def accepting_hosts(
    snapshot: _snapshot.Snapshot, service: str
) -> tuple[_rows.HostRow, ...]:
    """Return the hosts of a service that accept new calls."""
    return tuple(
        host
        for host in snapshot.hosts_by_service.get(service, ())
        if snapshot.accepts_new_work(host)
    )


def key_owner(
    hosts: Sequence[_rows.HostRow], key: str
) -> _rows.HostRow | None:
    """Return the host that owns an idempotency key."""
    if not hosts:
        return None
    return _topology.rendezvous_rank(hosts, key)[0]


@dataclass(slots=True, frozen=True)
class _OwnerChange:
    until_ms: int
    hosts: tuple[_rows.HostRow, ...]


@dataclass(slots=True)
class KeyOwnerHistory:
    """The hosts that shared the keys of this host's service over time.

    If another host owned a key after the key was created, the booking may have
    run there, and only that host has a record of it.
    """

    host: str
    hosts: tuple[_rows.HostRow, ...] = ()
    changes: deque[_OwnerChange] = field(default_factory=deque)
    unknown_before_ms: int = 0

    @classmethod
    def from_start(cls, host: str, wall_ms: int) -> "KeyOwnerHistory":
        """Return the history of a node that has just started."""
        return cls(host, unknown_before_ms=wall_ms)

    def update_hosts(
        self, hosts: tuple[_rows.HostRow, ...], wall_ms: int
    ) -> None:
        """Update the hosts of this service that accept new calls."""
        if [row.host for row in hosts] == [row.host for row in self.hosts]:
            return
        if self.hosts:
            self.changes.append(_OwnerChange(wall_ms, self.hosts))
        self.hosts = hosts
        oldest_ms = wall_ms - int(const.IDEMPOTENCY_TTL_S * 1000)
        while self.changes and self.changes[0].until_ms < oldest_ms:
            self.changes.popleft()
        if len(self.changes) > _MAX_OWNER_CHANGES:
            self.unknown_before_ms = self.changes.popleft().until_ms

    def may_have_run_elsewhere(
        self, key: str, key_ms: int, forwarded_by: str | None
    ) -> bool:
        """Return whether a key without a record here may have run before.

        A former owner that forwards a call has not run it.
        """
        if key_ms < self.unknown_before_ms:
            return True
        for change in self.changes:
            if key_ms >= change.until_ms:
                continue
            owner = key_owner(change.hosts, key)
            if owner and owner.host not in (self.host, forwarded_by):
                return True
        return False
