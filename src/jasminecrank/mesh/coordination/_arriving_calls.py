"""Calls of other nodes whose bodies are being received."""

from collections.abc import Callable
from dataclasses import dataclass

from jasminecrank.mesh import state
from jasminecrank.mesh.coordination import _messages
from jasminecrank.mesh.coordination import _peer_messages


@dataclass(slots=True, frozen=True)
class ArrivingCall:
    """A call without its body, and the data for the decision on it."""

    call: _peer_messages.CallSent
    send: _peer_messages.SendToPeer
    request: state.AdmissionRequest

    @classmethod
    def from_message(
        cls, message: _messages.CallArriving, now_s: float
    ) -> "ArrivingCall":
        """Return a call that has just begun to arrive."""
        request = admission_request(message.link_id, message.call, now_s)
        return cls(message.call, message.send, request)


def admission_request(
    link_id: int, call: _peer_messages.CallSent, now_s: float
) -> state.AdmissionRequest:
    """Return the data for the decision on a call received now."""
    return state.AdmissionRequest(
        call.call_id,
        link_id,
        call.rank,
        call.route,
        now_s + call.remaining_s,
        now_s + call.target_remaining_s,
    )


class ArrivingCalls:
    """The calls that a stopping node waits for, until they have arrived."""

    def __init__(self) -> None:
        self._call_by_key: dict[tuple[int, int], ArrivingCall] = {}

    def __len__(self) -> int:
        """Return the number of calls that are arriving."""
        return len(self._call_by_key)

    def add(self, arriving: ArrivingCall) -> None:
        """Add a call that has begun to arrive."""
        request = arriving.request
        self._call_by_key[request.link_id, request.call_id] = arriving

    def remove(self, link_id: int, call_id: int) -> ArrivingCall | None:
        """Remove and return a call that has arrived whole or was cancelled."""
        return self._call_by_key.pop((link_id, call_id), None)

    def remove_link(self, link_id: int) -> None:
        """Remove the calls on a link that has ended."""
        for key in [key for key in self._call_by_key if key[0] == link_id]:
            del self._call_by_key[key]

    def take_unless(
        self, may_run: Callable[[state.AdmissionRequest], bool]
    ) -> list[ArrivingCall]:
        """Remove and return the calls that are not to run."""
        taken = [
            arriving
            for arriving in self._call_by_key.values()
            if not may_run(arriving.request)
        ]
        for arriving in taken:
            self.remove(arriving.request.link_id, arriving.request.call_id)
        return taken
