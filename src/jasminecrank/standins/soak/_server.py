"""Backend server of a run, with large requests and responses."""

import asyncio
from collections.abc import Iterator
import typing

from jasminecrank.standins import fleet

BULK_TIMEOUT_MS = 15_000
"""Limit of the routes on which bodies and answers are large and slow."""
MAX_BODY_BYTES = 64 * 1024 * 1024
"""Limit of the table, the platform's maxBodyBytes."""
BULK_ROUTES = (("files", "/files/", "safe"), ("upload", "/upload/", "unsafe"))


def encode_answer(request_id: str, target: str) -> bytes:
    """Return the answer to a request, of the size that its path names."""
    body = f"body of {request_id}".encode()
    if not target.startswith(tuple(path for _, path, _ in BULK_ROUTES)):
        return body
    size = int(target.rpartition("/")[2])
    return (body * (size // len(body) + 1))[: max(size, len(body))]


def bulk_routes(
    route: dict[str, typing.Any],
) -> Iterator[dict[str, typing.Any]]:
    """Yield the routes of large requests, made from another route."""
    for name, prefix, kind in BULK_ROUTES:
        yield {
            "typeUrl": "routes",
            "metadata": {"name": name},
            "spec": {
                **route["spec"],
                "prefix": prefix,
                "kind": kind,
                "timeoutMs": BULK_TIMEOUT_MS,
                "public": True,
            },
        }


class SoakServer(fleet.Server):
    """Backend server that reports each request it starts to run."""

    def __init__(
        self,
        number: int,
        server_id: str,
        record_arrival: typing.Callable[[int, dict[str, str], bool], None],
        record_unfinished: typing.Callable[[str], None],
    ) -> None:
        super().__init__(server_id)
        self._number = number
        self._record_arrival = record_arrival
        self._record_unfinished = record_unfinished
        self._cold_until_s = 0.0

    @property
    def cold_left_s(self) -> float:
        """Return the seconds for which the server stays cold."""
        now_s = asyncio.get_running_loop().time()
        return max(0.0, self._cold_until_s - now_s)

    def restart(self, server_id: str, cold_s: float) -> None:
        """Take on a new server id and start cold."""
        self.server_id = server_id
        self._cold_until_s = asyncio.get_running_loop().time() + cold_s

    def _answer_body(self, request_id: str, request: typing.Any) -> bytes:
        return encode_answer(request_id, request.target)

    def _encode_health(self) -> bytes:
        self.cold_s = self.cold_left_s
        return super()._encode_health()

    async def _run(
        self, request: typing.Any, behaviour: fleet.Behaviour
    ) -> None:
        if behaviour is not fleet.Behaviour.HANG:
            self._record_arrival(
                self._number, request.headers, self.cold_left_s > 0.0
            )
        try:
            await super()._run(request, behaviour)
        except asyncio.CancelledError:
            self._record_unfinished(request.headers.get("request-id", ""))
            raise
        self.requests.clear()
