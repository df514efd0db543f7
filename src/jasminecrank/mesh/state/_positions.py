"""Positions in the source, by which the ages of entries are compared."""

from dataclasses import dataclass

UNKNOWN_ERA = -1
"""Era of a position that was received without one."""
_NOTHING_RETAINED = -2
_MAX_NUMBER = 2**63 - 1
"""Largest era and revision of a store."""


@dataclass(slots=True, frozen=True, order=True)
class Position:
    """When an entry was written, as far as the source can tell.

    The source begins a new era when it is restored from a copy. It then gives
    out the revisions that the copy lacks again.

    A plain position has an era and a revision. An entry that the source has
    lost can be retained in place of an older one of the copy: its position is
    that of the copy's entry with the one at which it was written in the lost
    era. A confirmed position names its own era there: the source's entry, in
    place of a retained one. All are below what is written later.
    """

    era: int
    revision: int
    retained_era: int = _NOTHING_RETAINED
    retained_revision: int = 0

    @classmethod
    def from_parts(cls, parts: tuple[int, ...]) -> "Position":
        """Return the position of two or four numbers, or raise ValueError."""
        eras, revisions = parts[::2], parts[1::2]
        if (
            len(parts) not in (2, 4)
            or min(eras) < UNKNOWN_ERA
            or min(revisions) < 0
            or max(parts) > _MAX_NUMBER
        ):
            raise ValueError("the numbers are no position")
        return cls(*parts)

    @property
    def has_retained_part(self) -> bool:
        """Return whether it differs from where the source has the entry."""
        return self.retained_era != _NOTHING_RETAINED

    @property
    def is_retained(self) -> bool:
        """Return whether the entry was lost in the era of its position."""
        return _NOTHING_RETAINED < self.retained_era < self.era

    @property
    def written_at(self) -> tuple[int, int]:
        """Return the era and the revision in which the entry was written."""
        if self.is_retained:
            return self.retained_era, self.retained_revision
        return self.era, self.revision

    def in_era(self, era: int) -> "Position":
        """Return the position with an era, if it has none."""
        if self.era != UNKNOWN_ERA:
            return self
        return Position(era, self.revision)

    def retain_over(self, older: "Position") -> "Position":
        """Return the position of this entry in place of an older one."""
        return Position(older.era, older.revision, *self.written_at)

    def confirmed(self) -> "Position":
        """Return the position at which an entry replaces retained ones."""
        return Position(self.era, self.revision, self.era)


NO_POSITION = Position(UNKNOWN_ERA, 0)
"""Position of a node that has no entries, below all others."""
