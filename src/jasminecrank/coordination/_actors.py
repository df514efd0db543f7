"""The base of all actors of a node."""

from collections.abc import Callable
import os
import queue
import types
import typing

from absl import logging
import pykka


def exit_process() -> None:
    """End the process at once, because its state can't be trusted."""
    os._exit(os.EX_SOFTWARE)


_ASK_TIMEOUT_S = 2.0


def ask(actor: pykka.ActorRef[typing.Any], message: object) -> typing.Any:
    """Return an actor's reply, or raise pykka.Timeout."""
    return actor.ask(message, timeout=_ASK_TIMEOUT_S)


class NodeActor(pykka.ThreadingActor):
    """An actor whose failure ends the process.

    A node that lost one of its actors would go on deciding with state that
    nobody updates, so the process ends and is started anew.
    """

    use_daemon_thread = True
    on_crash: typing.ClassVar[Callable[[], None]] = exit_process

    @staticmethod
    def _create_actor_inbox() -> typing.Any:
        # pykka's default, queue.Queue, hands over under a condition that is
        # written in Python.
        return queue.SimpleQueue()

    def on_failure(
        self,
        exception_type: type[BaseException] | None,
        exception_value: BaseException | None,
        traceback: types.TracebackType | None,
    ) -> None:
        """Log the error and end the process."""
        del exception_type, traceback
        logging.error(
            "actor %s failed: %r", type(self).__name__, exception_value
        )
        type(self).on_crash()
