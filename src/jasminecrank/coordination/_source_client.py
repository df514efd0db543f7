"""Scheduling of a node's calls to the configuration service."""

from collections.abc import Collection
from dataclasses import dataclass
from dataclasses import field
import random
import typing

from jasminecrank import const
from jasminecrank import state
from jasminecrank.coordination import _messages

SourceMessage = (
    _messages.WatchCompleted
    | _messages.DocumentRead
    | _messages.DocumentUnreadable
    | _messages.SourceFailed
)
SourceCall = _messages.ReadSource | _messages.WatchSource
Events = tuple[_messages.RecordEvent, ...]
_PEERS_FIRST_DELAY_S = 1.0
_VERSION_NUMBER_MAX = 2**53 - 1


@dataclass(slots=True)
class SourceClient:
    """Choose the next call to the source; ConfigActor sends it.

    Watchers watch the source and read the documents that have changed. A
    node without a host list reads it first, to learn the addresses of its
    peers. A node without links uses short watches, within its share of the
    call budget.
    """

    rng: random.Random
    schedule: state.SourceSchedule
    watcher_role: state.WatcherRole
    topology: state.Topology
    isolated_since_s: float
    pending_reads: list[state.DocumentName] = field(default_factory=list)
    rejected_versions: dict[state.DocumentName, state.Version] = field(
        default_factory=dict
    )
    reported_events: set[tuple[str, str, str]] = field(default_factory=set)
    call_in_progress: bool = False
    query_id: int = 0
    error: str = ""
    caught_up: bool = False
    """Whether the last answer reported nothing newer than is in force."""

    @classmethod
    def from_start(
        cls,
        host: str,
        data_centre: str,
        now_s: float,
        rng: random.Random,
        asks_peers_first: bool = False,
        fleet_hosts: int = const.FLEET_HOSTS_MAX,
    ) -> "SourceClient":
        """Return the client of a node that has just started."""
        delay_s = _PEERS_FIRST_DELAY_S if asks_peers_first else 0.0
        return cls(
            rng,
            state.SourceSchedule.from_start(now_s, rng, fleet_hosts, delay_s),
            state.WatcherRole(host, data_centre),
            state.Topology.from_snapshot(state.Snapshot.empty()),
            now_s,
        )

    @property
    def watching(self) -> bool:
        """Return whether this node watches the source."""
        return self.watcher_role.watching

    def update_topology(self, snapshot: state.Snapshot) -> None:
        """Rebuild the topology from a new host list."""
        self.topology = state.Topology.from_snapshot(snapshot)

    def next_call(
        self,
        versions: state.VersionVector,
        linked_hosts: Collection[str],
        query_id: int,
        now_s: float,
    ) -> SourceCall | None:
        """Return the call to make now, None if there is none.

        Also updates the watcher role and the call rate of this node.
        """
        if versions.hosts.number > 0:
            self.watcher_role.update(self.topology, linked_hosts, now_s)
            self.schedule.update_rate(self.topology, self.watching)
        if linked_hosts:
            self.isolated_since_s = now_s
        if self.call_in_progress or not self.schedule.may_call(now_s):
            return None
        call = self._choose_call(versions, now_s)
        if call is not None:
            self.call_in_progress = True
            self.query_id = query_id
            self.schedule.record_call(now_s)
        return call

    def _choose_call(
        self, versions: state.VersionVector, now_s: float
    ) -> SourceCall | None:
        isolated_s = now_s - self.isolated_since_s
        isolated = isolated_s >= const.ISOLATED_AFTER_S
        if versions.hosts.number == 0:
            if self.schedule.failures == 0 and not self.pending_reads:
                return _messages.ReadSource(state.DocumentName.HOSTS)
        elif not self.watching and not isolated:
            self.pending_reads.clear()
            return None
        if self.pending_reads:
            return _messages.ReadSource(self.pending_reads.pop(0))
        wait_s = const.SOURCE_WATCH_S
        if isolated:
            wait_s = const.SOURCE_WATCH_ISOLATED_S
        return _messages.WatchSource(self._versions_to_watch(versions), wait_s)

    def _versions_to_watch(
        self, versions: state.VersionVector
    ) -> state.VersionVector:
        """Return the versions that a watch waits to be exceeded.

        Rejected versions count as known, so that a watch does not report
        them again. Without a host list, the watch covers the host list only:
        it gives the addresses of peers, which have the other documents.
        """
        if versions.hosts.number == 0:
            highest_version = state.Version(_VERSION_NUMBER_MAX, "")
            return state.VersionVector(
                table=highest_version,
                keys=highest_version,
                outages=highest_version,
            )
        for name, version in self.rejected_versions.items():
            if version.number > versions.get(name).number:
                versions = versions.replace(name, version)
        return versions

    def handle_answer(
        self,
        message: _messages.WatchCompleted
        | _messages.DocumentUnreadable
        | _messages.SourceFailed,
        now_s: float,
    ) -> Events:
        """Process an answer without a document and return its events."""
        self.call_in_progress = False
        self.caught_up = False
        match message:
            case _messages.WatchCompleted():
                self.pending_reads = [
                    name for name in state.SEND_ORDER if name in message.names
                ]
                if not message.names:
                    self._record_success()
                    self.caught_up = not self.rejected_versions
                    # Read rejected versions again after each watch, in case
                    # only one replica of the source served invalid content.
                    self.rejected_versions.clear()
                return ()
            case _messages.DocumentUnreadable():
                self._back_off(f"document {message.name.value}", now_s)
                return self._report_once(
                    "version-invalid",
                    {
                        "document": message.name.value,
                        "origin": "source",
                        "reason": message.reason,
                    },
                )
            case _messages.SourceFailed():
                is_first_failure = not self.error
                self._back_off(message.reason, now_s)
                if not is_first_failure:
                    return ()
                fields = {"reason": message.reason}
                return (_messages.RecordEvent("source-failed", fields),)
            case _:
                typing.assert_never(message)

    def handle_document(
        self,
        document: state.Document,
        result: state.OfferResult | None,
        now_s: float,
    ) -> Events:
        """Process the result of offering a document and return its events."""
        self.call_in_progress = False
        self.caught_up = False
        fields = {
            "document": document.name.value,
            "version": str(document.version),
            "origin": "source",
        }
        match result:
            case state.Accepted():
                self.rejected_versions.pop(document.name, None)
                self._record_success()
                self.caught_up = (
                    not self.pending_reads and not self.rejected_versions
                )
                return ()
            case state.Invalid():
                self._record_success()
                self.rejected_versions[document.name] = document.version
                fields["reason"] = result.reason
                return self._report_once("version-invalid", fields)
            case state.Stale() if document.version == result.current:
                # Delay the next call: if a watch reports a newer version
                # than a read returns, both would repeat without a pause.
                self.schedule.record_failure(now_s, self.rng)
                return ()
            case state.Stale():
                self._back_off("source serves older versions", now_s)
                fields["in_force"] = str(result.current)
                return self._report_once("source-stale", fields)
            case state.Conflict() | None:
                self._back_off("source serves another digest", now_s)
                return ()
            case _:
                typing.assert_never(result)

    def _record_success(self) -> None:
        self.schedule.record_success()
        self.error = ""

    def _back_off(self, reason: str, now_s: float) -> None:
        self.schedule.record_failure(now_s, self.rng)
        self.error = reason

    def _report_once(self, name: str, fields: dict[str, str]) -> Events:
        """Return an event unless the same one was reported before."""
        key = (name, fields["document"], str(sorted(fields.items())))
        if key in self.reported_events:
            return ()
        self.reported_events.add(key)
        return (_messages.RecordEvent(name, fields),)
