"""Reports of the local backend server's load to other nodes."""

from collections.abc import Callable
from collections.abc import Collection
from collections.abc import Iterable
from dataclasses import dataclass
import typing

from jasminecrank.mesh import state
from jasminecrank.mesh.coordination import _peer_messages

IDLE_REPORT_S = 0.45
"""Period of load reports that are sent even without a change."""
CHANGE_REPORT_S = 0.1
"""Shortest time between two reports of changed loads.

Nodes count the calls that they send themselves, and each response names the
calls that are active, so that a report says little that is new earlier.
"""
TIMER_S = 0.005
"""Deviation of a tick that does not delay a report to the next one."""
LATENESS_CHANGE_S = 0.05
"""Change of the lateness that is reported."""


@dataclass(slots=True, frozen=True)
class ReportBasis:
    """What a report of a changed load leaves out."""

    server_id: str
    limit: int
    accepting: bool
    position: state.Position
    digest: int
    complete_position: state.Position

    @classmethod
    def from_load(
        cls, load: state.ServerLoad, directory: state.Directory
    ) -> typing.Self:
        """Return the basis of a report that is sent now."""
        return cls(
            load.server_id,
            load.limit,
            load.accepting,
            directory.position,
            directory.digest,
            directory.complete_position,
        )


class ReportReceiver(typing.Protocol):
    """A node that has opened a link to this one."""

    report_basis: ReportBasis | None
    """Set with each whole report."""

    @property
    def host(self) -> str:
        """Return the node's host."""

    @property
    def protocol_version(self) -> int:
        """Return the version of the protocol that the node speaks."""

    @property
    def send(self) -> _peer_messages.SendToPeer:
        """Return the function that sends a message to the node."""


class LoadReporter:
    """Decides when a load is reported, and to which nodes.

    Near nodes, which prefer this host for their calls, get each change. All
    get a report at least once in a period, by which they see that the node
    runs and which entries it has.
    """

    def __init__(
        self,
        directory: state.Directory,
        contact: state.SourceContact,
        is_near: Callable[[str], bool],
    ) -> None:
        self._directory = directory
        self._contact = contact
        self._is_near = is_near
        self._reported_load: state.ServerLoad | None = None
        self._basis: ReportBasis | None = None
        """Basis of the latest report; each peer refers to the same object."""
        self._reported_to_near_at_s = 0.0
        self._reported_to_far_at_s = 0.0
        self._reported_lateness_s = 0.0

    def report_lateness(
        self, lateness_s: float, peers: Iterable[ReportReceiver]
    ) -> None:
        """Tell peers how late this process runs, if that has changed."""
        change_s = lateness_s - self._reported_lateness_s
        if abs(change_s) >= LATENESS_CHANGE_S:
            self._reported_lateness_s = lateness_s
            self.send_lateness(peers)

    def send_lateness(self, peers: Iterable[ReportReceiver]) -> None:
        """Send the lateness that was last reported."""
        report = _peer_messages.LatenessReported(
            round(1000 * self._reported_lateness_s)
        )
        for peer in peers:
            peer.send(report)

    def report_changes(
        self,
        load: state.ServerLoad,
        peers: Collection[ReportReceiver],
        now_s: float,
    ) -> None:
        """Send the load to the peers for which a report is due."""
        last_load = self._reported_load
        if last_load is None or load.server_changed(last_load):
            self.send(load, peers, now_s)
            self._reported_load = load
            self._reported_to_near_at_s = self._reported_to_far_at_s = now_s
            return
        since_near_s = now_s - self._reported_to_near_at_s
        if since_near_s >= IDLE_REPORT_S or (
            since_near_s >= CHANGE_REPORT_S - TIMER_S
            and load.load_changed(last_load)
        ):
            near = [peer for peer in peers if self._is_near(peer.host)]
            self.send(load, near, now_s, with_server=False)
            self._reported_load = load
            self._reported_to_near_at_s = now_s
        if now_s - self._reported_to_far_at_s >= IDLE_REPORT_S:
            far = [peer for peer in peers if not self._is_near(peer.host)]
            self.send(load, far, now_s, with_server=False)
            self._reported_to_far_at_s = now_s

    def send(
        self,
        load: state.ServerLoad,
        peers: Iterable[ReportReceiver],
        now_s: float,
        with_server: bool = True,
    ) -> None:
        """Send the load to peers now, in whole where its basis changed."""
        report = _peer_messages.LoadReported.from_load(
            load,
            now_s - self._contact.confirmed_at_s,
            now_s - self._contact.replied_at_s,
            self._directory,
            with_server,
        )
        change = report.change()
        basis = ReportBasis.from_load(load, self._directory)
        if basis == self._basis:
            basis = self._basis
        else:
            self._basis = basis
        for peer in peers:
            if peer.report_basis is basis and (
                peer.protocol_version
                >= _peer_messages.FIRST_VERSION_WITH_LOAD_CHANGES
            ):
                peer.send(change)
            else:
                peer.report_basis = basis
                peer.send(report)
