"""Exchange of quota messages between the nodes of a service."""

import typing

from jasminecrank import exceptions
from jasminecrank import state
from jasminecrank.coordination import _messages
from jasminecrank.coordination import _timers

QuotaInput = (
    _messages.PeerMessageReceived
    | _messages.PeerUp
    | _messages.PeerDown
    | _messages.QuotaTick
)


class QuotaMessenger:
    """Exchange messages between the quota state of a node and its peers.

    Owned by the admission actor and used from its thread only.
    """

    __slots__ = ("_membership", "_quota", "_timers")

    def __init__(self, quota: state.QuotaState, timers: _timers.Timers):
        self._quota = quota
        self._timers = timers
        self._membership: _messages.Mailbox | None = None

    def start(
        self, membership: _messages.Mailbox, owner: _messages.Mailbox
    ) -> None:
        """Set the membership mailbox and schedule the first quota tick."""
        self._membership = membership
        self._schedule_tick(owner)

    def handle(
        self, message: QuotaInput, owner: _messages.Mailbox, now_s: float
    ) -> None:
        """Handle a message from the membership actor or a timer."""
        match message:
            case _messages.PeerMessageReceived():
                self._receive(message.host, message.message, now_s)
            case _messages.PeerUp():
                self._quota.peer_up(message.host, now_s)
            case _messages.PeerDown():
                self._quota.peer_down(message.host)
            case _messages.QuotaTick():
                self._quota.tick(now_s)
                self._schedule_tick(owner)
            case _:
                typing.assert_never(message)

    def flush(self) -> None:
        """Send the queued messages of the quota state to the peers."""
        for outgoing in self._quota.drain_outbox():
            if self._membership is not None:
                message = _to_peer_message(outgoing.message)
                self._membership.tell(
                    _messages.SendToPeer(outgoing.host, message)
                )

    def _receive(
        self, host: str, message: _messages.PeerMessage, now_s: float
    ) -> None:
        match message:
            case _messages.LoanRequestMessage():
                self._quota.receive(host, message.request, now_s)
            case _messages.LoanGrantMessage():
                self._quota.receive(host, message.grant, now_s)
            case _messages.ShareReportMessage():
                self._quota.receive(host, message.report, now_s)
            case _messages.Goodbye():
                self._quota.peer_down(host)
            case _:
                raise exceptions.JasminecrankError(
                    f"unexpected peer message {message!r}"
                )

    def _schedule_tick(self, owner: _messages.Mailbox) -> None:
        self._timers.call_later(
            self._quota.tick_interval_s(), owner, _messages.QuotaTick()
        )


def _to_peer_message(message: state.QuotaMessage) -> _messages.PeerMessage:
    match message:
        case state.LoanRequest():
            return _messages.LoanRequestMessage(message)
        case state.LoanGrant():
            return _messages.LoanGrantMessage(message)
        case state.ShareReport():
            return _messages.ShareReportMessage(message)
        case _:
            typing.assert_never(message)
