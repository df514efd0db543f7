"""Base class of the actors of a node."""

from collections.abc import Callable
import os
import queue
import types
import typing

from absl import logging
import pykka


def exit_process() -> None:
    """Exit without cleanup, because the state may be inconsistent."""
    os._exit(os.EX_SOFTWARE)


_ASK_TIMEOUT_S = 2.0


def ask(actor: pykka.ActorRef[typing.Any], message: object) -> typing.Any:
    """Send a message to an actor and return its reply.

    Raises pykka.Timeout if the actor does not reply in time.
    """
    return actor.ask(message, timeout=_ASK_TIMEOUT_S)


class NodeActor(pykka.ThreadingActor):
    """Base class of actors whose failure ends the process.

    A node without one of its actors would keep making decisions from state
    that is no longer updated, so the process exits and is restarted.
    """

    use_daemon_thread = True
    on_crash: typing.ClassVar[Callable[[], None]] = exit_process

    @staticmethod
    def _create_actor_inbox() -> typing.Any:
        # The default of pykka, queue.Queue, synchronizes with a condition
        # variable that is implemented in Python.
        return queue.SimpleQueue()

    def on_failure(
        self,
        exception_type: type[BaseException] | None,
        exception_value: BaseException | None,
        traceback: types.TracebackType | None,
    ) -> None:
        """Log the error and exit the process."""
        del exception_type, traceback
        logging.error(
            "actor %s failed: %r", type(self).__name__, exception_value
        )
        type(self).on_crash()
