"""Task that keeps the node's view of the fleet and shares it with peers."""

from collections.abc import Callable
from collections.abc import Sequence
from dataclasses import dataclass
import random
import typing

from jasminecrank.mesh import state
from jasminecrank.mesh.coordination import _exchange
from jasminecrank.mesh.coordination import _load_reports
from jasminecrank.mesh.coordination import _mailbox
from jasminecrank.mesh.coordination import _messages
from jasminecrank.mesh.coordination import _peer_messages
from jasminecrank.mesh.coordination import _peers
from jasminecrank.mesh.coordination import _source

FLEET_TICK_S = 0.05
"""Period of checks for a changed load; below the shortest run times."""
TICKS_PER_CHECK = 2
"""Number of ticks between checks for silent peers and for the watch duty."""
PUBLISH_INTERVAL_S = 0.15
"""Shortest time between two publications of changed servers.

Each takes time in proportion to the fleet at every node.
"""
TICKS_PER_CONFIRMATION = 8
"""Ticks between two messages on when the source last confirmed the entries.

What depends on it is counted in seconds.
"""
SUSPENDED_AFTER_S = 1.0
"""Time without a tick that shows that the node was suspended."""
LATE_TICK_AFTER_S = 0.25
"""Delay of a tick that is logged: the node applies entries as late."""

CONFIRMATION_RETRY_S = 2.0
"""Time between two listings that confirm retained entries."""

START_PAUSE_S = 0.6
"""Mean time after which a node without a table reads the source again.

A node that has one by then links to others, which get it from there.
"""

START_PAUSE_MAX_S = 2.4


@dataclass(slots=True, frozen=True)
class FleetPorts:
    """Outputs of the fleet task, and the source of its load."""

    to_entry: Callable[[_messages.EntryMessage], None]
    to_gate: Callable[[_messages.GateMessage], None]
    to_quota: Callable[[_messages.QuotaMessage], None]
    dial: Callable[[set[str]], None]
    """Keep open links to exactly these hosts."""
    watch: Callable[[bool, bool], None]
    """Start or stop watching the source; whether the node is a reader."""
    skip_to: Callable[[state.Position], None]
    """Read only changes of the source after this position."""
    list_again: Callable[[], None]
    """Read all entries of the source next."""
    load: Callable[[], state.ServerLoad]


