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
ANSWER_SHARE = 0.06
"""Share of the memory limit for answers of the own backend server."""
HEAD_SHARE = 0.02
"""Share of the memory limit for heads of requests without their end."""
UNSENT_SHARE = 0.12
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
    SERVER = "server"


class BudgetPart(enum.Enum):
    """Part of the budget from which a body is taken.

    Callers and links have parts of their own. Otherwise, nodes whose budgets
    are full of their callers' bodies could not pass any of them on. So have
    answers, whose calls have run.
    """

    SMALL = "small"
    CALLERS = "callers"
    LINKS = "links"
    ANSWERS = "answers"

    @property
    def other(self) -> "BudgetPart | None":
        """Return the part from which a body larger than this one borrows."""
        match self:
            case BudgetPart.SMALL | BudgetPart.ANSWERS:
                return None
            case BudgetPart.CALLERS:
                return BudgetPart.LINKS
            case BudgetPart.LINKS:
                return BudgetPart.CALLERS
            case _:
                typing.assert_never(self)

    @classmethod
    def of(cls, use: BodyUse, size_bytes: int) -> typing.Self:
        """Return the part for a body of a size."""
        if size_bytes <= SMALL_BODY_BYTES and use is not BodyUse.SERVER:
            return cls(cls.SMALL)
        match use:
            case BodyUse.SERVER:
                return cls(cls.ANSWERS)
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
    """The bytes are not available; `never` if they exceed all large parts."""

    never: bool


ClaimDecision = Granted | Waiting | Denied


@dataclass(slots=True)
class _Claim:
    size_bytes: int
    part: BudgetPart
    on_granted: Callable[[], None] | None
    """Set while the claim waits; it may refer to the body."""
    borrowed_bytes: int = 0
    """Bytes that it holds in the other part for large bodies."""


@dataclass(slots=True)
class _Part:
    limit_bytes: int
    takes_any: bool = False
    """Whether a body above the limit is taken while there is no other."""
    held_bytes: int = 0
    size_by_waiting_id: dict[int, int] = field(default_factory=dict)
    """In order of arrival."""

    def has_room(self, size_bytes: int) -> bool:
        if self.takes_any and self.held_bytes == 0:
            return True
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
    unparsed_answer_bytes: int = 0
    """Bytes of servers that wait to be parsed, one read of each connection."""
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
                BudgetPart.ANSWERS: _Part(
                    int(ANSWER_SHARE * limit_bytes), takes_any=True
                ),
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
        return (
            self._early_bytes
            + self.unparsed_answer_bytes
            + sum(part.held_bytes for part in self._part_by_kind.values())
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
        if size_bytes > self._largest_bytes(kind) and not part.takes_any:
            return Denied(True)
        borrowed_bytes = self._bytes_to_borrow_at_once(kind, size_bytes)
        if borrowed_bytes is None and on_granted is None:
            return Denied(False)
        self._last_id += 1
        claim_id = self._last_id
        if borrowed_bytes is not None:
            claim = _Claim(size_bytes, kind, None)
            self._claim_by_id[claim_id] = claim
            self._hold(claim, borrowed_bytes)
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
        old_kind = claim.part
        old_borrowed_bytes = self._give_back(claim)
        borrowed_bytes = self._bytes_to_borrow_at_once(kind, size_bytes)
        if borrowed_bytes is None:
            self._hold(claim, old_borrowed_bytes)
            return False
        claim.part = kind
        claim.size_bytes = size_bytes
        self._hold(claim, borrowed_bytes)
        self._grant_waiting(old_kind)
        return True

    def shrink(self, claim_id: int, size_bytes: int) -> None:
        """Give back what an answer has claimed beyond its size."""
        claim = self._claim_by_id[claim_id]
        self._part_by_kind[claim.part].held_bytes -= (
            claim.size_bytes - size_bytes
        )
        claim.size_bytes = size_bytes
        self._grant_waiting(claim.part)

    def move_to_callers(self, claim_id: int) -> None:
        """Count an answer of the own server like one of another node.

        Until its caller takes it, it keeps no room of other answers.
        """
        claim = self._claim_by_id[claim_id]
        if claim.part is not BudgetPart.ANSWERS:
            return
        self._part_by_kind[claim.part].held_bytes -= claim.size_bytes
        claim.part = BudgetPart.CALLERS
        self._part_by_kind[claim.part].held_bytes += claim.size_bytes
        self._grant_waiting(BudgetPart.ANSWERS)

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
            self._give_back(claim)
        self._grant_waiting(claim.part)

    def _largest_bytes(self, kind: BudgetPart) -> int:
        """Return the size of the largest claim that is ever granted."""
        largest_bytes = self._part_by_kind[kind].limit_bytes
        if kind.other is not None:
            largest_bytes += self._part_by_kind[kind.other].limit_bytes
        return largest_bytes

    def _bytes_to_borrow(
        self, kind: BudgetPart, size_bytes: int
    ) -> int | None:
        """Return what a claim takes of the other part, None without room.

        Only one that is larger than its part takes any, once nobody else
        holds bytes of its part.
        """
        part = self._part_by_kind[kind]
        if part.has_room(size_bytes):
            return 0
        borrowed_bytes = size_bytes - part.limit_bytes
        if kind.other is None or part.held_bytes or borrowed_bytes <= 0:
            return None
        if not self._part_by_kind[kind.other].has_room(borrowed_bytes):
            return None
        return borrowed_bytes

    def _bytes_to_borrow_at_once(
        self, kind: BudgetPart, size_bytes: int
    ) -> int | None:
        """Return the same for a claim that comes after those that wait."""
        if self._part_by_kind[kind].size_by_waiting_id:
            return None
        borrowed_bytes = self._bytes_to_borrow(kind, size_bytes)
        if (
            borrowed_bytes
            and kind.other is not None
            and self._part_by_kind[kind.other].size_by_waiting_id
        ):
            return None
        return borrowed_bytes

    def _hold(self, claim: _Claim, borrowed_bytes: int) -> None:
        own_bytes = claim.size_bytes - borrowed_bytes
        self._part_by_kind[claim.part].held_bytes += own_bytes
        if claim.part.other is not None:
            other = self._part_by_kind[claim.part.other]
            other.held_bytes += borrowed_bytes
        claim.borrowed_bytes = borrowed_bytes

    def _give_back(self, claim: _Claim) -> int:
        """Hold the bytes of a claim no more; return what it had borrowed."""
        borrowed_bytes = claim.borrowed_bytes
        own_bytes = claim.size_bytes - borrowed_bytes
        self._part_by_kind[claim.part].held_bytes -= own_bytes
        if claim.part.other is not None:
            other = self._part_by_kind[claim.part.other]
            other.held_bytes -= borrowed_bytes
        claim.borrowed_bytes = 0
        return borrowed_bytes

    def _grant_waiting(self, freed: BudgetPart) -> None:
        """Grant what has room after bytes of a part have been released."""
        granted = []
        for kind in (freed, freed.other):
            if kind is None:
                continue
            waiting = self._part_by_kind[kind].size_by_waiting_id
            for claim_id, size_bytes in list(waiting.items()):
                borrowed_bytes = self._bytes_to_borrow(kind, size_bytes)
                if borrowed_bytes is None:
                    break
                self._hold(self._claim_by_id[claim_id], borrowed_bytes)
                del waiting[claim_id]
                granted.append(claim_id)
        for claim_id in granted:
            claim = self._claim_by_id.get(claim_id)
            if claim is not None and claim.on_granted is not None:
                on_granted, claim.on_granted = claim.on_granted, None
                on_granted()
