"""Divides a share of the process's memory among the bodies it holds."""

from collections.abc import Callable
from dataclasses import dataclass
from dataclasses import field
import enum
import typing

SMALL_BODY_BYTES = 65_536
"""Size up to which bodies have a part of the budget to themselves."""
BODY_SHARE = 0.55
"""Share of the memory limit for bodies; the rest is for everything else."""
EARLY_SHARE = 0.07
"""Share of the memory limit for bodies that arrive before they are claimed.

One read can bring a body along with its head.
"""
HEAD_SHARE = 0.02
"""Share of the memory limit for heads of requests without their end."""
UNSENT_SHARE = 0.18
"""Share of the memory limit for answers that callers do not take."""
SMALL_SHARE = 0.125
"""Share of the budget for small bodies."""
MEMORY_REASON = "memory"
"""Reason for refusing a request whose body the node has no memory for."""
MEMORY_RETRY_S = 0.5
"""About the time in which a large body has been received and run."""


class BodyUse(enum.Enum):
    """What a body is held for."""

    CALLER = "caller"
    LINK = "link"


class BudgetPart(enum.Enum):
    """Part of the budget from which a body is taken.

    Callers and links have parts of their own. Otherwise, nodes whose budgets
    are full of their callers' bodies could not pass any of them on.
    """

    SMALL = "small"
    CALLERS = "callers"
    LINKS = "links"

    @classmethod
    def of(cls, use: BodyUse, size_bytes: int) -> typing.Self:
        """Return the part for a body of a size."""
        if size_bytes <= SMALL_BODY_BYTES:
            return cls(cls.SMALL)
        match use:
            case BodyUse.CALLER:
                return cls(cls.CALLERS)
            case BodyUse.LINK:
                return cls(cls.LINKS)
            case _:
                typing.assert_never(use)


@dataclass(slots=True, frozen=True)
class Granted:
    """The bytes are held until they are released."""

    claim_id: int


@dataclass(slots=True, frozen=True)
class Waiting:
    """The claim is granted once earlier ones have released enough bytes."""

    claim_id: int


@dataclass(slots=True, frozen=True)
class Denied:
    """The bytes are not available; `never` if they exceed the whole part."""

    never: bool


ClaimDecision = Granted | Waiting | Denied


@dataclass(slots=True)
class _Claim:
    size_bytes: int
    part: BudgetPart
    on_granted: Callable[[], None] | None
    """Set while the claim waits; it may refer to the body."""


@dataclass(slots=True)
class _Part:
    limit_bytes: int
    held_bytes: int = 0
    size_by_waiting_id: dict[int, int] = field(default_factory=dict)
    """In order of arrival."""

    def has_room(self, size_bytes: int) -> bool:
        return self.held_bytes + size_bytes <= self.limit_bytes


