"""Which part of every quota a host owns while host lists differ."""

from collections.abc import Mapping
from dataclasses import dataclass
from dataclasses import field

from jasminecrank import const
from jasminecrank.state import _versions


@dataclass(slots=True, frozen=True)
class ShareBase:
    """The smallest shares over a run of versions of the host list.

    A host owns one part in `holders` if its slot is listed, else nothing.
    What the division leaves over goes to the lowest slot, while all
    versions agree on it, so that a lone borrower can hold the whole.
    """

    holders: int
    host_by_slot: Mapping[int, str]
    rest_slot: int | None

    @classmethod
    def from_hosts(cls, host_by_slot: Mapping[int, str]) -> "ShareBase":
        """Return the shares of one version."""
        rest_slot = min(host_by_slot, default=None)
        return cls(len(host_by_slot), dict(host_by_slot), rest_slot)

    def fold(self, host_by_slot: Mapping[int, str]) -> "ShareBase":
        """Return the smallest shares when one more version is possible.

        A slot passes to another host only if the former one has left the
        list, because the platform reports a removal late, never early.
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
        same = len(host_by_slot) == self.holders
        same = same and min(host_by_slot, default=None) == self.rest_slot
        return ShareBase(
            max(self.holders, len(host_by_slot)),
            kept,
            self.rest_slot if same else None,
        )

    def share_ppb(self, slot: int | None) -> int:
        """Return the share of the host on a slot."""
        if slot is None or slot not in self.host_by_slot:
            return 0
        rest = const.SHARE_WHOLE % self.holders
        part = const.SHARE_WHOLE // self.holders
        return part + rest if slot == self.rest_slot else part


@dataclass(slots=True, frozen=True)
class ShareReport:
    """What a node knows about the hosts version and who holds it.

    `acked` are the slots known to have this version in force. `base` is
    None in a process that does not know its share yet.
    """

    service: str
    version: _versions.Version
    acked: frozenset[int]
    base: ShareBase | None


_NO_HOSTS = ShareBase.from_hosts({})


@dataclass(slots=True)
class ShareTracker:
    """Lowers the own share at once and raises it only when proved.

    Proved means that every slot of the host list has shown the version in
    force here, and that a loan time has passed since, so that no loan is
    left from the shares before. A process that has just started owns
    nothing until it is proved or a peer tells it the shares in use.
    """

    host: str
    service: str = ""
    version: _versions.Version = _versions.NO_VERSION
    slot: int | None = None
    current: ShareBase = _NO_HOSTS
    seen: ShareBase | None = None
    base: ShareBase | None = None
    acked: frozenset[int] = frozenset()
    proved_at_s: float | None = None
    host_by_slot: Mapping[int, str] = field(default_factory=dict)

    def apply(
        self, version: _versions.Version, host_by_slot: Mapping[int, str]
    ) -> None:
        """Take a newer version of the host list into account."""
        if version.number <= self.version.number:
            return
        self.version = version
        self.host_by_slot = dict(host_by_slot)
        self.slot = next(
            (slot for slot, host in host_by_slot.items() if host == self.host),
            None,
        )
        self.current = ShareBase.from_hosts(host_by_slot)
        self.seen = (
            self.current
            if self.seen is None
            else self.seen.fold(self.host_by_slot)
        )
        if self.base is not None:
            self.base = self.base.fold(self.host_by_slot)
        self.acked = frozenset(() if self.slot is None else (self.slot,))
        self.proved_at_s = None

    def share_ppb(self) -> int:
        """Return the own share of every quota of the service."""
        return 0 if self.base is None else self.base.share_ppb(self.slot)

    def is_pending(self) -> bool:
        """Return whether the shares of the version in force are unproved."""
        return self.slot is not None and self.base != self.current

    def advance(self, now_s: float) -> bool:
        """Return whether the own share has been proved just now."""
        if not self.is_pending() or not self.acked >= set(self.host_by_slot):
            return False
        if self.proved_at_s is None:
            self.proved_at_s = now_s
        if now_s - self.proved_at_s < const.LOAN_RETURN_S:
            return False
        self.base = self.current
        self.seen = self.current
        return True

    def report(self) -> ShareReport:
        """Return what peers have to know."""
        return ShareReport(self.service, self.version, self.acked, self.base)

    def receive(self, report: ShareReport) -> bool:
        """Learn from a peer's report; return whether it lacks something."""
        if report.service != self.service or self.slot is None:
            return False
        lacks = report.base is None and self.base is not None
        if self.base is None and self.seen is not None and report.base:
            self.base = _combine(report.base, self.seen, self.host_by_slot)
        if report.version == self.version:
            self.acked |= report.acked
            lacks = lacks or not report.acked >= self.acked
        return lacks


def _combine(
    told: ShareBase, seen: ShareBase, host_by_slot: Mapping[int, str]
) -> ShareBase:
    folded = told.fold(host_by_slot)
    same = folded.holders == seen.holders
    same = same and folded.rest_slot == seen.rest_slot
    return ShareBase(
        max(folded.holders, seen.holders),
        {
            slot: host
            for slot, host in folded.host_by_slot.items()
            if slot in seen.host_by_slot
        },
        folded.rest_slot if same else None,
    )
