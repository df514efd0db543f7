"""Commands for the settings file that the platform gives a node."""

import pathlib
import sys

import cyclopts

from jasminecrank import platform

app = cyclopts.App(name="settings", help="Check a node's settings.")


@app.command
def check(file: pathlib.Path) -> int:
    """Check a settings file of the platform.

    Status 2 with one line that names the field, its value and the expected
    value if a node cannot start with the file.

    Example: jasminecrank settings check /etc/jasminecrank/boot.toml

    Parameters
    ----------
    file
        The file that JASMINECRANK_CONFIG names for a node.
    """
    config = platform.read_settings(str(file))
    sys.stdout.write(
        f"ok: node {config.name} for {config.service} in "
        f"{config.data_centre}\n"
        f"  callers   {config.callers.host}:{config.callers.port}\n"
        f"  links     {config.links.host}:{config.links.port}\n"
        f"  metrics   {config.metrics.host}:{config.metrics.port}\n"
        f"  server    {config.backend_server.host}:"
        f"{config.backend_server.port}\n"
        f"  source    {config.source.host}:{config.source.port}\n"
    )
    return 0
