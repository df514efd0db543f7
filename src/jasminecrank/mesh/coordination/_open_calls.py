"""State of a call from its arrival until its reply."""

import asyncio
from dataclasses import dataclass
from dataclasses import field
import random
import typing

from jasminecrank.mesh import state
from jasminecrank.mesh.coordination import _messages
from jasminecrank.mesh.coordination import _peer_messages

DEFAULT_TIME_LIMIT_S = 10.0
"""Time limit of a request without a deadline on a route without a timeout."""
RETRY_AFTER_MIN_S = 0.1
RETRY_AFTER_MAX_FRACTION = 0.32
"""Longest Retry-After, as a fraction of the caller's remaining time.

Callers wait for at most a third of their remaining time.
"""
TEAM_RANK_STEP = 100
"""Difference in rank between two team priorities; exceeds route priorities."""

PRIORITY_RANK_STEP = 2
"""Difference in rank between two priorities in a table without teams."""
PATIENT_RANK_STEP = 1
"""What a call ranks lower that waits beyond its objective."""

BACKEND_SERVER_RANK = -1
"""Ranks first, since a backend server's call holds a slot while it waits."""


@dataclass(slots=True)
class OpenCall:
    """A call from a caller of this node that has not been replied to yet."""

    number: int
    request: state.CallRequest
    reply: typing.Callable[[state.Reply], None]
    arrived_at_s: float
    deadline_at_s: float
    attempts: state.CallAttempts
    team: state.Team | None
    rank: int
    service: str = ""
    host: str | None = None
    """Host of the current attempt; None between attempts."""
    send: _peer_messages.SendToPeer | None = None
    """Link of the current attempt; None if it is on this host."""
    sent_at_s: float = 0.0
    """When the current attempt was sent."""
    timer: asyncio.TimerHandle | None = None
    caller_stopped: bool = False
    """Whether its caller may have left, so that it is not sent again."""
    reads_late: bool = False
    """Whether its deadline was handled late, and answers are still read."""
    has_token: bool = False
    """Whether it holds a token of its team's rate."""
    busy_server_ids: set[str] = field(default_factory=set)
    """Servers whose nodes have refused it since it would be late there."""
    is_patient: bool = False
    """Whether it waits for a slot although it misses its objective."""
    is_of_repeated_run: bool = False
    """Whether a run that is a retry has made it."""
    has_waited_for_token: bool = False
    """Whether it has already waited once for a token."""
    servers: list[str] = field(default_factory=list)

    @classmethod
    def from_arrival(
        cls,
        message: _messages.CallArrived,
        route: state.Route,
        team: state.Team | None,
        rank: int,
    ) -> "OpenCall":
        """Return a new call for a request on a route."""
        time_limit_s = message.request.caller_timeout_s
        if time_limit_s is None:
            time_limit_s = DEFAULT_TIME_LIMIT_S
        if route.timeout_s is not None:
            time_limit_s = min(time_limit_s, route.timeout_s)
        return cls(
            message.number,
            message.request,
            message.reply,
            message.arrived_at_s,
            message.arrived_at_s + time_limit_s,
            state.CallAttempts(route),
            team,
            rank,
            "" if message.readmission is None else message.readmission.service,
        )

    @property
    def call_class(self) -> state.CallClass:
        """Return what is known of it before it runs."""
        return state.CallClass.from_call(
            self.attempts.route.name,
            self.request.method,
            len(self.request.body),
            self.is_from_backend_server,
        )

    @property
    def is_from_backend_server(self) -> bool:
        """Return whether it is a call of this host's backend server."""
        return self.rank == BACKEND_SERVER_RANK

    @property
    def _sent_rank(self) -> int:
        """Return the rank of the next attempt.

        A run's call goes first also when it is late, since the run waits.
        """
        if self.is_patient and not self.is_from_backend_server:
            return self.rank + PATIENT_RANK_STEP
        return self.rank

    @property
    def allowed_regions(self) -> frozenset[str] | None:
        """Return the regions that it may be sent to, None for all."""
        route_regions = self.attempts.route.home_regions
        team_regions = (
            frozenset() if self.team is None else self.team.home_regions
        )
        if route_regions and team_regions:
            return route_regions & team_regions
        return route_regions or team_regions or None

    @property
    def excluded_server_ids(self) -> set[str]:
        """Return the servers that it must not be sent to again.

        A patient call may wait at a node that has refused it as busy, since
        the node has kept nothing of it. Any other server may have run it, or
        may still reply to the earlier attempt.
        """
        tried_ids = self.attempts.tried_server_ids
        if self.is_patient:
            return tried_ids - self.busy_server_ids
        return tried_ids

    @property
    def has_service(self) -> bool:
        """Return whether a service is chosen that its route leads to."""
        return any(
            weighted.service == self.service and weighted.weight > 0
            for weighted in self.attempts.route.weighted_services
        )

    @property
    def holds_unused_token(self) -> bool:
        """Return whether its token can be used by another call."""
        return self.has_token and self._is_unreceived

    @property
    def readmission(self) -> state.Readmission | None:
        """Return what the request keeps if it is admitted once more."""
        if not self._is_unreceived:
            return None
        return state.Readmission(self.service)

    @property
    def _is_unreceived(self) -> bool:
        """Return whether no server has received it, nor may have."""
        return (
            self.attempts.progress is state.Progress.UNSENT
            and self.attempts.servers_reached == 0
            and self.host is None
        )

    def start_attempt(
        self,
        server: state.BackendServer,
        caller_service: str,
        server_deadline_at_s: float,
        now_s: float,
    ) -> _peer_messages.CallSent:
        """Record an attempt at a server and return the message to send."""
        route = self.attempts.route
        self.attempts.tried_server_ids.add(server.server_id)
        self.busy_server_ids.discard(server.server_id)
        self.servers.append(server.server_id)
        self.host = server.host
        self.sent_at_s = now_s
        return _peer_messages.CallSent(
            self.number,
            self.request.request_id,
            server.server_id,
            route.name,
            self.request.method,
            self.request.target,
            self.request.headers,
            self.request.body,
            self._sent_rank,
            route.kind is state.RouteKind.IDEMPOTENT,
            server_deadline_at_s - now_s,
            (
                server_deadline_at_s
                if self.is_patient
                else self.arrived_at_s + route.target_s
            )
            - now_s,
            caller_service,
            "" if self.team is None else self.team.name,
            self.is_of_repeated_run or self.attempts.servers_reached > 0,
        )

    def retry_after_s(
        self, wait_s: float, now_s: float, rng: random.Random
    ) -> float:
        """Return the delay after which the caller should retry.

        A random factor prevents callers from retrying at the same time.
        """
        jitter = 0.8 + 0.6 * rng.random()
        time_limit_s = self.request.caller_timeout_s or DEFAULT_TIME_LIMIT_S
        elapsed_s = now_s - self.arrived_at_s
        max_s = RETRY_AFTER_MAX_FRACTION * max(0.0, time_limit_s - elapsed_s)
        return min(max_s, max(RETRY_AFTER_MIN_S, wait_s) * jitter)


