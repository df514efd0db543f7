"""Restores of the store from a copy, drawn from a seed."""

from dataclasses import dataclass
import random

FIRST_S = 2.0
MEAN_INTERVAL_S = 10.0
AGAIN_RATIO = 0.3
"""Fraction of restores that are followed by another one."""
MAX_AWAY_S = 5.0


@dataclass(slots=True, frozen=True)
class StoreRestored:
    """The store is away for a while and comes back from a copy."""

    copy_age_s: float
    away_s: float
    again_after_s: float | None
    """Time until it is restored again from the same copy, None if not."""


def make_restores(
    seed: int, end_s: float
) -> list[tuple[float, StoreRestored]]:
    """Return restores, each with the time in the run of its copy."""
    rng = random.Random(f"restores {seed}")
    restores = []
    at_s = FIRST_S + rng.expovariate(1.0 / MEAN_INTERVAL_S)
    while at_s < end_s:
        restore = StoreRestored(
            rng.uniform(0.5, 8.0),
            rng.uniform(0.1, MAX_AWAY_S),
            rng.uniform(0.1, 0.9) if rng.random() < AGAIN_RATIO else None,
        )
        restores.append((max(0.0, at_s - restore.copy_age_s), restore))
        at_s += rng.expovariate(1.0 / MEAN_INTERVAL_S)
    return restores
