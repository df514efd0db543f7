"""Tells retries of callers from their first attempts, by their deadlines."""

from dataclasses import dataclass
from dataclasses import field
import math
import typing

FIRST_ATTEMPT_SHARE = 0.85
"""Smallest deadline of a first attempt, as a share of a route's usual one.

The deadline of a retry is what its caller has left.
"""
RISE_WEIGHT = 0.3
"""Weight of a longer deadline in the usual one, which first attempts set."""
FALL_WEIGHT = 0.002
"""Weight of a shorter deadline; most of these may be retries for a while."""
MAX_RISE = 1.1
"""Bound on a single rise, since any caller can send a long deadline."""


@dataclass(slots=True)
class CallerDeadlines:
    """Learns the usual deadline of each route from the requests for it."""

    _usual_s_by_route: dict[str, float] = field(default_factory=dict)

    def __len__(self) -> int:
        """Return the number of routes with a usual deadline."""
        return len(self._usual_s_by_route)

    def record(
        self,
        route: str,
        deadline_s: float,
        first_limit_s: float = math.inf,
    ) -> None:
        """Learn the deadline of a request.

        The first one of a route counts up to a limit: if it were much longer
        than the others, these would be taken for retries for a long time.
        """
        if deadline_s <= 0.0:
            # Rises are in proportion, so that the usual one would stay at 0.
            return
        usual_s = self._usual_s_by_route.get(route)
        if usual_s is None:
            self._usual_s_by_route[route] = min(deadline_s, first_limit_s)
            return
        weight = RISE_WEIGHT if deadline_s > usual_s else FALL_WEIGHT
        usual_s += weight * (deadline_s - usual_s)
        limit_s = MAX_RISE * self._usual_s_by_route[route]
        self._usual_s_by_route[route] = min(usual_s, limit_s)

    def is_retry(self, route: str, deadline_s: float) -> bool:
        """Return whether a request is likely the retry of an earlier one."""
        usual_s = self._usual_s_by_route.get(route, 0.0)
        return deadline_s < FIRST_ATTEMPT_SHARE * usual_s

    def retain(self, routes: typing.Collection[str]) -> None:
        """Discard the routes that the table no longer has."""
        for route in self._usual_s_by_route.keys() - set(routes):
            del self._usual_s_by_route[route]
