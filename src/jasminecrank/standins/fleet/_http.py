"""Minimal HTTP/1.1 parsing and encoding for stand-ins."""

import asyncio
from dataclasses import dataclass


@dataclass(slots=True, frozen=True)
class Request:
    """Parsed request with lower-case header names."""

    method: str
    target: str
    headers: dict[str, str]
    body: bytes


@dataclass(slots=True, frozen=True)
class Response:
    """Parsed response; status 0 if none was received."""

    status: int
    headers: dict[str, str]
    body: bytes


async def read_request(reader: asyncio.StreamReader) -> Request | None:
    """Return the next request, or None when the connection is closed."""
    head = await _read_head(reader)
    if head is None:
        return None
    method, target, _ = head[0].split(" ", 2)
    headers = _parse_headers(head[1:])
    body = await reader.readexactly(int(headers.get("content-length", "0")))
    return Request(method, target, headers, body)


async def read_response(reader: asyncio.StreamReader) -> Response:
    """Return the next final response, with status 0 if there is none."""
    try:
        while (head := await _read_head(reader)) is not None:
            status = int(head[0].split(" ")[1])
            if status < 200:
                continue
            headers = _parse_headers(head[1:])
            body = await reader.readexactly(int(headers["content-length"]))
            return Response(status, headers, body)
    except (OSError, asyncio.IncompleteReadError):
        pass
    return Response(0, {}, b"")


def encode_response(
    status: int, body: bytes, headers: dict[str, str] | None = None
) -> bytes:
    """Return an encoded response with a Content-Length."""
    lines = [f"HTTP/1.1 {status} Status", f"Content-Length: {len(body)}"]
    lines.extend(f"{name}: {value}" for name, value in (headers or {}).items())
    return ("\r\n".join(lines) + "\r\n\r\n").encode() + body


def parse_head(block: bytes) -> tuple[int, dict[str, str]]:
    """Return the status and the lower-case headers of a response's head."""
    lines = block.decode("latin-1").rstrip("\r\n").split("\r\n")
    return int(lines[0].split(" ")[1]), _parse_headers(lines[1:])


async def _read_head(reader: asyncio.StreamReader) -> list[str] | None:
    try:
        block = await reader.readuntil(b"\r\n\r\n")
    except (OSError, asyncio.IncompleteReadError):
        return None
    return block.decode("latin-1").rstrip("\r\n").split("\r\n")


def _parse_headers(lines: list[str]) -> dict[str, str]:
    pairs = (line.partition(":") for line in lines)
    return {name.lower(): value.strip() for name, _, value in pairs}
