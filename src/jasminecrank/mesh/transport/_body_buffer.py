"""Memory of large bodies, counted against the budget."""

from dataclasses import dataclass
import mmap
import weakref

from jasminecrank.mesh import state


@dataclass(slots=True, frozen=True)
class _Claim:
    """Claim that is released with the memory of a body."""

    budget: state.MemoryBudget
    claim_id: int


_claim_by_map: weakref.WeakKeyDictionary[mmap.mmap, _Claim] = (
    weakref.WeakKeyDictionary()
)


class BodyBuffer:
    """Body of bounded size, kept once for all its users.

    Its memory and its claim on the budget are released when the last view of
    it is. The memory is mapped, so that it is resident only once bytes arrive
    and goes back to the system at once.
    """

    def __init__(self, size_bytes: int) -> None:
        self.received_bytes = 0
        self._size_bytes = size_bytes
        self._map = mmap.mmap(
            -1, size_bytes, flags=mmap.MAP_PRIVATE | mmap.MAP_ANONYMOUS
        )

    @classmethod
    def from_claim(
        cls, size_bytes: int, budget: state.MemoryBudget, claim_id: int
    ) -> "BodyBuffer":
        """Return a buffer that releases a claim when it is freed."""
        buffer = cls(size_bytes)
        finalizer = weakref.finalize(buffer._map, budget.release, claim_id)
        finalizer.atexit = False
        _claim_by_map[buffer._map] = _Claim(budget, claim_id)
        return buffer

    @property
    def is_complete(self) -> bool:
        """Return whether all bytes have been received."""
        return self.received_bytes == self._size_bytes

    def has_room(self, size_bytes: int) -> bool:
        """Return whether more bytes fit."""
        return self.received_bytes + size_bytes <= self._size_bytes

    def enlarge(self, size_bytes: int) -> None:
        """Change the size to a larger one, before there is any view."""
        self._map.resize(size_bytes)
        self._size_bytes = size_bytes

    def append(self, data: bytes | bytearray) -> None:
        """Append bytes for which there is room."""
        end = self.received_bytes + len(data)
        self._map[self.received_bytes : end] = data
        self.received_bytes = end

    def view(self) -> memoryview:
        """Return the bytes received so far, without a copy."""
        return memoryview(self._map)[: self.received_bytes]


def count_for_caller(body: state.Body) -> None:
    """Count an answer that its caller is now to take."""
    if not isinstance(body, memoryview) or not isinstance(body.obj, mmap.mmap):
        return
    claim = _claim_by_map.get(body.obj)
    if claim is not None:
        claim.budget.move_to_callers(claim.claim_id)


def free_start(body: state.Body, size_bytes: int) -> None:
    """Give the memory of the first bytes of a mapped body back.

    Nobody may read them any more.
    """
    if not isinstance(body, memoryview) or not isinstance(body.obj, mmap.mmap):
        return
    whole_pages = size_bytes // mmap.PAGESIZE * mmap.PAGESIZE
    if whole_pages:
        body.obj.madvise(mmap.MADV_DONTNEED, 0, whole_pages)
