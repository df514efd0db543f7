"""Run a node on the platform: python3 -m jasminecrank.mesh.daemon."""

import os
import random
import sys

from jasminecrank import exceptions
from jasminecrank import platform
from jasminecrank.mesh import transport
from jasminecrank.mesh.daemon import _node

EXIT_USAGE = 2


def main() -> int:
    """Run the node; return 2 if the settings are invalid."""
    path = os.environ.get(platform.CONFIG_PATH_VARIABLE, "")
    try:
        config = platform.read_settings(path)
    except exceptions.SettingError as error:
        sys.stderr.write(f"jasminecrank: {error}\n")
        return EXIT_USAGE
    source = (config.source.host, config.source.port)
    clock = transport.BootClock()
    _node.run_node(
        lambda: _node.Node(
            config,
            platform.PlatformCodec(),
            platform.PlatformStore(source),
            platform.EntryDecoder().decode,
            transport.JsonLog.to_stdout(config.name, clock),
            random.Random(),
            lambda: platform.read_settings(path),
        )
    )
    return 0


if __name__ == "__main__":
    sys.exit(main())
