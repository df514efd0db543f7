"""Linear fits of figures that are measured at several sizes."""

from collections import defaultdict
from collections.abc import Callable
from collections.abc import Iterable
from collections.abc import Iterator
from dataclasses import dataclass
import statistics
import time
import typing

_REPEATS = 5


SizeT = typing.TypeVar("SizeT")


@dataclass(slots=True, frozen=True)
class Figure:
    """A value measured at one size."""

    name: str
    unit: str
    size: float
    value: float


@dataclass(slots=True, frozen=True)
class Slope:
    """Linear fit of a figure: cost per unit of size and fixed cost."""

    size: str
    figure: str
    unit: str
    points: tuple[tuple[float, float], ...]
    per_size: float
    fixed: float

    @classmethod
    def from_points(
        cls,
        size: str,
        figure: str,
        unit: str,
        points: Iterable[tuple[float, float]],
    ) -> "Slope":
        """Fit a least-squares line to at least three points."""
        known = tuple(points)
        fit = statistics.linear_regression(
            [x for x, _ in known], [y for _, y in known]
        )
        return cls(size, figure, unit, known, fit.slope, fit.intercept)

    def value_at(self, size: float) -> float:
        """Return the fitted value at a size, at least 0."""
        return max(0.0, self.fixed + self.per_size * size)


def processor_ms(work: Callable[[], object]) -> float:
    """Return the median processor time of a callable on this thread."""
    times_s = []
    for _ in range(_REPEATS):
        started_s = time.thread_time()
        work()
        times_s.append(time.thread_time() - started_s)
    return statistics.median(times_s) * 1000


def fit_figures(
    size: str,
    rounds: int,
    sizes: Iterable[SizeT],
    figures: Callable[[SizeT], Iterable[Figure]],
) -> Iterator[Slope]:
    """Yield the slope of each figure, fitted to medians over several rounds.

    Each round measures every size, because the speed of a shared machine
    varies within seconds.
    """
    ordered = tuple(sizes)
    values: defaultdict[tuple[str, str, int], list[Figure]] = defaultdict(list)
    for _ in range(rounds):
        for index, one in enumerate(ordered):
            for figure in figures(one):
                values[figure.name, figure.unit, index].append(figure)
    points: defaultdict[tuple[str, str], list[tuple[float, float]]]
    points = defaultdict(list)
    for (name, unit, _), found in values.items():
        median = statistics.median(figure.value for figure in found)
        points[name, unit].append((found[0].size, median))
    for (name, unit), known in points.items():
        yield Slope.from_points(size, name, unit, known)


def format_slopes(slopes: Iterable[Slope]) -> Iterator[str]:
    """Yield the lines of a plain-text table of slopes."""
    yield (
        f"{'size':<22} {'figure':<34} {'unit':<10} "
        f"{'per size':>12} {'fixed':>12}  points"
    )
    for slope in slopes:
        points = ", ".join(f"{x:g}: {y:.4g}" for x, y in slope.points)
        yield (
            f"{slope.size:<22} {slope.figure:<34} {slope.unit:<10} "
            f"{slope.per_size:>12.5g} {slope.fixed:>12.5g}  {points}"
        )
