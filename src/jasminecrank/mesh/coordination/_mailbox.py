"""Tasks that own their state and talk by messages."""

import asyncio
from collections import deque
import typing

MessageT = typing.TypeVar("MessageT")

_LOGGED_NAME_BY_CLASS = {
    "ArbiterGranted": "PeerGranted",
    "CallDeadlineReached": "CallTimeUp",
    "CallerDisconnected": "CallerLeft",
    "CancelCall": "WithdrawCall",
    "HealthChecked": "HealthLearned",
    "ItemsRequested": "ItemsWanted",
    "ItemsSent": "ItemsTold",
    "ListingRequested": "ListingWanted",
    "LoadReported": "LoadTold",
    "LoadUpdated": "LoadLearned",
    "PeerMessageReceived": "PeerSaid",
    "QuotaDecided": "QuotaAnswered",
    "QuotaRequested": "QuotaAsked",
    "RequesterDisconnected": "CallersLost",
    "RequesterMessageReceived": "PeerAsked",
    "SourceRecovered": "SourceReturned",
    "StopRequested": "Stopping",
    "TokensRequested": "TokensAsked",
}
"""Logged names of message classes whose names differ from them."""


class Mailbox(typing.Generic[MessageT]):
    """An unbounded queue with one reader on the event loop."""

    __slots__ = ("_messages", "_waiter")

    def __init__(self) -> None:
        self._messages: deque[MessageT] = deque()
        self._waiter: asyncio.Future[None] | None = None

    def tell(self, message: MessageT) -> None:
        """Put a message in; the reader gets it in order."""
        self._messages.append(message)
        if self._waiter is not None and not self._waiter.done():
            self._waiter.set_result(None)

    async def receive(self) -> MessageT:
        """Wait for the next message."""
        while not self._messages:
            self._waiter = asyncio.get_running_loop().create_future()
            await self._waiter
        return self._messages.popleft()


class MailboxTask(typing.Generic[MessageT]):
    """A task that handles the messages of its mailbox one by one."""

    def __init__(self, log: "Log") -> None:
        self.mailbox: Mailbox[MessageT] = Mailbox()
        self.log = log

    async def run(self) -> None:
        """Handle messages until the task is cancelled."""
        while True:
            message = await self.mailbox.receive()
            try:
                self.handle(message)
            except Exception as error:
                # One bad message must not end the task for all calls.
                name = type(message).__name__
                self.log.failure(
                    "message-failed",
                    error,
                    message=_LOGGED_NAME_BY_CLASS.get(name, name),
                )

    def handle(self, message: MessageT) -> None:
        """Act on one message."""
        raise NotImplementedError


class Log(typing.Protocol):
    """Where tasks write their decisions."""

    def decision(self, event: str, **fields: object) -> None:
        """Write a decision or a change of belief."""

    def sampled(self, event: str, **fields: object) -> None:
        """Write a frequent event, or count it as left out."""

    def failure(
        self, event: str, error: BaseException, **fields: object
    ) -> None:
        """Write an unexpected error with its traceback."""

    def count(self, name: str, label: str = "") -> None:
        """Increase a counter."""

    def observe(self, name: str, seconds: float) -> None:
        """Record a duration."""


class Clock(typing.Protocol):
    """A clock that never goes back and counts time asleep."""

    def now_s(self) -> float:
        """Return seconds since some fixed moment."""