def attempt_ended(
    host: str, message: _peer_messages.PeerMessage
) -> _messages.AttemptEnded | None:
    """Return the end of an attempt that a gate task reports, or None."""
    result: state.AttemptResult
    active_calls = None
    match message:
        case _peer_messages.CallServed():
            active_calls = message.active_calls
            response = state.Response(
                message.status, message.reason, message.headers, message.body
            )
            result = state.Served(response, message.run_time_s)
        case _peer_messages.CallNotRun():
            result = state.NotRun(
                message.reason, message.retry_after_s, message.reached_server
            )
        case _peer_messages.CallMayHaveRun():
            result = state.MayHaveRun(message.reason)
        case _:
            return None
    return _messages.AttemptEnded(message.call_id, host, result, active_calls)


def rank_of(route: state.Route, team: state.Team | None) -> int:
    """Return the rank of a call in a table with teams."""
    if route.open_to_all and team is None:
        return BACKEND_SERVER_RANK
    if team is not None and team.priority is not None:
        return TEAM_RANK_STEP * team.priority + route.priority
    return route.priority


def rank_without_teams(route: state.Route, is_nested: bool) -> int:
    """Return the rank of a call in a table without teams.

    Patient calls of a priority rank between it and the next one.
    """
    if is_nested or route.open_to_all:
        return BACKEND_SERVER_RANK
    return PRIORITY_RANK_STEP * route.priority
