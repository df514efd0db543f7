"""Shared names, units and limits."""

from typing import Final

MAX_BODY_BYTES: Final = 1_000_000
MAX_DOCUMENT_BYTES: Final = 1_000_000

HEADER_AUTHORIZATION: Final = "Authorization"
HEADER_DEADLINE_MS: Final = "X-Deadline-Ms"
HEADER_FORWARDED_BY: Final = "X-Forwarded-By-Host"
HEADER_IDEMPOTENCY_KEY: Final = "Idempotency-Key"
HEADER_REQUEST_ID: Final = "X-Request-Id"
HEADER_RESULT_CODE: Final = "X-Result-Code"
HEADER_RUN_STATE: Final = "X-Run-State"
HEADER_TABLE_VERSION: Final = "X-Table-Version"
HEADER_TEAM: Final = "X-Team"

SHARE_WHOLE: Final = 1_000_000_000
"""A whole quota share, in parts per billion."""

WATCHERS_PER_DATA_CENTRE: Final = 3
TREE_FAN_OUT: Final = 8
SERVICE_PEERS_FULL_MESH: Final = 13
SERVICE_PEERS_MAX: Final = 8

HEARTBEAT_PERIOD_S: Final = 5.0
PEER_SILENCE_LIMIT_S: Final = 15.0
TICK_PERIOD_S: Final = 0.5
PAUSE_LIMIT_S: Final = 2.0
START_BOUND_S: Final = 5.0
LOAN_TTL_S: Final = 2.0
LOAN_SHORT_TTL_S: Final = 0.25
LOAN_RETURN_MARGIN: Final = 0.1
"""Extra part of the loan time before the lender takes a share back."""
LOAN_RETURN_S: Final = LOAN_TTL_S * (1 + LOAN_RETURN_MARGIN)
QUOTA_TICK_S: Final = 0.25
LOAN_BYTES_PER_S: Final = 2800
LOAN_ANSWER_BYTES_PER_S: Final = 900
"""Asks with their answers, and answers given, out of 4 KB/s for control."""

EVENT_RING_SIZE: Final = 4096
IDEMPOTENCY_TTL_S: Final = 600.0
IDEMPOTENCY_MAX_KEYS: Final = 4096

FATAL_INVARIANTS_VARIABLE: Final = "JASMINECRANK_FATAL_INVARIANTS"
