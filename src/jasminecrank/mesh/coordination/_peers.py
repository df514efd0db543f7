"""Links to other nodes, and whether the nodes at their ends answer."""

from collections.abc import Callable
from collections.abc import Collection
from dataclasses import dataclass
import typing

from jasminecrank.mesh import state
from jasminecrank.mesh.coordination import _load_reports
from jasminecrank.mesh.coordination import _mailbox
from jasminecrank.mesh.coordination import _messages
from jasminecrank.mesh.coordination import _peer_messages

SILENT_AFTER_S = 1.0
"""Silence of a peer after which no calls are sent to its host."""
DEAD_AFTER_S = 2.2
"""Silence of a peer after which the link to it is closed."""
MIN_PROGRESS_BYTES = 4_096
"""Bytes of a partial message that show that its peer is alive."""

PeerEvent = _messages.PeerUp | _messages.PeerSilent | _messages.PeerDown


class PeerLink(typing.Protocol):
    """What the fleet task needs of a link."""

    @property
    def received_bytes(self) -> int:
        """Return the bytes received so far, those of partial messages too."""

    @property
    def awaits_answers(self) -> bool:
        """Return whether calls wait on it that no other server may run."""

    @property
    def has_calls(self) -> bool:
        """Return whether any calls wait on it."""

    def abort(self) -> None:
        """Close the link at once, discarding unsent messages."""

    def let_replace(self) -> None:
        """Let another link to the host be dialled beside this one."""


@dataclass(slots=True)
class Peer:
    """A node at the other end of a link."""

    host: str
    send: _peer_messages.SendToPeer
    link: PeerLink
    received_at_s: float
    contact: state.SourceContact
    silent: bool = False
    replaceable: bool = False
    """Whether it is kept for its calls only, since it was silent for long."""
    progress_bytes: int = 0
    """Bytes received on the link when they last counted as a sign of life."""
    server_id: str = ""
    """Incarnation of its backend server, as last reported."""
    protocol_version: int = _peer_messages.PROTOCOL_VERSION
    reported: _peer_messages.LoadReported | None = None
    """The last whole load report that it has sent."""
    report_basis: _load_reports.ReportBasis | None = None
    """Basis of the last whole load report that was sent to it."""

    @classmethod
    def from_link(
        cls, message: _messages.LinkOpened, now_s: float
    ) -> typing.Self:
        """Return the peer of a link that has just opened."""
        return cls(
            message.host,
            message.send,
            typing.cast(PeerLink, message.link),
            now_s,
            state.SourceContact(message.host),
            protocol_version=message.protocol_version,
        )


class Peers:
    """The peers that this node has dialled, and those that have dialled it.

    Calls are sent to the former; the latter get load reports and entries.
    """

    def __init__(
        self, report: Callable[[PeerEvent], None], log: _mailbox.Log
    ) -> None:
        self._report = report
        self._log = log
        self._dialled_by_link: dict[int, Peer] = {}
        self._accepted_by_link: dict[int, Peer] = {}

    @property
    def dialled(self) -> Collection[Peer]:
        """Return the peers that this node has dialled."""
        return self._dialled_by_link.values()

    @property
    def accepted(self) -> Collection[Peer]:
        """Return the peers that have dialled this node."""
        return self._accepted_by_link.values()

    def open(self, message: _messages.LinkOpened, now_s: float) -> Peer:
        """Add the peer of a link."""
        peer = Peer.from_link(message, now_s)
        if message.dialled:
            self._dialled_by_link[id(message.link)] = peer
            self._report_up(peer)
        else:
            self._accepted_by_link[id(message.link)] = peer
        return peer

    def remove_accepted(self, link: object) -> Peer | None:
        """Remove and return the peer that has dialled this node."""
        return self._accepted_by_link.pop(id(link), None)

    def remove_dialled(self, link: object) -> Peer | None:
        """Remove and return the peer that this node has dialled."""
        return self._dialled_by_link.pop(id(link), None)

    def dialled_to(self, host: str) -> Peer | None:
        """Return the peer of a dialled link to a host, preferably alive."""
        peers = [peer for peer in self.dialled if peer.host == host]
        return min(
            peers,
            key=lambda peer: (peer.silent, peer.replaceable),
            default=None,
        )

    def report_down(self, peer: Peer, remaining: Peer | None) -> None:
        """Report the end of a dialled link, and the one that replaces it."""
        is_linked = remaining is not None
        self._report(_messages.PeerDown(peer.host, peer.send, is_linked))
        self._log.decision("link-down", peer=peer.host, linked=is_linked)
        if remaining is not None:
            self._report_up(remaining)
            if remaining.silent:
                self._report(_messages.PeerSilent(remaining.host))

    def mark_received(self, link: object, now_s: float) -> Peer | None:
        """Record a message on a link; return its peer if it is dialled."""
        peer = self._dialled_by_link.get(id(link))
        if peer is not None:
            self._mark_alive(peer, now_s)
        return peer

    def restart_silence(self, now_s: float) -> None:
        """Count silence from now on, since this node was suspended."""
        for peer in self.dialled:
            peer.received_at_s = now_s

    def excuse_silence(self, delay_s: float) -> None:
        """Leave out a time in which this node did not run and read nothing."""
        for peer in self.dialled:
            peer.received_at_s += delay_s

    def check_silence(self, now_s: float) -> None:
        """Report peers that are silent, and end the links of dead ones.

        A peer may only be paused, so that a link stays for the calls that
        have no other way to their answers. Another one is dialled meanwhile.
        """
        for peer in list(self.dialled):
            received_bytes = peer.link.received_bytes
            if received_bytes - peer.progress_bytes >= MIN_PROGRESS_BYTES:
                peer.progress_bytes = received_bytes
                self._mark_alive(peer, now_s)
            silence_s = now_s - peer.received_at_s
            if silence_s > DEAD_AFTER_S:
                self._give_up(peer)
            elif peer.replaceable and self._is_replaced(peer):
                peer.link.abort()
            elif silence_s > SILENT_AFTER_S and not peer.silent:
                peer.silent = True
                self._log.decision("peer-silent", peer=peer.host)
                self._report(_messages.PeerSilent(peer.host))

    def _give_up(self, peer: Peer) -> None:
        if not peer.link.awaits_answers:
            peer.link.abort()
        elif not peer.replaceable:
            peer.replaceable = True
            peer.link.let_replace()
            self._log.decision("link-replaceable", peer=peer.host)
            # Calls that can be repeated may find another server by now.
            self._report(_messages.PeerSilent(peer.host))

    def _is_replaced(self, peer: Peer) -> bool:
        """Return whether nothing needs a link, once its peer is heard."""
        if peer.link.has_calls:
            return False
        best = self.dialled_to(peer.host)
        return best is not None and not best.replaceable

    def _mark_alive(self, peer: Peer, now_s: float) -> None:
        peer.received_at_s = now_s
        if peer.silent:
            peer.silent = False
            self._report_up(self.dialled_to(peer.host) or peer)

    def _report_up(self, peer: Peer) -> None:
        self._report(_messages.PeerUp(peer.host, peer.send))