class FleetTask(_mailbox.MailboxTask[_messages.FleetMessage]):
    """Owns the directory, the liveness of peers and the watch duty.

    A few nodes, the watchers, watch the source for the fleet. Another node
    takes over while no peer confirms the source, and until a peer of a higher
    rank does.
    """

    def __init__(
        self,
        own_host: str,
        own_data_centre: str,
        directory: state.Directory,
        uploads: state.UploadLimiter,
        ports: FleetPorts,
        clock: _mailbox.Clock,
        rng: random.Random,
        log: _mailbox.Log,
    ) -> None:
        super().__init__(log)
        self._own_host = own_host
        self._own_data_centre = own_data_centre
        self._directory = directory
        self._ports = ports
        self._clock = clock
        self._fleet = directory.snapshot()
        self._peers = _peers.Peers(self._report_peer, log)
        self._exchange = _exchange.EntryExchange(directory, uploads, rng)
        self._readers = state.SourceReaders(own_host)
        self._data_centre_by_host: dict[str, str] = {}
        self._contact = state.SourceContact(own_host)
        self._watching = True
        self._has_left_watch = False
        """Whether it has stopped watching since it started."""
        self._start_pause_s = START_PAUSE_S * (0.25 + 0.5 * rng.random())
        """Doubled with each listing, the first included."""
        self._reporter = _load_reports.LoadReporter(
            directory, self._contact, self._is_near
        )
        self._published_at_s = -1e9
        self._has_unpublished = False
        """Whether entries have changed that the other tasks don't know."""
        self._own_load: state.ServerLoad | None = None
        self._own_load_at_s = -1e9
        """When the entry task was last told of it."""
        self._ticked_at_s = clock.now_s()
        self._lateness = state.Lateness()
        self._ticks = 0
        self._start_check = state.StartCheck()
        self._table_origin = _source.SOURCE_ORIGIN
        self._confirmation_at_s = -1e9
        """When a listing was last requested for retained entries."""

    @property
    def ready(self) -> bool:
        """Return whether the node has a table and can route calls."""
        return self._fleet.table is not None and self._start_check.is_over

    @property
    def table_version(self) -> int:
        """Return the version of the active table, or 0 if there is none."""
        table = self._fleet.table
        return 0 if table is None else table.version

    def handle(self, message: _messages.FleetMessage) -> None:
        """Process one message."""
        now_s = self._clock.now_s()
        match message:
            case _messages.PeerMessageReceived():
                self._peer_message_received(message, now_s)
            case _messages.FleetTick():
                self._tick(now_s)
            case _messages.ListingRead(items, start):
                self._contact.confirmed_at_s = now_s
                self._apply_listing(items, start, now_s)
                self._listing_applied(now_s)
            case _messages.ChangesRead(items, position):
                self._contact.confirmed_at_s = now_s
                self._apply_source_items(
                    self._directory.apply_changes(items, position, now_s),
                    now_s,
                )
            case _messages.SourceReplied():
                self._contact.replied_at_s = now_s
            case _messages.SourceLost(reason):
                self.log.decision(
                    "source-lost",
                    reason=reason,
                    confirmed_age_ms=self._confirmed_age_ms(now_s),
                )
            case _messages.SourceRecovered():
                self._directory.end_outage(self._contact.confirmed_at_s, now_s)
                self.log.decision("source-returned")
            case _messages.LinkOpened():
                self._link_opened(message, now_s)
            case _messages.LinkEnded():
                self._link_ended(message)
            case _:
                typing.assert_never(message)

    def _apply_listing(
        self,
        items: Sequence[state.SourceItem],
        start: state.Position,
        now_s: float,
    ) -> None:
        """Apply all entries of the source, perhaps of a new era."""
        directory = self._directory
        before = directory.position
        digest = directory.digest
        known_keys = {
            key
            for key, item in directory.item_by_key.items()
            if item.value is not None
        }
        applied = directory.apply_listing(items, start, now_s)
        if state.UNKNOWN_ERA < before.era < directory.position.era:
            changed_keys = known_keys - {item.key for item in applied.renewed}
            self._log_restore(before, start, applied)
            self._exchange.push_era(
                _peer_messages.EraBegun(
                    start.era, digest, tuple(sorted(changed_keys))
                ),
                [
                    peer.send
                    for peer in self._peers.accepted
                    if self._reads_for(peer.host)
                ],
            )
        self._apply_source_items(applied, now_s)

    def _log_restore(
        self,
        before: state.Position,
        start: state.Position,
        applied: state.AppliedItems,
    ) -> None:
        retained = sum(item.position.is_retained for item in applied.changed)
        dropped = sum(item.value is None for item in applied.changed)
        self.log.decision(
            "source-restored",
            era=start.era,
            previous_era=before.era,
            revision=start.revision,
            previous_revision=before.revision,
            renewed=len(applied.renewed),
            retained=retained,
            dropped=dropped,
            replaced=len(applied.changed) - retained - dropped,
        )

    def _era_begun(
        self,
        message: _messages.PeerMessageReceived,
        begun: _peer_messages.EraBegun,
        now_s: float,
    ) -> None:
        """Follow a reader into a new era, and pass on that it has begun.

        Without the same entries, this node requests those of the peer once
        their digests differ.
        """
        before = self._directory.position
        is_renewed = self._directory.renew(
            begun.era, begun.digest, begun.changed_keys, now_s
        )
        self.log.decision(
            "era-received",
            era=begun.era,
            previous_era=before.era,
            previous_revision=before.revision,
            renewed=is_renewed,
            changed=len(begun.changed_keys),
            origin=message.host,
        )
        if is_renewed and self._readers.is_fellow(message.host):
            self._exchange.push_era(
                begun,
                [
                    peer.send
                    for peer in self._peers.accepted
                    if self._readers.relays_to(peer.host)
                ],
            )

    def _reads_for(self, host: str) -> bool:
        """Return whether this node pushes what it reads to a host."""
        return not self._exchange.in_large_fleet or (
            self._readers.pushes_read_to(host)
        )

    def _listing_applied(self, now_s: float) -> None:
        """Leave the watch to the watchers, or wait for a table.

        The pause grows, since all nodes of a fleet may wait for it.
        """
        self._update_watch_duty(now_s)
        if self._fleet.table is None:
            self._start_pause_s = min(
                START_PAUSE_MAX_S, 2 * self._start_pause_s
            )

    def confirmed_age_s(self, now_s: float) -> float:
        """Return the age of the source's last reply to this node or a peer."""
        newest_s = self._contact.confirmed_at_s
        for peer in self._peers.dialled:
            newest_s = max(newest_s, peer.contact.confirmed_at_s)
        return now_s - newest_s

    def _confirmed_age_ms(self, now_s: float) -> int:
        age_s = self.confirmed_age_s(now_s)
        return min(_peer_messages.MAX_AGE_MS, round(1000 * age_s))

    def _apply_source_items(
        self, applied: state.AppliedItems, now_s: float
    ) -> None:
        """Use entries read from the source, and pass them on to peers."""
        self._apply_fresh(applied, _source.SOURCE_ORIGIN, now_s)
        if not applied.changed:
            return
        pushed_to = []
        announced_to = []
        for peer in self._peers.accepted:
            if self._reads_for(peer.host):
                pushed_to.append(peer.send)
            else:
                announced_to.append(peer.send)
        self._exchange.push(applied.changed, pushed_to, announced_to)

    def _relay(self, fresh: list[state.SourceItem], host: str) -> None:
        """Push entries that another reader has read earlier than this one."""
        if not self._exchange.in_large_fleet or (
            not self._readers.is_fellow(host)
        ):
            return
        self._exchange.push(
            fresh,
            [
                peer.send
                for peer in self._peers.accepted
                if self._readers.relays_to(peer.host)
            ],
        )

    def _apply_peer_items(
        self, items: list[state.SourceItem], host: str, now_s: float
    ) -> list[state.SourceItem]:
        """Apply entries received from a peer and return the new ones."""
        applied = self._directory.apply_items(items, now_s)
        self._apply_fresh(applied, host, now_s)
        return applied.changed

    def _entries_received(
        self,
        message: _messages.PeerMessageReceived,
        entries: _peer_messages.ItemsSent | _peer_messages.ItemPatched,
        now_s: float,
    ) -> None:
        """Apply entries that a peer has sent, and pass on those to be shared.

        Uploaded ones are announced, those of a fellow reader are pushed.
        """
        is_upload = self._exchange.confirm_upload(entries, message.send)
        match entries:
            case _peer_messages.ItemsSent(items):
                received = [state.SourceItem(*item) for item in items]
            case _peer_messages.ItemPatched():
                received = self._exchange.handle_patched(
                    entries, message.send, now_s
                )
            case _:
                typing.assert_never(entries)
        fresh = self._apply_peer_items(received, message.host, now_s)
        if not fresh:
            return
        if not is_upload:
            self._relay(fresh, message.host)
        else:
            self._exchange.announce_upload(
                fresh,
                [peer.send for peer in self._peers.accepted],
            )

    def _apply_fresh(
        self, applied: state.AppliedItems, origin: str, now_s: float
    ) -> None:
        for rejected in self._directory.pop_rejected():
            self.log.count("entries", "rejected")
            self.log.decision(
                "entry-rejected",
                key=rejected.key,
                era=rejected.position.era,
                revision=rejected.position.revision,
                reason=rejected.reason,
                origin=origin,
            )
        self._exchange.mark_received(applied.renewed)
        if not applied.changed:
            return
        self._exchange.mark_received(applied.changed)
        for item in applied.changed:
            self.log.decision(
                "entry",
                key=item.key,
                era=item.position.era,
                revision=item.position.revision,
                retained=item.position.is_retained,
                removed=item.value is None,
                origin=origin,
            )
        before = self._fleet
        self._publish_soon(now_s)
        if self._fleet.table is not before.table:
            self._table_origin = origin
            if self._start_check.is_over:
                self._log_table(now_s)

    def _publish_soon(self, now_s: float) -> None:
        """Publish a table at once, other entries after a pause.

        After a power failure, the entries of all servers change one by one.
        """
        if (
            self._directory.table is not self._fleet.table
            or now_s - self._published_at_s >= PUBLISH_INTERVAL_S
        ):
            self._publish()
            self._published_at_s = now_s
        else:
            self._has_unpublished = True

    def _log_table(self, now_s: float) -> None:
        self.log.decision(
            "table-in-force",
            version=self.table_version,
            era=self._directory.position.era,
            revision=self._directory.position.revision,
            origin=self._table_origin,
            confirmed_age_ms=self._confirmed_age_ms(now_s),
        )

    def _set_running(self, host: str, server_id: str) -> None:
        if self._directory.set_running(host, server_id):
            self._publish()

    def _publish(self) -> None:
        self._has_unpublished = False
        displaced_ids = self._fleet.displaced_by_id.keys()
        self._fleet = self._directory.snapshot()
        for server_id, server in self._fleet.displaced_by_id.items():
            if server_id not in displaced_ids:
                self.log.decision(
                    "entry-displaced",
                    server=server_id,
                    server_host=server.host,
                    service=server.service,
                    running=self._directory.running_id_by_host.get(
                        server.host
                    ),
                )
        changed = _messages.FleetChanged(self._fleet)
        if self._start_check.is_over:
            self._ports.to_entry(changed)
        self._ports.to_gate(changed)
        self._ports.to_quota(changed)
        self._readers = state.SourceReaders.from_fleet(
            self._own_host, self._fleet
        )
        self._data_centre_by_host = {
            server.host: server.data_centre
            for server in self._fleet.server_by_id.values()
        }
        self._ports.dial(
            state.link_targets(
                self._fleet, self._own_host, self._own_data_centre
            )
        )

    def _peer_message_received(
        self, message: _messages.PeerMessageReceived, now_s: float
    ) -> None:
        peer = self._peers.mark_received(message.link, now_s)
        match message.message:
            case _peer_messages.LoadChanged():
                self._load_changed(peer, message.message, now_s)
            case _peer_messages.LoadReported():
                self._load_reported(peer, message.message, now_s)
            case _peer_messages.ItemsSent() | _peer_messages.ItemPatched():
                self._entries_received(message, message.message, now_s)
            case _peer_messages.ItemsAnnounced():
                self._apply_peer_items(
                    self._exchange.handle_announced(
                        message.message, message.send, self._watching, now_s
                    ),
                    message.host,
                    now_s,
                )
            case _peer_messages.ItemsRequested():
                self._exchange.send_requested(
                    message.message, message.send, now_s
                )
            case _peer_messages.ListingRequested():
                self._exchange.send_listing(message.send)
            case _peer_messages.EraBegun():
                self._era_begun(message, message.message, now_s)
            case _peer_messages.UploadConfirmed():
                self._exchange.handle_confirmed(message.send)
            case _peer_messages.LatenessReported(recent_ms):
                self._ports.to_entry(
                    _messages.PeerLate(message.host, recent_ms / 1000)
                )
            case _peer_messages.UploadDeferred():
                self._exchange.handle_deferred(
                    message.message, message.send, now_s
                )
            case _:
                typing.assert_never(message.message)

    def _load_reported(
        self,
        peer: _peers.Peer | None,
        report: _peer_messages.LoadReported,
        now_s: float,
    ) -> None:
        if peer is None:
            return
        peer.contact.confirmed_at_s = now_s - report.confirmed_age_ms / 1000
        peer.contact.replied_at_s = now_s - report.replied_age_ms / 1000
        peer.reported = report
        self._exchange.peer_reported(peer.send, report)
        self._compare_entries(report, now_s)
        peer.server_id = report.server_id or peer.server_id
        self._set_running(peer.host, peer.server_id)
        load = report.load(peer.server_id)
        self._ports.to_entry(_messages.LoadUpdated(peer.host, load))

    def _load_changed(
        self,
        peer: _peers.Peer | None,
        changed: _peer_messages.LoadChanged,
        now_s: float,
    ) -> None:
        if peer is None or peer.reported is None:
            return
        peer.contact.confirmed_at_s = now_s - changed.confirmed_age_ms / 1000
        peer.contact.replied_at_s = now_s - changed.replied_age_ms / 1000
        # This node's entries may have changed since the whole report.
        self._compare_entries(peer.reported, now_s)
        self._set_running(peer.host, peer.server_id)
        load = changed.load(peer.server_id, peer.reported)
        self._ports.to_entry(_messages.LoadUpdated(peer.host, load))

    def _compare_entries(
        self, report: _peer_messages.LoadReported, now_s: float
    ) -> None:
        self._directory.adopt_era(report.position.era, now_s)
        if self._directory.compare_with_peer(
            report.digest, report.complete_position, report.revision_digest
        ):
            self._ports.skip_to(self._directory.complete_position)

    def _link_opened(
        self, message: _messages.LinkOpened, now_s: float
    ) -> None:
        peer = self._peers.open(message, now_s)
        if not message.dialled:
            self._reporter.send(self._ports.load(), [peer], now_s)
            self._reporter.send_lateness([peer])
            if self._fleet.table is None:
                # Without entries this node opens no links of its own, so it
                # requests a listing on a link that a peer has opened.
                peer.send(_peer_messages.ListingRequested())
        self.log.decision(
            "link-up", peer=message.host, dialled=message.dialled
        )

    def _link_ended(self, message: _messages.LinkEnded) -> None:
        requester = self._peers.remove_accepted(message.link)
        if requester is not None:
            self._exchange.remove_peer(requester.send)
            self._ports.to_quota(
                _messages.RequesterDisconnected(requester.host)
            )
        peer = self._peers.remove_dialled(message.link)
        if peer is None:
            return
        self._exchange.remove_peer(peer.send)
        remaining = self._peers.dialled_to(peer.host)
        self._set_running(
            peer.host, "" if remaining is None else remaining.server_id
        )
        self._peers.report_down(peer, remaining)

    def _report_peer(self, event: _peers.PeerEvent) -> None:
        self._ports.to_entry(event)
        self._ports.to_quota(event)

    def _tick(self, now_s: float) -> None:
        since_tick_s = now_s - self._ticked_at_s
        self._ticked_at_s = now_s
        delay_s = max(0.0, since_tick_s - FLEET_TICK_S)
        self.log.observe("tick_delay", delay_s)
        self._lateness.record(delay_s, now_s)
        if delay_s > LATE_TICK_AFTER_S:
            self.log.decision("late-tick", delay_ms=round(1000 * delay_s))
        if since_tick_s > SUSPENDED_AFTER_S:
            self.log.decision("woke-up")
            self._peers.restart_silence(now_s)
        elif delay_s > LATE_TICK_AFTER_S:
            self._peers.excuse_silence(delay_s)
        if self._directory.remove_expired(now_s) or (
            self._has_unpublished
            and now_s - self._published_at_s >= PUBLISH_INTERVAL_S
        ):
            self._publish()
            self._published_at_s = now_s
        self._exchange.request_pending(now_s)
        self._check_start(now_s)
        self._ticks += 1
        if self._ticks % TICKS_PER_CHECK == 0:
            self._exchange.check_gaps(now_s, self._start_check.is_over)
            self._peers.check_silence(now_s)
            if self._ticks % TICKS_PER_CONFIRMATION == 0:
                confirmed = _messages.SourceConfirmed(
                    now_s - self.confirmed_age_s(now_s)
                )
                self._ports.to_entry(confirmed)
                self._ports.to_quota(confirmed)
            self._update_watch_duty(now_s)
            self._confirm_retained(now_s)
        load = self._ports.load()
        self._set_running(self._own_host, load.server_id)
        if load != self._own_load or (
            now_s - self._own_load_at_s >= _load_reports.IDLE_REPORT_S
        ):
            self._own_load = load
            self._own_load_at_s = now_s
            self._ports.to_entry(_messages.LoadUpdated(self._own_host, load))
        self._reporter.report_changes(load, self._peers.accepted, now_s)
        self._reporter.report_lateness(
            self._lateness.recent_s, self._peers.accepted
        )

    def _confirm_retained(self, now_s: float) -> None:
        """Read the source again if retained entries were not written again."""
        if (
            self._watching
            and now_s - self._confirmation_at_s >= CONFIRMATION_RETRY_S
            and self._directory.needs_confirmation(now_s)
        ):
            self._confirmation_at_s = now_s
            self._ports.list_again()

    def _check_start(self, now_s: float) -> None:
        """Use the first table once no peer may know a newer one."""
        table_key = self._directory.table_key
        is_confirmed = table_key is not None and (
            self._exchange.has_confirmed(table_key)
        )
        if self._start_check.update(
            table_key is not None, is_confirmed, now_s
        ):
            self.log.decision(
                "start-checked",
                version=self.table_version,
                is_confirmed=is_confirmed,
            )
            self._log_table(now_s)
            self._ports.to_entry(_messages.FleetChanged(self._fleet))

    def _is_near(self, host: str) -> bool:
        """Return whether a host prefers this one for its calls."""
        if not self._exchange.in_large_fleet:
            return True
        data_centre = self._data_centre_by_host.get(host)
        return data_centre == self._own_data_centre

    def _update_watch_duty(self, now_s: float) -> None:
        watch = self._should_watch(now_s)
        if watch != self._watching:
            self._watching = watch
            self._has_left_watch |= not watch
            self.log.decision(
                "watch-duty",
                watching=watch,
                is_watcher=self._readers.is_watcher,
                is_overdue=self._exchange.is_overdue(now_s),
                confirmed_age_ms=self._confirmed_age_ms(now_s),
            )
            self._ports.watch(watch, self._readers.is_reader)

    def _should_watch(self, now_s: float) -> bool:
        if self._fleet.table is None:
            confirmed_s = self._contact.confirmed_at_s
            return now_s - confirmed_s > self._start_pause_s
        if self._readers.is_watcher:
            return True
        if self._exchange.is_overdue(now_s):
            return True
        contacts = [peer.contact for peer in self._peers.dialled]
        if self._watching and self._has_left_watch:
            return state.keeps_watching(contacts, self._own_host, now_s)
        # What this node has read itself counts too: a node that has just
        # started has no links yet, and leaves the watch to the watchers.
        return state.takes_over(
            [*contacts, self._contact], self._readers.is_standby, now_s
        )
