"""Requests for admission to a backend server, and the decisions on them."""

from dataclasses import dataclass


@dataclass(slots=True, frozen=True)
class AdmissionRequest:
    """The data of a call that the admission decision depends on."""

    call_id: int
    link_id: int
    """The link the call arrived on; with `call_id` it identifies the call."""
    rank: int
    """Priority rank; lower ranks are served first, starting at 0."""
    route: str
    deadline_at_s: float
    target_at_s: float


@dataclass(slots=True, frozen=True)
class TeamPolicy:
    """Calls are ranked by the priorities of their teams."""


@dataclass(slots=True, frozen=True)
class ObjectivePolicy:
    """Without teams, calls are admitted by what can meet its objective.

    Run times of a cold start are learned for each route, since few calls meet
    their objective then if they have waited as in calm.
    """

    cold_overshoot: float = 1.0
    """Factor by which a server's cold-start rate may be exceeded."""


AdmissionPolicy = TeamPolicy | ObjectivePolicy


@dataclass(slots=True, frozen=True)
class Admit:
    """The call has a slot and may be sent to the backend server now."""


@dataclass(slots=True, frozen=True)
class Enqueue:
    """The call is queued until a slot is free."""


@dataclass(slots=True, frozen=True)
class Reject:
    """The call will not run; retry after the expected wait."""

    reason: str
    retry_after_s: float


Decision = Admit | Enqueue | Reject


@dataclass(slots=True, frozen=True)
class ReleasedCalls:
    """Calls removed from the queue: admitted, expired or without time left."""

    admitted: tuple[AdmissionRequest, ...]
    expired: tuple[AdmissionRequest, ...]
    stopped: tuple[AdmissionRequest, ...] = ()
    """Calls that would not end before the node does."""
