"""Reads the settings and runs a node until the process is stopped."""

import gc
import os
import random
import sys

import uvloop

from jasminecrank import exceptions
from jasminecrank import platform
from jasminecrank.mesh import settings
from jasminecrank.mesh import transport
from jasminecrank.mesh.daemon import _node
from jasminecrank.mesh.daemon import _signals

EXIT_USAGE = 2
EXIT_PORT_HELD = 3
GC_THRESHOLD = 20_000
"""New objects per garbage collection; decoding a table makes thousands."""


def run(signals: _signals.Signals) -> int:
    """Run the node; return its exit status.

    2: the settings are invalid; 3: a port could not be opened.
    """
    if signals.stop_requested:
        return 0
    path = os.environ.get(platform.CONFIG_PATH_VARIABLE, "")
    try:
        config = platform.read_settings(path)
    except exceptions.SettingError as error:
        sys.stderr.write(f"jasminecrank: {error}\n")
        return EXIT_USAGE
    # Modules and their classes live as long as the process, so the
    # collector need not scan them.
    gc.freeze()
    gc.set_threshold(GC_THRESHOLD)
    try:
        uvloop.run(_run_node(config, path, signals))
    except exceptions.ListenError as error:
        sys.stderr.write(f"jasminecrank: {error}\n")
        return EXIT_PORT_HELD
    return 0


async def _run_node(
    config: settings.NodeSettings, path: str, signals: _signals.Signals
) -> None:
    clock = transport.BootClock()
    node = _node.Node(
        config,
        platform.PlatformCodec(),
        platform.PlatformStore((config.source.host, config.source.port)),
        platform.EntryDecoder().decode,
        transport.JsonLog.to_stdout(config.name, clock),
        random.Random(),
        lambda: platform.read_settings(path),
    )
    try:
        await node.run(signals)
    finally:
        signals.detach()
