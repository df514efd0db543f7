"""Reads the settings and runs a node until the process is stopped."""

import contextlib
import gc
import os
import random
import time

import uvloop

from jasminecrank import exceptions
from jasminecrank import platform
from jasminecrank.mesh import settings
from jasminecrank.mesh import state
from jasminecrank.mesh import transport
from jasminecrank.mesh.daemon import _node
from jasminecrank.mesh.daemon import _signals

SETTINGS_RETRY_S = 0.05
SETTINGS_RETRY_MAX_S = 0.5
"""Shortest and longest pause before an invalid settings file is read again."""
EXIT_USAGE = 2
EXIT_PORT_HELD = 3
GC_THRESHOLD = 20_000
"""New objects per garbage collection; decoding a table makes thousands."""


def run(signals: _signals.Signals) -> int:
    """Run the node; return its exit status.

    2: no settings file is named; 3: a port could not be opened.
    """
    path = os.environ.get(platform.CONFIG_PATH_VARIABLE, "")
    if not path:
        _report(f"{platform.CONFIG_PATH_VARIABLE}: names no settings file")
        return EXIT_USAGE
    config = _read_settings(path, signals)
    if config is None:
        return 0
    # Modules and their classes live as long as the process, so the
    # collector need not scan them.
    gc.freeze()
    gc.set_threshold(GC_THRESHOLD)
    gc.enable()
    try:
        uvloop.run(_run_node(config, path, signals))
    except exceptions.ListenError as error:
        _report(str(error))
        return EXIT_PORT_HELD
    return 0


def _read_settings(
    path: str, signals: _signals.Signals
) -> settings.NodeSettings | None:
    """Return the settings, or None if the process is stopped before.

    A file that is missing or invalid is read again until it is complete; each
    new reason is reported once it has lasted for a while.
    """
    pause_s = SETTINGS_RETRY_S
    reported = ""
    while not signals.stop_requested:
        try:
            return platform.read_settings(path)
        except exceptions.SettingError as error:
            reason = str(error)
        if pause_s >= SETTINGS_RETRY_MAX_S and reason != reported:
            _report(f"{reason}; the settings are read again")
            reported = reason
        time.sleep(pause_s)
        pause_s = min(SETTINGS_RETRY_MAX_S, 2 * pause_s)
    return None


def _report(message: str) -> None:
    """Write a line to standard error, which may be closed."""
    line = " ".join(message.splitlines())
    with contextlib.suppress(OSError):
        os.write(2, f"jasminecrank: {line}\n".encode())


async def _run_node(
    config: settings.NodeSettings, path: str, signals: _signals.Signals
) -> None:
    clock = transport.BootClock()
    log = transport.JsonLog.to_stdout(config.name, clock)
    # The store has one connection, which needs no share of the node's budget.
    turns = transport.ReadTurns(
        state.MemoryBudget.from_memory_limit(config.memory_limit_bytes), log
    )
    source = platform.PlatformStore(
        (config.source.host, config.source.port), turns=turns
    )
    node = _node.Node(
        config,
        platform.PlatformCodec(),
        source,
        platform.EntryDecoder().decode,
        log,
        random.Random(),
        lambda: platform.read_settings(path),
    )
    try:
        await node.run(signals)
    finally:
        signals.detach()
