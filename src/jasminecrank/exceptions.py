"""Result codes and the error hierarchy."""

import enum


class RunState(enum.Enum):
    """Whether a backend server executed a refused request."""

    NOT_RUN = "not-run"
    RAN = "ran"
    MAY_HAVE_RUN = "may-have-run"


class ResultCode(enum.IntEnum):
    """Result codes, documented in docs/result-codes.md."""

    OK = 0

    SETTING_INVALID = 101
    TABLE_INVALID = 102
    DOCUMENT_INVALID = 103
    VERSION_STALE = 104
    VERSION_CONFLICT = 105
    SOURCE_UNAVAILABLE = 106
    LOG_LINE_INVALID = 107
    NOT_FOUND = 108
    USAGE = 109
    MESSAGE_INVALID = 110

    NO_ROUTE = 201
    KEY_MISSING = 202
    KEY_UNKNOWN = 203
    TEAM_NOT_ALLOWED = 204
    RATE_EXCEEDED = 205
    TOO_MANY_IN_FLIGHT = 206
    QUEUE_FULL = 207
    DEADLINE_EXCEEDED = 208
    NODE_NOT_READY = 209
    DATA_CENTRE_OUT = 210
    HOST_LEAVING = 211
    NO_HOST_AVAILABLE = 212
    REPEAT_IN_PROGRESS = 213
    BODY_TOO_LARGE = 214
    REQUEST_INVALID = 215
    CALL_CANCELLED = 216
    IDEMPOTENCY_HOST_UNREACHABLE = 217
    RETRY_BUDGET_EXHAUSTED = 218
    IDEMPOTENCY_MEMORY_FULL = 219
    IDEMPOTENCY_KEY_MISMATCH = 220

    BACKEND_UNREACHABLE = 301
    BACKEND_TIMEOUT = 302
    ANSWER_CUT = 303
    ANSWER_CROSSED = 304
    ANSWER_TOO_LARGE = 305
    REPEAT_OUTCOME_UNKNOWN = 306

    INVARIANT_VERSION_DECREASED = 901
    INVARIANT_DANGLING_ROUTE = 902
    INVARIANT_PARTIAL_VERSION = 903
    INVARIANT_COLD_START_OVERLOAD = 904
    INVARIANT_DATA_CENTRE_OUT = 905
    INVARIANT_KEY = 906
    INVARIANT_QUOTA = 907
    INVARIANT_ANSWER = 908
    INVARIANT_NOT_RUN = 909
    INVARIANT_AT_MOST_ONCE = 910
    INVARIANT_HOST_LEAVING = 911
    INVARIANT_GRACEFUL_STOP = 912
    INVARIANT_REVERTED = 913


class JasminecrankError(Exception):
    """Base class of errors that carry a result code."""

    code = ResultCode.USAGE

    def __init__(self, message: str, code: ResultCode | None = None) -> None:
        super().__init__(message)
        if code is not None:
            self.code = code


class SettingError(JasminecrankError):
    """A setting is unknown or its value is invalid."""

    code = ResultCode.SETTING_INVALID


class ListenError(JasminecrankError):
    """A port cannot be opened."""


class TableError(JasminecrankError):
    """A table file has an invalid row."""

    code = ResultCode.TABLE_INVALID


class DocumentError(JasminecrankError):
    """A published document is invalid."""

    code = ResultCode.DOCUMENT_INVALID


class MessageError(JasminecrankError):
    """A peer message cannot be decoded."""

    code = ResultCode.MESSAGE_INVALID


class SourceError(JasminecrankError):
    """The configuration service does not answer as documented."""

    code = ResultCode.SOURCE_UNAVAILABLE


class InvariantError(JasminecrankError):
    """An internal invariant does not hold."""
