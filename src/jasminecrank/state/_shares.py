"""Quota shares that hosts own while their host list versions differ."""

from collections.abc import Mapping
from dataclasses import dataclass
from dataclasses import field

from jasminecrank import const
from jasminecrank.state import _versions


@dataclass(slots=True, frozen=True)
class ShareAllocation:
    """The smallest shares over consecutive versions of the host list.

    A host owns one part in `host_count` if its slot is listed, else
    nothing. The remainder of the division goes to the lowest slot as long
    as all versions agree on it, so that a single borrower can hold the
    whole quota.
    """

    host_count: int
    host_by_slot: Mapping[int, str]
    remainder_slot: int | None

    @classmethod
    def from_hosts(cls, host_by_slot: Mapping[int, str]) -> "ShareAllocation":
        """Return the shares of one host list version."""
        remainder_slot = min(host_by_slot, default=None)
        return cls(len(host_by_slot), dict(host_by_slot), remainder_slot)

    def merge(self, host_by_slot: Mapping[int, str]) -> "ShareAllocation":
        """Return the smallest shares including one more version.

        A slot moves to another host only if its previous host is no longer
        listed: the platform may report a removal late, but never early.
        """
        listed = set(host_by_slot.values())
        kept = {
            slot: host
            for slot, host in host_by_slot.items()
            if slot in self.host_by_slot
            and (
                self.host_by_slot[slot] == host
                or self.host_by_slot[slot] not in listed
            )
        }
        same_remainder = len(host_by_slot) == self.host_count
        same_remainder = (
            same_remainder
            and min(host_by_slot, default=None) == self.remainder_slot
        )
        return ShareAllocation(
            max(self.host_count, len(host_by_slot)),
            kept,
            self.remainder_slot if same_remainder else None,
        )

    def share_ppb(self, slot: int | None) -> int:
        """Return the share of a slot, or 0 if it is not listed."""
        if slot is None or slot not in self.host_by_slot:
            return 0
        remainder = const.FULL_SHARE_PPB % self.host_count
        part = const.FULL_SHARE_PPB // self.host_count
        return part + remainder if slot == self.remainder_slot else part


@dataclass(slots=True, frozen=True)
class ShareReport:
    """Host list version of a node and the slots that confirmed it.

    `acked_slots` are the slots known to have this version active.
    `effective` holds the shares in use; it is None in a process that does
    not know its share yet.
    """

    service: str
    version: _versions.Version
    acked_slots: frozenset[int]
    effective: ShareAllocation | None


_NO_HOSTS = ShareAllocation.from_hosts({})


@dataclass(slots=True)
class ShareTracker:
    """Lowers the own share at once and raises it only after confirmation.

    A share is confirmed once every slot of the host list has reported the
    version active here and a loan return time has passed since then, so
    that no loan of the previous shares remains. A process that has just
    started owns nothing until its share is confirmed or a peer reports the
    shares in use.
    """

    host: str
    service: str = ""
    version: _versions.Version = _versions.NO_VERSION
    slot: int | None = None
    latest: ShareAllocation = _NO_HOSTS
    observed: ShareAllocation | None = None
    effective: ShareAllocation | None = None
    acked_slots: frozenset[int] = frozenset()
    all_acked_at_s: float | None = None
    host_by_slot: Mapping[int, str] = field(default_factory=dict)

    def apply(
        self, version: _versions.Version, host_by_slot: Mapping[int, str]
    ) -> None:
        """Apply a newer version of the host list; ignore an older one."""
        if version.number <= self.version.number:
            return
        self.version = version
        self.host_by_slot = dict(host_by_slot)
        self.slot = next(
            (slot for slot, host in host_by_slot.items() if host == self.host),
            None,
        )
        self.latest = ShareAllocation.from_hosts(host_by_slot)
        self.observed = (
            self.latest
            if self.observed is None
            else self.observed.merge(self.host_by_slot)
        )
        if self.effective is not None:
            self.effective = self.effective.merge(self.host_by_slot)
        self.acked_slots = frozenset(() if self.slot is None else (self.slot,))
        self.all_acked_at_s = None

    def share_ppb(self) -> int:
        """Return the own share, the same for every quota of the service."""
        return (
            0
            if self.effective is None
            else self.effective.share_ppb(self.slot)
        )

    def is_pending(self) -> bool:
        """Return whether the latest shares are still unconfirmed."""
        return self.slot is not None and self.effective != self.latest

    def advance(self, now_s: float) -> bool:
        """Put confirmed shares in use; return whether there were any."""
        if not self.is_pending() or not self.acked_slots >= set(
            self.host_by_slot
        ):
            return False
        if self.all_acked_at_s is None:
            self.all_acked_at_s = now_s
        if now_s - self.all_acked_at_s < const.LOAN_RETURN_S:
            return False
        self.effective = self.latest
        self.observed = self.latest
        return True

    def report(self) -> ShareReport:
        """Return the report to send to peers."""
        return ShareReport(
            self.service, self.version, self.acked_slots, self.effective
        )

    def receive(self, report: ShareReport) -> bool:
        """Apply a peer's report; return whether the peer needs ours."""
        if report.service != self.service or self.slot is None:
            return False
        peer_is_behind = (
            report.effective is None and self.effective is not None
        )
        if (
            self.effective is None
            and self.observed is not None
            and report.effective
        ):
            self.effective = _combine(
                report.effective, self.observed, self.host_by_slot
            )
        if report.version == self.version:
            self.acked_slots |= report.acked_slots
            peer_is_behind = (
                peer_is_behind or not report.acked_slots >= self.acked_slots
            )
        return peer_is_behind


def _combine(
    reported: ShareAllocation,
    observed: ShareAllocation,
    host_by_slot: Mapping[int, str],
) -> ShareAllocation:
    merged = reported.merge(host_by_slot)
    same_remainder = merged.host_count == observed.host_count
    same_remainder = (
        same_remainder and merged.remainder_slot == observed.remainder_slot
    )
    return ShareAllocation(
        max(merged.host_count, observed.host_count),
        {
            slot: host
            for slot, host in merged.host_by_slot.items()
            if slot in observed.host_by_slot
        },
        merged.remainder_slot if same_remainder else None,
    )
