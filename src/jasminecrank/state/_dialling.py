"""Schedules connection attempts to peers without a link."""

from collections.abc import Collection
from collections.abc import Iterable
from dataclasses import dataclass
from dataclasses import field
import random

_INITIAL_JITTER_MAX_S = 0.25
_HIGHER_ID_DELAY_S = 4.0
"""Time for the lower host id to dial, above its longest open timeout."""
_REDIAL_INITIAL_S = 1.0
_REDIAL_MAX_S = 8.0


@dataclass(slots=True, frozen=True)
class DialTarget:
    """A peer that should have a link."""

    host: str
    address: str


@dataclass(slots=True)
class _Attempt:
    due_s: float
    failures: int = 0
    in_progress: bool = False


@dataclass(slots=True)
class DialSchedule:
    """Schedules the connection attempts of one node.

    The lower host id of a pair dials. The higher one waits and dials only if
    no link was opened, because the lower one may have an older host list.
    """

    host: str
    by_address: dict[str, _Attempt] = field(default_factory=dict)

    def take_due(
        self,
        targets: Iterable[DialTarget],
        linked: Collection[str],
        now_s: float,
        rng: random.Random,
    ) -> tuple[DialTarget, ...]:
        """Return the targets to dial now and mark them as in progress."""
        unlinked = [target for target in targets if target.host not in linked]
        addresses = {target.address for target in unlinked}
        self.by_address = {
            address: attempt
            for address, attempt in self.by_address.items()
            if address in addresses or attempt.in_progress
        }
        due = []
        for target in unlinked:
            attempt = self.by_address.get(target.address)
            if attempt is None:
                wait_s = rng.uniform(0, _INITIAL_JITTER_MAX_S)
                if target.host < self.host and target.host:
                    wait_s += rng.uniform(
                        _HIGHER_ID_DELAY_S, 2 * _HIGHER_ID_DELAY_S
                    )
                attempt = _Attempt(now_s + wait_s)
                self.by_address[target.address] = attempt
            if not attempt.in_progress and attempt.due_s <= now_s:
                attempt.in_progress = True
                due.append(target)
        return tuple(due)

    def next_due_s(self) -> float | None:
        """Return when the next attempt is due, or None without any."""
        return min(
            (
                attempt.due_s
                for attempt in self.by_address.values()
                if not attempt.in_progress
            ),
            default=None,
        )

    def record_success(self, address: str) -> None:
        """Reset the backoff of an address after a link was opened."""
        self.by_address.pop(address, None)

    def record_failure(
        self, address: str, now_s: float, rng: random.Random
    ) -> None:
        """Back off with jitter after a failed attempt or a lost link."""
        attempt = self.by_address.setdefault(address, _Attempt(now_s))
        limit_s = min(_REDIAL_MAX_S, _REDIAL_INITIAL_S * 2**attempt.failures)
        attempt.failures = min(attempt.failures + 1, 8)
        attempt.in_progress = False
        attempt.due_s = now_s + rng.uniform(limit_s / 2, limit_s)

    def defer(self, address: str, now_s: float) -> None:
        """Delay dialling a peer in planned shutdown, which will reconnect."""
        self.by_address[address] = _Attempt(now_s + _REDIAL_MAX_S)
