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

FULL_SHARE_PPB: Final = 1_000_000_000
"""A whole quota share, in parts per billion."""

WATCHERS_PER_DATA_CENTRE: Final = 3
STANDBY_WATCHERS_PER_DATA_CENTRE: Final = 3
"""Hosts linked to the watchers of their data centre to replace them."""
TREE_FAN_OUT: Final = 8
SERVICE_FULL_MESH_HOSTS_MAX: Final = 13
SERVICE_PEERS_MAX: Final = 8

SOURCE_CALLS_PER_S: Final = 2_000
SOURCE_CALLS_SHARE: Final = 0.5
"""Part of the source's capacity for watchers, and again for all others."""
FLEET_HOSTS_MAX: Final = 2_200
"""Size assumed until the host list is known."""
SOURCE_WATCH_S: Final = 25
SOURCE_WATCH_ISOLATED_S: Final = 5
"""Watch of a node without links, which waits for nothing else."""
ISOLATED_AFTER_S: Final = 3.0

HEARTBEAT_PERIOD_S: Final = 5.0
PEER_SILENCE_LIMIT_S: Final = 15.0
TICK_PERIOD_S: Final = 0.5
PAUSE_LIMIT_S: Final = 2.0
START_WAIT_MAX_S: Final = 5.0
START_SETTLE_S: Final = 0.5
"""Time for other peers to answer after the first one has."""
UNCONFIRMED_ALARM_S: Final = 90.0
"""Above the longest watch and the heartbeats that pass its answer on."""
CONVERGENCE_LIMIT_S: Final = 14.0
LOAN_TTL_S: Final = 2.0
LOAN_SHORT_TTL_S: Final = 0.25
LOAN_RETURN_MARGIN: Final = 0.1
"""Extra part of the loan time before the lender takes a share back."""
LOAN_RETURN_S: Final = LOAN_TTL_S * (1 + LOAN_RETURN_MARGIN)
QUOTA_TICK_S: Final = 0.25
QUOTA_IDLE_TICK_S: Final = 1.0
"""Below half a lasting loan, so that none ends between two ticks."""
LOAN_REQUEST_BYTES_PER_S: Final = 2800
LOAN_ANSWER_BYTES_PER_S: Final = 900
"""Asks with their answers, and answers given, out of 4 KB/s for control."""

EVENT_RING_SIZE: Final = 4096
IDEMPOTENCY_TTL_S: Final = 600.0
IDEMPOTENCY_MAX_KEYS: Final = 4096

FATAL_INVARIANTS_VARIABLE: Final = "JASMINECRANK_FATAL_INVARIANTS"
