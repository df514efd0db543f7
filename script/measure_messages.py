"""Measure message sizes and processor times of the mesh node."""

from collections.abc import Callable
import random
import time

from jasminecrank.mesh import coordination
from jasminecrank.mesh import protocol
from jasminecrank.mesh import state

ROUNDS = 2_000
SERVERS = 32


def measure_us(action: Callable[[], object]) -> float:
    """Return the median processor time of an action in microseconds."""
    samples = []
    for _ in range(9):
        started_ns = time.process_time_ns()
        for _ in range(ROUNDS):
            action()
        samples.append((time.process_time_ns() - started_ns) / ROUNDS / 1000)
    return sorted(samples)[len(samples) // 2]


def make_load(number: int) -> state.ServerLoad:
    """Return a typical load report of a server."""
    return state.ServerLoad(f"i-{number:010x}", 7, 0, 12, 0.09, 0.01, True)


def make_directory() -> state.Directory:
    """Return a directory with the positions and digest of a running node."""
    directory = state.Directory(lambda key, value: state.InvalidEntry(key))
    directory.position = state.Position(1, 1234)
    directory.complete_position = state.Position(1, 1240)
    directory.digest = 2**47
    return directory


def make_messages() -> dict[str, coordination.PeerMessage]:
    """Return one message of each frequent type."""
    headers = (
        (b"Host", b"ficu95.example"),
        (b"Request-Id", b"9c41d07be2a35f68"),
        (b"Deadline-Ms", b"2000"),
    )
    return {
        "load report": coordination.LoadReported.from_load(
            make_load(1), 0.5, 0.5, make_directory()
        ),
        f"presence, {state.ARBITER_COUNT} arbiters": coordination.Presence(
            tuple(f"10.1.0.{number}" for number in range(state.ARBITER_COUNT))
        ),
        "request for tokens": coordination.TokensRequested("huka270", 1),
        "answer to it": coordination.TokensGranted("huka270", 1, 0),
        "call, no body": coordination.CallSent(
            1,
            "9c41d07be2a35f68",
            "i-7f3a91c2",
            "r-5ieispu",
            b"GET",
            b"/lohu930/2f",
            headers,
            b"",
            102,
            True,
            1.0,
            0.3,
            "huvo11a",
            "huka270",
        ),
        "answer, 400 bytes": coordination.CallServed(
            1, 200, b"OK", headers, bytes(400), 0.09, 7
        ),
    }


def make_placement() -> tuple[state.Placement, list[state.BackendServer]]:
    """Return a placement with the recorded loads of its servers."""
    placement = state.Placement("10.9.9.9", "a", random.Random(1))
    servers = []
    for number in range(SERVERS):
        host = f"10.0.0.{number}"
        servers.append(
            state.BackendServer(
                f"i-{number:010x}",
                "s",
                host,
                80,
                "a",
                12,
                state.ServerState.READY,
                0.0,
                0,
            )
        )
        placement.record_load(host, make_load(number), 0.0)
    return placement, servers


def main() -> None:
    """Print tables of message sizes and processor times."""
    print("| message | bytes | encode us | decode us |\n|---|---|---|---|")
    for name, message in make_messages().items():
        frame = protocol.encode(message)
        body = frame[protocol.FRAME_LENGTH.size :]
        encode_us = measure_us(lambda one=message: protocol.encode(one))
        decode_us = measure_us(lambda one=body: protocol.decode(one))
        print(f"| {name} | {len(frame)} | {encode_us:.1f} | {decode_us:.1f} |")
    placement, servers = make_placement()
    place_us = measure_us(lambda: placement.choose(servers, (), 0.1))
    admission = state.AdmissionController(
        slots=12, health=state.ServerHealth.UP
    )
    request = state.AdmissionRequest(1, 1, 1, "r", 9.0, 9.0)

    def admit() -> None:
        admission.submit(request, 0.0)
        admission.record_completion("r", 0.09, False, 0.0)

    print("\n| decision | us |\n|---|---|")
    print(f"| placement among {SERVERS} servers | {place_us:.1f} |")
    print(f"| admission and end of a call | {measure_us(admit):.1f} |")


if __name__ == "__main__":
    main()
