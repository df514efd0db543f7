"""Compact set of the sequence numbers seen from a process."""

import bisect
from collections.abc import Iterator
from dataclasses import dataclass
from dataclasses import field


@dataclass(slots=True)
class SequenceSet:
    """Sequence numbers as sorted, disjoint, inclusive ranges.

    Memory use grows with the number of gaps, not with the number of lines.
    """

    starts: list[int] = field(default_factory=list)
    ends: list[int] = field(default_factory=list)

    def add(self, number: int) -> bool:
        """Add a number; return False if it is already in the set."""
        index = bisect.bisect_right(self.starts, number) - 1
        if index >= 0 and number <= self.ends[index]:
            return False
        joins_left = index >= 0 and self.ends[index] == number - 1
        right = index + 1
        joins_right = (
            right < len(self.starts) and self.starts[right] == number + 1
        )
        if joins_left and joins_right:
            self.ends[index] = self.ends[right]
            del self.starts[right], self.ends[right]
        elif joins_left:
            self.ends[index] = number
        elif joins_right:
            self.starts[right] = number
        else:
            self.starts.insert(right, number)
            self.ends.insert(right, number)
        return True

    def gaps(self) -> Iterator[tuple[int, int]]:
        """Yield the first and last missing number of each gap, from 1 on."""
        expected = 1
        for start, end in zip(self.starts, self.ends, strict=True):
            if start > expected:
                yield expected, start - 1
            expected = end + 1
