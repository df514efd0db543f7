"""Decides when a node that has started may use the table it has read."""

from dataclasses import dataclass

START_CHECK_S = 0.4
"""Longest time that a node with a table waits for a peer to report."""


@dataclass(slots=True)
class StartCheck:
    """Waits for a peer that may know a newer table than the source has.

    A source that has been restored may have an older one for a while.
    """

    table_since_s: float | None = None
    is_over: bool = False

    def update(
        self, has_table: bool, is_confirmed: bool, now_s: float
    ) -> bool:
        """Return whether the check is over with this update.

        `is_confirmed`: whether a peer is known not to have a newer table.
        """
        if self.is_over or not has_table:
            return False
        if self.table_since_s is None:
            self.table_since_s = now_s
        waited_s = now_s - self.table_since_s
        self.is_over = is_confirmed or waited_s >= START_CHECK_S
        return self.is_over
