"""Large bodies on a link, in parts between which other messages pass."""

import asyncio
from collections import deque
from collections.abc import Callable
import dataclasses
from dataclasses import dataclass
import itertools
import typing

from jasminecrank.mesh import coordination
from jasminecrank.mesh import protocol
from jasminecrank.mesh import state
from jasminecrank.mesh.transport import _body_buffer

PART_BYTES = 65_536

_Carrier = coordination.CallSent | coordination.CallServed
"""A message whose body can be large."""
_SendMessage = Callable[[coordination.PeerMessage], bool]
"""Writes a message to the link, and returns whether the link was open."""


def _send_to_ended(message: coordination.PeerMessage) -> bool:
    """Send nothing, since the link has ended."""
    del message
    return False


@dataclass(slots=True)
class _Outgoing:
    transfer_id: int
    carrier: _Carrier
    sent_bytes: int = 0

    def send_part(self, send: _SendMessage) -> bool:
        """Send the next part, and return whether the link was open."""
        start = self.sent_bytes
        data = memoryview(self.carrier.body)[start : start + PART_BYTES]
        if not send(coordination.BodyPart(self.transfer_id, bytes(data))):
            return False
        self.sent_bytes += len(data)
        return True

    @property
    def unsent_bytes(self) -> int:
        return len(self.carrier.body) - self.sent_bytes

    def announce(self, send: _SendMessage) -> bool:
        """Send the message without its body; return as `send_part`."""
        carrier = dataclasses.replace(self.carrier, body=b"")
        return send(
            coordination.BodyFollows(
                self.transfer_id,
                len(self.carrier.body),
                protocol.encode_unframed(carrier),
            )
        )


class BodySender:
    """Sends the large bodies of a link part by part.

    Requests take turns. Of the replies, the one with the fewest bytes left
    is sent first, since the receiver holds each of which it has a part.
    """

    def __init__(self, send: _SendMessage) -> None:
        self._send = send
        self._requests: deque[_Outgoing] = deque()
        self._replies: list[_Outgoing] = []
        self._reply_is_next = False
        self._ids = itertools.count(1)
        self._paused = False
        self._turn: asyncio.Handle | None = None

    @property
    def unsent_bytes(self) -> int:
        """Return the bytes of bodies that are still to be written."""
        return sum(
            transfer.unsent_bytes
            for transfer in (*self._requests, *self._replies)
        )

    def unsent_calls(self) -> tuple[coordination.CallSent, ...]:
        """Return the calls of which a part is still to be written."""
        return tuple(
            transfer.carrier
            for transfer in self._requests
            if isinstance(transfer.carrier, coordination.CallSent)
        )

    def unsent_replies(self) -> tuple[int, ...]:
        """Return the calls whose replies are still to be written whole."""
        return tuple(transfer.carrier.call_id for transfer in self._replies)

    def start(self, carrier: _Carrier) -> None:
        """Send a message; its body follows as the link has room."""
        transfer = _Outgoing(next(self._ids), carrier)
        match carrier:
            case coordination.CallSent():
                transfer.announce(self._send)
                self._requests.append(transfer)
            case coordination.CallServed():
                self._replies.append(transfer)
            case _:
                typing.assert_never(carrier)
        self._schedule_turn()

    def cancel_call(self, call_id: int) -> None:
        """Stop sending the body of a call that is no longer to run."""
        for transfer in list(self._requests):
            if transfer.carrier.call_id == call_id:
                self._requests.remove(transfer)
                self._send(coordination.BodyAbandoned(transfer.transfer_id))

    def pause(self) -> None:
        """Stop while the link's send buffer is full."""
        self._paused = True

    def resume(self) -> None:
        """Continue once the link's send buffer has room."""
        self._paused = False
        self._schedule_turn()

    def close(self) -> None:
        """Drop all transfers, and the reference to the link."""
        self._send = _send_to_ended
        self._requests.clear()
        self._replies.clear()
        if self._turn is not None:
            self._turn.cancel()

    def _schedule_turn(self) -> None:
        if self._paused or self._turn is not None:
            return
        if self._requests or self._replies:
            self._turn = asyncio.get_running_loop().call_soon(self._take_turn)

    def _take_turn(self) -> None:
        """Send one part; other messages can be sent before the next."""
        self._turn = None
        if self._paused:
            return
        sends_reply = bool(self._replies) and (
            self._reply_is_next or not self._requests
        )
        self._reply_is_next = not sends_reply
        is_open = self._send_reply() if sends_reply else self._send_request()
        if is_open:
            # Otherwise, the end of the link is about to be reported.
            self._schedule_turn()

    def _send_request(self) -> bool:
        """Send a part of the next request; return as `send_part`."""
        if not self._requests:
            return False
        transfer = self._requests[0]
        if not transfer.send_part(self._send):
            return False
        self._requests.popleft()
        if transfer.unsent_bytes:
            self._requests.append(transfer)
        return True

    def _send_reply(self) -> bool:
        """Send a part of the shortest reply; return as `send_part`."""
        transfer = min(self._replies, key=lambda reply: reply.unsent_bytes)
        if not transfer.sent_bytes and not transfer.announce(self._send):
            return False
        if not transfer.send_part(self._send):
            return False
        if not transfer.unsent_bytes:
            self._replies.remove(transfer)
        return True


