"""Actor that owns the retry budget of a node."""

from jasminecrank import exceptions
from jasminecrank import state
from jasminecrank.coordination import _actors
from jasminecrank.coordination import _messages


class RetryActor(_actors.NodeActor):
    """Own the retry budget that all worker threads share."""

    def __init__(self) -> None:
        super().__init__()
        self._budget = state.RetryBudget()

    def on_receive(self, message: object) -> object:
        """Return whether the retry budget allows another retry."""
        match message:
            case _messages.TakeRetry():
                return self._budget.take(message.calls_seen)
            case _:
                raise exceptions.JasminecrankError(
                    f"unexpected message {message!r}"
                )