@dataclass(slots=True)
class MemoryBudget:
    """Grants claims in order of arrival within each part of the budget."""

    _part_by_kind: dict[BudgetPart, _Part]
    unsent_limit_bytes: int = 0
    """Bytes of answers above which the slowest callers are disconnected."""
    early_limit_bytes: int = 0
    """Bytes that may be kept of bodies whose claims wait."""
    head_limit_bytes: int = 0
    """Bytes of unfinished requests' heads above which some are refused."""
    _early_bytes: int = 0
    _claim_by_id: dict[int, _Claim] = field(default_factory=dict)
    _last_id: int = 0

    @classmethod
    def from_memory_limit(cls, limit_bytes: int) -> typing.Self:
        """Return the budget of a process with this memory limit."""
        budget_bytes = int(BODY_SHARE * limit_bytes)
        small_bytes = int(SMALL_SHARE * budget_bytes)
        large_bytes = (budget_bytes - small_bytes) // 2
        return cls(
            {
                BudgetPart.SMALL: _Part(small_bytes),
                BudgetPart.CALLERS: _Part(large_bytes),
                BudgetPart.LINKS: _Part(large_bytes),
            },
            int(UNSENT_SHARE * limit_bytes),
            int(EARLY_SHARE * limit_bytes),
            int(HEAD_SHARE * limit_bytes),
        )

    @property
    def limit_bytes(self) -> int:
        """Return the size of the whole budget."""
        return sum(part.limit_bytes for part in self._part_by_kind.values())

    @property
    def held_bytes(self) -> int:
        """Return the bytes of granted claims, and those that came early."""
        return self._early_bytes + sum(
            part.held_bytes for part in self._part_by_kind.values()
        )

    @property
    def waiting(self) -> int:
        """Return the number of claims that wait."""
        return sum(
            len(part.size_by_waiting_id)
            for part in self._part_by_kind.values()
        )

    def claim(
        self,
        use: BodyUse,
        size_bytes: int,
        on_granted: Callable[[], None] | None = None,
    ) -> ClaimDecision:
        """Claim bytes for a body before they are read.

        Without `on_granted`, which is called at the end of a wait, the claim
        is denied instead of waiting.
        """
        kind = BudgetPart.of(use, size_bytes)
        part = self._part_by_kind[kind]
        if size_bytes > part.limit_bytes:
            return Denied(True)
        can_start = not part.size_by_waiting_id and part.has_room(size_bytes)
        if not can_start and on_granted is None:
            return Denied(False)
        self._last_id += 1
        claim_id = self._last_id
        if can_start:
            self._claim_by_id[claim_id] = _Claim(size_bytes, kind, None)
            part.held_bytes += size_bytes
            return Granted(claim_id)
        self._claim_by_id[claim_id] = _Claim(size_bytes, kind, on_granted)
        part.size_by_waiting_id[claim_id] = size_bytes
        return Waiting(claim_id)

    def claim_answer(self, size_bytes: int) -> int:
        """Claim bytes for an answer of another node, over the limit as well.

        The call has run, so its answer is taken in any case. It counts in the
        part for callers, whose further bodies wait meanwhile.
        """
        part = self._part_by_kind[BudgetPart.CALLERS]
        self._last_id += 1
        self._claim_by_id[self._last_id] = _Claim(
            size_bytes, BudgetPart.CALLERS, None
        )
        part.held_bytes += size_bytes
        return self._last_id

    def grow(self, claim_id: int, use: BodyUse, size_bytes: int) -> bool:
        """Enlarge a granted claim to a size, unless there is no room.

        It does not wait, since claims that hold bytes while they wait for
        more could wait for each other.
        """
        claim = self._claim_by_id[claim_id]
        kind = BudgetPart.of(use, size_bytes)
        part = self._part_by_kind[kind]
        more_bytes = size_bytes
        if kind is claim.part:
            more_bytes -= claim.size_bytes
        if part.size_by_waiting_id or not part.has_room(more_bytes):
            return False
        old_part = self._part_by_kind[claim.part]
        old_part.held_bytes -= claim.size_bytes
        part.held_bytes += size_bytes
        claim.part = kind
        claim.size_bytes = size_bytes
        self._grant_waiting(old_part)
        return True

    def keep_early(self, size_bytes: int) -> bool:
        """Count bytes of a body whose claim waits, unless there are too many.

        They belong to no part, as claims can only be granted if they do not
        take the room that they wait for.
        """
        if self._early_bytes + size_bytes > self.early_limit_bytes:
            return False
        self._early_bytes += size_bytes
        return True

    def drop_early(self, size_bytes: int) -> None:
        """Stop counting such bytes, which are claimed or freed now."""
        self._early_bytes -= size_bytes

    def release(self, claim_id: int) -> None:
        """Give back the bytes of a claim, or stop waiting for them.

        A claim that was given back before is an error of the program.
        """
        claim = self._claim_by_id.pop(claim_id)
        part = self._part_by_kind[claim.part]
        if part.size_by_waiting_id.pop(claim_id, None) is None:
            part.held_bytes -= claim.size_bytes
        self._grant_waiting(part)

    def _grant_waiting(self, part: _Part) -> None:
        granted = []
        for claim_id, size_bytes in part.size_by_waiting_id.items():
            if not part.has_room(size_bytes):
                break
            part.held_bytes += size_bytes
            granted.append(claim_id)
        for claim_id in granted:
            del part.size_by_waiting_id[claim_id]
        for claim_id in granted:
            claim = self._claim_by_id.get(claim_id)
            if claim is not None and claim.on_granted is not None:
                on_granted, claim.on_granted = claim.on_granted, None
                on_granted()
