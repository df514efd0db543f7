"""Runtime checks of invariants."""

from collections import Counter
import os

from absl import logging

from jasminecrank import const
from jasminecrank import exceptions

violations_by_code: Counter[exceptions.ResultCode] = Counter()


def check(
    code: exceptions.ResultCode,
    holds: bool,
    message_format: str,
    *values: object,
) -> None:
    """Check an invariant; log and count a violation.

    Raises InvariantError if FATAL_INVARIANTS_VARIABLE is set to 1.
    """
    if holds:
        return
    violations_by_code[code] += 1
    message = message_format % values
    logging.error("invariant %d violated: %s", code.value, message)
    if os.environ.get(const.FATAL_INVARIANTS_VARIABLE) == "1":
        raise exceptions.InvariantError(message, code)
