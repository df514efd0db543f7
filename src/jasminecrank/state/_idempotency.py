"""Store of bookings with an idempotency key."""

from collections import OrderedDict
from dataclasses import dataclass
from dataclasses import field
import enum
import uuid

from jasminecrank import const
from jasminecrank import exceptions
from jasminecrank.state import _calls
from jasminecrank.state import _invariants

_MAX_STORED_BYTES = 32_000_000
"""Bound on stored answers; a node has 256 MB, an answer up to 1 MB."""

_MIN_EVICTION_AGE_MS = 5_000
"""Minimum age of a key to be evicted when the store is full."""

_UUID_VERSION = 7


class EntryState(enum.Enum):
    """State of the booking with a key."""

    IN_PROGRESS = "in-progress"
    ANSWERED = "answered"
    UNKNOWN = "unknown"


@dataclass(slots=True, frozen=True)
class Fingerprint:
    """The fields that must be equal in a repeat of the same booking."""

    team: str
    method: str
    path: str
    body_digest: str


@dataclass(slots=True)
class Entry:
    """A stored booking."""

    fingerprint: Fingerprint
    state: EntryState = EntryState.IN_PROGRESS
    answer: _calls.Answer | None = None
    permitted: bool = False


class KeyAvailability(enum.Enum):
    """Whether a booking with a key that is not stored may run."""

    FREE = "free"
    FULL = "full"
    EVICTED = "forgotten"


def uuid7_ms(key: str) -> int | None:
    """Return the timestamp of a UUIDv7 key, None for any other key."""
    try:
        value = uuid.UUID(key)
    except ValueError:
        return None
    return value.int >> 80 if value.version == _UUID_VERSION else None


@dataclass(slots=True)
class IdempotencyStore:
    """Stores bookings by key for a limited time.

    A full store evicts an ended booking only if its key is a UUIDv7. Every
    UUIDv7 no newer than the newest evicted one is then refused, so that none
    of them can run twice. Other keys are never evicted; a store full of them
    takes no new bookings until they expire.
    """

    max_keys: int = const.IDEMPOTENCY_MAX_KEYS
    max_stored_bytes: int = _MAX_STORED_BYTES
    by_key: dict[str, Entry] = field(default_factory=dict)
    stored_bytes: int = 0
    evicted_up_to_ms: int = -1
    _expires_at_s_by_key: OrderedDict[str, float] = field(
        default_factory=OrderedDict
    )
    _evictable_ms_by_key: OrderedDict[str, int] = field(
        default_factory=OrderedDict
    )
    _answer_bytes_by_key: OrderedDict[str, int] = field(
        default_factory=OrderedDict
    )

    def find(self, key: str, now_s: float) -> Entry | None:
        """Return the stored booking with a key, if any."""
        self._expire(now_s)
        return self.by_key.get(key)

    def check_new(self, key_ms: int | None, wall_ms: int) -> KeyAvailability:
        """Return whether a booking with a key that is not stored may run."""
        if key_ms is not None and key_ms <= self.evicted_up_to_ms:
            return KeyAvailability.EVICTED
        if len(self.by_key) >= self.max_keys and not self._evict_oldest(
            wall_ms
        ):
            return KeyAvailability.FULL
        return KeyAvailability.FREE

    def reserve(self, key: str, fingerprint: Fingerprint) -> None:
        """Store a booking that waits or is about to run."""
        _invariants.check(
            exceptions.ResultCode.INVARIANT_AT_MOST_ONCE,
            key not in self.by_key,
            "a booking with a stored key was stored again",
        )
        self.by_key[key] = Entry(fingerprint)

    def mark_permitted(self, key: str) -> None:
        """Record that a booking gets its permit."""
        entry = self.by_key.get(key)
        _invariants.check(
            exceptions.ResultCode.INVARIANT_AT_MOST_ONCE,
            entry is not None
            and entry.state is EntryState.IN_PROGRESS
            and not entry.permitted,
            "a booking was given a second permit",
        )
        if entry is not None:
            entry.permitted = True

    def cancel(self, key: str) -> None:
        """Remove a booking that did not run."""
        entry = self.by_key.get(key)
        if entry is not None and entry.state is EntryState.IN_PROGRESS:
            del self.by_key[key]

    def complete(
        self, key: str, answer: _calls.Answer | None, now_s: float
    ) -> None:
        """Record the outcome of a booking that ran."""
        entry = self.by_key.get(key)
        if entry is None or entry.state is not EntryState.IN_PROGRESS:
            return
        entry.state = EntryState.UNKNOWN
        self._expires_at_s_by_key[key] = now_s + const.IDEMPOTENCY_TTL_S
        key_ms = uuid7_ms(key)
        if key_ms is not None:
            self._evictable_ms_by_key[key] = key_ms
        if answer is None:
            return
        entry.state = EntryState.ANSWERED
        entry.answer = answer
        self._answer_bytes_by_key[key] = _size_bytes(answer)
        self.stored_bytes += self._answer_bytes_by_key[key]
        while self.stored_bytes > self.max_stored_bytes:
            self._drop_answer(next(iter(self._answer_bytes_by_key)))

    def retry_after_s(self, now_s: float) -> float:
        """Return the time until the next stored booking expires."""
        expires_at_s = next(iter(self._expires_at_s_by_key.values()), now_s)
        return max(1.0, expires_at_s - now_s)

    def _expire(self, now_s: float) -> None:
        while self._expires_at_s_by_key:
            key, expires_at_s = next(iter(self._expires_at_s_by_key.items()))
            if expires_at_s > now_s:
                return
            self._remove(key)

    def _evict_oldest(self, wall_ms: int) -> bool:
        """Evict the first ended booking with a UUIDv7, if it is old enough."""
        if not self._evictable_ms_by_key:
            return False
        key, key_ms = next(iter(self._evictable_ms_by_key.items()))
        if key_ms > wall_ms - _MIN_EVICTION_AGE_MS:
            return False
        self._remove(key)
        self.evicted_up_to_ms = max(self.evicted_up_to_ms, key_ms)
        return True

    def _remove(self, key: str) -> None:
        self._drop_answer(key)
        del self._expires_at_s_by_key[key]
        self._evictable_ms_by_key.pop(key, None)
        del self.by_key[key]

    def _drop_answer(self, key: str) -> None:
        self.stored_bytes -= self._answer_bytes_by_key.pop(key, 0)
        self.by_key[key].answer = None


def _size_bytes(answer: _calls.Answer) -> int:
    return len(answer.body) + sum(
        len(name) + len(value) for name, value in answer.headers
    )
