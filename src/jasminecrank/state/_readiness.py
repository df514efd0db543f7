"""Decides when a node accepts calls after a start or a process pause."""

import dataclasses
from dataclasses import dataclass
import typing

from jasminecrank import const
from jasminecrank.state import _versions


@dataclass(slots=True, frozen=True)
class Unconfirmed:
    """The active versions may be outdated; calls are not accepted.

    Only replies to the current query count because messages from before a
    pause may still be in a socket buffer.
    """

    reason: str
    query_id: int
    settle_s: float
    highest_reported: _versions.VersionVector = _versions.VersionVector()
    first_reply_at_s: float | None = None


@dataclass(slots=True, frozen=True)
class Confirmed:
    """The active versions were confirmed since the last start or pause."""

    query_id: int
    reason: str


Phase = Unconfirmed | Confirmed


@dataclass(slots=True, frozen=True)
class Readiness:
    """Whether a node accepts calls, as of its last tick, and why."""

    ready: bool
    reason: str
    ticked_at_s: float


def is_current(ticked_at_s: float, now_s: float) -> bool:
    """Return whether the process has not been paused since a tick."""
    return now_s - ticked_at_s <= const.PAUSE_LIMIT_S


@dataclass(slots=True)
class ReadinessState:
    """Tracks whether the active versions of a node are confirmed."""

    phase: Phase
    ticked_at_s: float

    @classmethod
    def from_start(cls, now_s: float) -> "ReadinessState":
        """Return the state of a node that has just started."""
        return cls(Unconfirmed("starting", 0, const.START_SETTLE_S), now_s)

    @property
    def query_id(self) -> int:
        """Return the id of the current query to peers and source."""
        return self.phase.query_id

    def detect_pause(self, now_s: float) -> bool:
        """Return whether the process was paused; if so, start a new query."""
        if is_current(self.ticked_at_s, now_s):
            return False
        self.phase = Unconfirmed("paused", self.query_id + 1, 0.0)
        self.ticked_at_s = now_s
        return True

    def tick(self, now_s: float) -> None:
        """Record that the process is running."""
        self.ticked_at_s = max(self.ticked_at_s, now_s)

    def record_reply(
        self, query_id: int, versions: _versions.VersionVector, now_s: float
    ) -> None:
        """Record the versions in a reply of a peer or the source.

        Replies to earlier queries and replies after the confirmation are
        ignored.
        """
        match self.phase:
            case Unconfirmed() as phase if query_id == phase.query_id:
                first_reply_at_s = phase.first_reply_at_s
                self.phase = dataclasses.replace(
                    phase,
                    highest_reported=phase.highest_reported.merge(versions),
                    first_reply_at_s=now_s
                    if first_reply_at_s is None
                    else first_reply_at_s,
                )
            case Unconfirmed() | Confirmed():
                return
            case _:
                typing.assert_never(self.phase)

    def decide(
        self, own_versions: _versions.VersionVector, now_s: float
    ) -> Readiness:
        """Return whether the node accepts calls with its active versions."""
        match self.phase:
            case Unconfirmed():
                reason = _pending_reason(self.phase, own_versions, now_s)
                if reason is not None:
                    return Readiness(False, reason, self.ticked_at_s)
                reason = "confirmed"
                if not own_versions.covers(self.phase.highest_reported):
                    reason = (
                        "confirmation timed out; newer versions not received"
                    )
                self.phase = Confirmed(self.phase.query_id, reason)
                return Readiness(True, reason, self.ticked_at_s)
            case Confirmed():
                return Readiness(True, self.phase.reason, self.ticked_at_s)
            case _:
                typing.assert_never(self.phase)


def _pending_reason(
    phase: Unconfirmed, own_versions: _versions.VersionVector, now_s: float
) -> str | None:
    """Return what the node is still waiting for, or None if it is ready."""
    if phase.first_reply_at_s is None:
        return f"{phase.reason}: no reply from peers or source"
    if own_versions.table.number == 0 or own_versions.hosts.number == 0:
        return f"{phase.reason}: table or host list not received"
    waited_s = now_s - phase.first_reply_at_s
    if waited_s >= const.START_WAIT_MAX_S:
        return None
    if not own_versions.covers(phase.highest_reported):
        return f"{phase.reason}: newer versions not received yet"
    if waited_s < phase.settle_s:
        return f"{phase.reason}: waiting for more replies"
    return None
