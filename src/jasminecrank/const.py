"""Header names, limits and intervals shared by all packages."""

from typing import Final

MAX_BODY_BYTES: Final = 1_000_000
MAX_DOCUMENT_BYTES: Final = 1_000_000

MAX_THREADS: Final = 512
"""Most worker threads of a node; each call that it holds takes one."""

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
"""The whole quota of a team, in parts per billion."""

WATCHERS_PER_DATA_CENTRE: Final = 3
STANDBY_WATCHERS_PER_DATA_CENTRE: Final = 3
"""Hosts linked to the watchers of their data centre, ready to take over."""
TREE_FAN_OUT: Final = 8
SERVICE_FULL_MESH_HOSTS_MAX: Final = 13
SERVICE_PEERS_MAX: Final = 8

SOURCE_CALLS_PER_S: Final = 2_000
SOURCE_CALLS_SHARE: Final = 0.5
"""Fraction of the source's capacity for watchers, and the same for others."""
FLEET_HOSTS_MAX: Final = 2_200
"""Fleet size assumed until the host list is received."""
SOURCE_WATCH_S: Final = 25
SOURCE_WATCH_ISOLATED_S: Final = 5
"""Watch time of a node without links, which has no other input to await."""
ISOLATED_AFTER_S: Final = 3.0

HEARTBEAT_PERIOD_S: Final = 5.0
PEER_SILENCE_LIMIT_S: Final = 15.0
TICK_PERIOD_S: Final = 0.5
PAUSE_LIMIT_S: Final = 2.0
START_WAIT_MAX_S: Final = 5.0
START_SETTLE_S: Final = 0.5
"""Time to collect further replies after the first one."""
UNCONFIRMED_ALARM_S: Final = 90.0
"""Longer than the longest watch plus the heartbeats that relay its answer."""
CONVERGENCE_LIMIT_S: Final = 14.0
LOAN_TTL_S: Final = 2.0
LOAN_SHORT_TTL_S: Final = 0.25
LOAN_RETURN_MARGIN: Final = 0.1
"""Fraction of the loan time added before the lender reclaims a share."""
LOAN_RETURN_S: Final = LOAN_TTL_S * (1 + LOAN_RETURN_MARGIN)
QUOTA_TICK_S: Final = 0.25
QUOTA_IDLE_TICK_S: Final = 1.0
"""At most half of LOAN_TTL_S, so that no loan expires between two ticks."""
LOAN_REQUEST_BYTES_PER_S: Final = 2800
"""Budget for loan requests and the replies to them."""
LOAN_ANSWER_BYTES_PER_S: Final = 900
"""Budget for replies to peers; both are part of 4 KB/s for control."""

EVENT_RING_SIZE: Final = 4096
IDEMPOTENCY_TTL_S: Final = 600.0
IDEMPOTENCY_MAX_KEYS: Final = 4096

FATAL_INVARIANTS_VARIABLE: Final = "JASMINECRANK_FATAL_INVARIANTS"

MAX_STATUS: Final = 599
"""Largest status code of a response."""
