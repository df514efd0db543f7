"""Which pipelined requests run before the answers to earlier ones."""

from dataclasses import dataclass

from jasminecrank.mesh.state import _calls

MAX_CONNECTION_REQUESTS = 8
"""Requests of one connection that run at the same time.

More would let one caller take the slots that other callers wait for.
"""
FIRST_CONNECTION_REQUESTS = 2
"""The same on a new connection, until answers show that there is room."""
MAX_NODE_REQUESTS = 256
"""Requests of all connections that run ahead of their turn."""
HELD_SHARE = 0.25
"""Share of the limit of unsent answers for those that wait for their turn."""
MIN_ANSWER_BYTES = 1_024
"""Assumed size of an answer: its head and a short body."""
ANSWER_WEIGHT = 0.1
"""Weight of the latest answer in the average size of answers."""


@dataclass(slots=True)
class AheadBudget:
    """Bounds what all connections of a node run ahead of its turn.

    An answer that comes before its turn is held until those before it have
    been written. The memory for the answers to come is estimated by the
    average size of earlier ones.
    """

    held_limit_bytes: int
    running: int = 0
    """Requests that run ahead of their turn."""
    held_bytes: int = 0
    """Bytes of answers that wait for their turn."""
    has_answered: bool = False
    """Whether the node has passed on an answer since it started.

    Until then it knows no run times, and a request that it queues is refused
    if it has to stop.
    """
    _answer_bytes: float = MIN_ANSWER_BYTES
    """Average size of an answer."""

    @classmethod
    def from_unsent_limit(cls, limit_bytes: int) -> "AheadBudget":
        """Return the budget of a node that holds so many unsent answers."""
        return cls(int(HELD_SHARE * limit_bytes))

    def has_room(self) -> bool:
        """Return whether another request may run ahead of its turn."""
        expected_bytes = (self.running + 1) * max(
            MIN_ANSWER_BYTES, self._answer_bytes
        )
        return (
            self.has_answered
            and self.running < MAX_NODE_REQUESTS
            and self.held_bytes + expected_bytes <= self.held_limit_bytes
        )

    def record_answer(self, size_bytes: int) -> None:
        """Learn the size of an answer."""
        self.has_answered = True
        self._answer_bytes += ANSWER_WEIGHT * (size_bytes - self._answer_bytes)


@dataclass(slots=True)
class AheadWindow:
    """How many requests of a connection may run at the same time.

    It grows with each answer and is halved by a refusal, as the congestion
    window of TCP: requests that one caller starts all at once would take the
    slots that it, or others, need in turn.
    """

    size: int = FIRST_CONNECTION_REQUESTS

    def record_answer(self) -> None:
        """Allow one more request."""
        self.size = min(MAX_CONNECTION_REQUESTS, self.size + 1)

    def record_refusal(self) -> None:
        """Allow half as many."""
        self.size = max(1, self.size // 2)


def may_run_ahead(
    kind: _calls.RouteKind | None,
    in_progress: int,
    all_repeatable: bool,
    window: int,
) -> bool:
    """Return whether a request may run beside those before it.

    `kind` is that of its route, None without one; `in_progress` requests have
    no answer yet, `window` of which may run at the same time, and
    `all_repeatable` tells whether they may all be repeated. An answer before
    it may still close the connection, and the caller then repeats the request
    on another one. Behind a request that may run once only, callers expect to
    see its effect (RFC 9112, 9.3.2).
    """
    return (
        kind is _calls.RouteKind.IDEMPOTENT
        and all_repeatable
        and in_progress < window
    )