@dataclass(slots=True)
class _Incoming:
    carrier: _Carrier
    buffer: _body_buffer.BodyBuffer
    started_at_s: float

    def complete(self, now_s: float) -> _Carrier:
        """Return the message with its body and the time that is left."""
        body = self.buffer.view()
        match self.carrier:
            case coordination.CallSent():
                elapsed_s = now_s - self.started_at_s
                return dataclasses.replace(
                    self.carrier,
                    body=body,
                    remaining_s=self.carrier.remaining_s - elapsed_s,
                    target_remaining_s=(
                        self.carrier.target_remaining_s - elapsed_s
                    ),
                )
            case coordination.CallServed():
                return dataclasses.replace(self.carrier, body=body)


class BodyReceiver:
    """Puts the large bodies of a link together, as memory allows."""

    def __init__(
        self,
        budget: state.MemoryBudget,
        log: coordination.Log,
        send: _SendMessage,
    ) -> None:
        self._budget = budget
        self._log = log
        self._send = send
        self._incoming_by_id: dict[int, _Incoming] = {}

    @property
    def receives_reply(self) -> bool:
        """Return whether parts of a reply are to come."""
        return any(
            isinstance(incoming.carrier, coordination.CallServed)
            for incoming in self._incoming_by_id.values()
        )

    def begin(
        self, message: coordination.BodyFollows
    ) -> coordination.CallSent | None:
        """Start to receive a body, or refuse its call.

        Returns a call that is now arriving. Raises LinkError if the message
        is invalid.
        """
        carrier = protocol.decode(message.message)
        if not 0 < message.body_bytes <= protocol.MAX_BODY_BYTES:
            raise protocol.LinkError(f"body of {message.body_bytes} bytes")
        match carrier:
            case coordination.CallSent():
                buffer = self._allocate(carrier, message.body_bytes)
            case coordination.CallServed():
                buffer = _body_buffer.BodyBuffer.from_claim(
                    message.body_bytes,
                    self._budget,
                    self._budget.claim_answer(message.body_bytes),
                )
            case _:
                raise protocol.LinkError("body of a message without a body")
        if buffer is None:
            return None
        self._incoming_by_id[message.transfer_id] = _Incoming(
            carrier, buffer, asyncio.get_running_loop().time()
        )
        return carrier if isinstance(carrier, coordination.CallSent) else None

    def add(self, part: coordination.BodyPart) -> _Carrier | None:
        """Return the whole message with the last part of its body.

        Parts of a refused body are discarded.
        """
        incoming = self._incoming_by_id.get(part.transfer_id)
        if incoming is None:
            return None
        if not incoming.buffer.has_room(len(part.data)):
            raise protocol.LinkError("body exceeds its length")
        incoming.buffer.append(part.data)
        if not incoming.buffer.is_complete:
            return None
        del self._incoming_by_id[part.transfer_id]
        return incoming.complete(asyncio.get_running_loop().time())

    def abandon(self, message: coordination.BodyAbandoned) -> None:
        """Discard what has been received of a body."""
        self._incoming_by_id.pop(message.transfer_id, None)

    def refuse_call(self, call_id: int) -> None:
        """Discard what has been received of a call that is not to run."""
        for transfer_id, incoming in list(self._incoming_by_id.items()):
            carrier = incoming.carrier
            if (
                isinstance(carrier, coordination.CallSent)
                and carrier.call_id == call_id
            ):
                del self._incoming_by_id[transfer_id]

    def close(self) -> None:
        """Discard all incomplete bodies, and the reference to the link."""
        self._send = _send_to_ended
        self._incoming_by_id.clear()

    def _allocate(
        self, call: coordination.CallSent, size_bytes: int
    ) -> _body_buffer.BodyBuffer | None:
        decision = self._budget.claim(state.BodyUse.LINK, size_bytes)
        if isinstance(decision, state.Granted):
            return _body_buffer.BodyBuffer.from_claim(
                size_bytes, self._budget, decision.claim_id
            )
        self._log.count("memory_refusals", "link")
        self._log.decision(
            "memory-refused",
            request_id=call.request_id,
            use=state.BodyUse.LINK.value,
            body_bytes=size_bytes,
            held_bytes=self._budget.held_bytes,
            limit_bytes=self._budget.limit_bytes,
        )
        self._send(
            coordination.CallNotRun(
                call.call_id,
                state.MEMORY_REASON,
                state.MEMORY_RETRY_S,
                False,
            )
        )
        return None
