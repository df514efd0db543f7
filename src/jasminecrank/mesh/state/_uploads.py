"""Limits how many bytes of large entries a node sends at the same time."""

from collections.abc import Hashable
from dataclasses import dataclass
from dataclasses import field
import math
import typing

MAX_QUEUE_S = 0.2
"""Time for which uploads may occupy the host's link.

Calls and load reports wait behind them.
"""
UPLOAD_TIMEOUT_S = 1.0
"""Time after which an upload that was not confirmed counts as lost."""
FIRST_UPLOADERS = 3
"""Hosts that have a large entry at first: the watchers, which read it."""
BYTES_PER_MBIT = 125_000


@dataclass(slots=True)
class _Upload:
    size_bytes: int
    started_at_s: float


@dataclass(slots=True)
class UploadLimiter:
    """Decides whether a large entry can be sent to one more receiver.

    One upload is always allowed, however large. A receiver has at most one.
    """

    max_bytes: float
    """Bytes that the link carries in the longest time for uploads."""
    _upload_by_receiver: dict[Hashable, _Upload] = field(default_factory=dict)

    @classmethod
    def from_link_rate(cls, mbit_per_s: float) -> typing.Self:
        """Return a limiter for a host whose link has this rate."""
        return cls(MAX_QUEUE_S * mbit_per_s * BYTES_PER_MBIT)

    def start(self, receiver: Hashable, size_bytes: int, now_s: float) -> bool:
        """Record an upload of a compressed size, unless it has to wait."""
        self._remove_lost(now_s)
        if receiver in self._upload_by_receiver:
            return False
        sending = sum(
            upload.size_bytes for upload in self._upload_by_receiver.values()
        )
        if self._upload_by_receiver and sending + size_bytes > self.max_bytes:
            return False
        self._upload_by_receiver[receiver] = _Upload(size_bytes, now_s)
        return True

    def spread_s(self, size_bytes: int, hosts: int) -> float:
        """Return the time in which uploads of a size spread over a fleet.

        The number of hosts that have it doubles with each upload, on links
        like that of this host.
        """
        upload_s = size_bytes * MAX_QUEUE_S / self.max_bytes
        return upload_s * math.log2(max(1, hosts / FIRST_UPLOADERS))

    def finish(self, receiver: Hashable) -> None:
        """Remove an upload that was received, or whose link has ended."""
        self._upload_by_receiver.pop(receiver, None)

    def _remove_lost(self, now_s: float) -> None:
        for receiver, upload in list(self._upload_by_receiver.items()):
            if now_s - upload.started_at_s > UPLOAD_TIMEOUT_S:
                del self._upload_by_receiver[receiver]
