"""Handlers of signals for the whole life of the process.

Imports nothing that is slow, since a signal before `install` has its default
effect, which ends the process.
"""

import signal

TYPE_CHECKING = False
if TYPE_CHECKING:
    import asyncio
    from collections.abc import Callable
    from collections.abc import Sequence

STOP_SIGNALS = (signal.SIGTERM, signal.SIGINT)
HANDLED_SIGNALS = (*STOP_SIGNALS, signal.SIGHUP)


class Signals:
    """Keeps signals until a loop handles them, then passes them on.

    The handlers stay the same while the loop starts and ends, so that no
    signal falls between two of them.
    """

    __slots__ = ("_loop", "_on_signal", "_pending", "stop_requested")

    def __init__(self) -> None:
        self.stop_requested = False
        self._pending: list[signal.Signals] = []
        self._loop: asyncio.AbstractEventLoop | None = None
        self._on_signal: Callable[[signal.Signals], None] | None = None

    @classmethod
    def install(cls, early_signals: "Sequence[int]" = ()) -> "Signals":
        """Handle signals from now on, and those that came before."""
        signals = cls()
        for number in HANDLED_SIGNALS:
            signal.signal(number, signals._receive)
        for early_number in early_signals:
            signals._receive(early_number, None)
        return signals

    def attach(
        self,
        loop: "asyncio.AbstractEventLoop",
        on_signal: "Callable[[signal.Signals], None]",
    ) -> None:
        """Pass each signal, also those received before, to the loop."""
        self._on_signal = on_signal
        self._loop = loop
        pending, self._pending = self._pending, []
        for number in pending:
            loop.call_soon_threadsafe(on_signal, number)

    def detach(self) -> None:
        """Keep signals from now on, since the loop will be closed."""
        self._loop = None

    def ignore(self) -> None:
        """Ignore signals until the process has ended.

        The interpreter restores the default effect of handled signals
        before it ends, but not of ignored ones.
        """
        for number in HANDLED_SIGNALS:
            signal.signal(number, signal.SIG_IGN)

    def _receive(self, number: int, frame: object) -> None:
        received = signal.Signals(number)
        if received in STOP_SIGNALS:
            self.stop_requested = True
        loop = self._loop
        if loop is None or self._on_signal is None:
            if received not in self._pending:
                self._pending.append(received)
            return
        # Handlers run between any two instructions, so inside the loop too.
        loop.call_soon_threadsafe(self._on_signal, received)
