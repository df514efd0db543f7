"""Base classes of tasks that own their state and exchange messages."""

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
"""Names in `message-failed` log lines, where they differ from the class."""


class Mailbox(typing.Generic[MessageT]):
    """An unbounded queue with a single reader on the event loop."""

    __slots__ = ("_messages", "_waiter")

    def __init__(self) -> None:
        self._messages: deque[MessageT] = deque()
        self._waiter: asyncio.Future[None] | None = None

    def tell(self, message: MessageT) -> None:
        """Append a message; messages are received in order."""
        self._messages.append(message)
        if self._waiter is not None and not self._waiter.done():
            self._waiter.set_result(None)

    async def receive(self) -> MessageT:
        """Remove and return the next message, waiting for one if needed."""
        while not self._messages:
            self._waiter = asyncio.get_running_loop().create_future()
            await self._waiter
        return self._messages.popleft()


class MailboxTask(typing.Generic[MessageT]):
    """A task that handles the messages of its mailbox one at a time."""

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
                # An error in one message must not stop the task, which
                # serves all calls.
                name = type(message).__name__
                self.log.failure(
                    "message-failed",
                    error,
                    message=_LOGGED_NAME_BY_CLASS.get(name, name),
                )
            # It may hold a large body until the next message comes.
            del message

    def handle(self, message: MessageT) -> None:
        """Process one message."""
        raise NotImplementedError


class Log(typing.Protocol):
    """Log lines and metrics that tasks write."""

    def decision(self, event: str, **fields: object) -> None:
        """Log a decision or a change in what the node knows."""

    def connection(self, event: str, **fields: object) -> None:
        """Log an event of a connection, perhaps with others in one line."""

    def sampled(self, event: str, **fields: object) -> None:
        """Log a frequent event, or count it as omitted by sampling."""

    def failure(
        self, event: str, error: BaseException, **fields: object
    ) -> None:
        """Log an unexpected error with its traceback."""

    def count(self, name: str, label: str = "") -> None:
        """Increase a counter."""

    def observe(self, name: str, seconds: float) -> None:
        """Record a duration in a histogram."""


class Clock(typing.Protocol):
    """A monotonic clock that includes time in which the host is suspended."""

    def now_s(self) -> float:
        """Return seconds since an arbitrary fixed time."""
