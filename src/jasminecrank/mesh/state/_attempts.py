"""What may be done next with a call, from the evidence about it."""

from dataclasses import dataclass
from dataclasses import field
import enum
import typing

from jasminecrank.mesh.state import _budgets
from jasminecrank.mesh.state import _calls
from jasminecrank.mesh.state import _table

MAX_SERVERS_TRIED = 4
"""Nodes that a call is offered to, so that it ends soon in overload."""


class Progress(enum.Enum):
    """How far a call has come at backend servers."""

    UNSENT = "unsent"
    MAYBE_SENT = "maybe-sent"
    RUN = "run"


@dataclass(slots=True, frozen=True)
class Deliver:
    """Give the caller the backend server's answer."""

    response: _calls.Response


@dataclass(slots=True, frozen=True)
class TryAnotherServer:
    """Offer the call to another server.

    A repeat draws on the retry budget, since a server has seen the request;
    `budget_share` is the part of it that such repeats may use up.
    """

    is_retry: bool
    fallback: "Deliver | Refuse"
    """What to do if no server or no budget is left."""
    budget_share: float = _budgets.UNANSWERED_RETRY_SHARE


@dataclass(slots=True, frozen=True)
class Refuse:
    """Answer the caller on the node's own account."""

    refusal: _calls.Refusal


NextStep = Deliver | TryAnotherServer | Refuse


@dataclass(slots=True)
class CallAttempts:
    """The attempts of one call and what is known of them."""

    route: _table.Route
    progress: Progress = Progress.UNSENT
    tried_server_ids: set[str] = field(default_factory=set)
    servers_reached: int = 0
    """Servers that have seen, or may have seen, the request."""

    def next_step(self, result: _calls.AttemptResult) -> NextStep:
        """Return what follows from the result of the last attempt."""
        match result:
            case _calls.Served(response=response):
                self.progress = Progress.RUN
                self.servers_reached += 1
                deliver = Deliver(response)
                if response.status >= 500 and self._may_retry():
                    return TryAnotherServer(
                        True, deliver, _budgets.FAILED_RETRY_SHARE
                    )
                return deliver
            case _calls.NotRun(reason, retry_after_s, reached_server):
                self.servers_reached += reached_server
                refuse = Refuse(self._not_run_refusal(reason, retry_after_s))
                if (
                    reached_server
                    and self.servers_reached >= self.route.max_attempts
                ):
                    return refuse
                if len(self.tried_server_ids) >= MAX_SERVERS_TRIED:
                    return refuse
                return TryAnotherServer(reached_server, refuse)
            case _calls.MayHaveRun(reason):
                self.progress = Progress.MAYBE_SENT
                self.servers_reached += 1
                refuse = Refuse(
                    _calls.Refusal(_calls.RefusalKind.MAY_HAVE_RUN, reason)
                )
                if self._may_retry():
                    return TryAnotherServer(True, refuse)
                return refuse
            case _:
                typing.assert_never(result)

    def timeout_refusal(self, in_flight: bool) -> _calls.Refusal:
        """Return the answer to a call whose time is over."""
        if in_flight or self.progress is not Progress.UNSENT:
            return _calls.Refusal(_calls.RefusalKind.TIMED_OUT)
        return _calls.Refusal(_calls.RefusalKind.EXPIRED)

    def _may_retry(self) -> bool:
        return (
            self.route.kind is _calls.RouteKind.IDEMPOTENT
            and self.servers_reached < self.route.max_attempts
        )

    def _not_run_refusal(
        self, reason: str, retry_after_s: float
    ) -> _calls.Refusal:
        if self.progress is not Progress.UNSENT:
            return _calls.Refusal(_calls.RefusalKind.MAY_HAVE_RUN, reason)
        return _calls.Refusal(
            _calls.RefusalKind.OVERLOADED, reason, retry_after_s
        )
